/// @file
/// @brief Maps the digest of a caller's key to its team.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief All keys of one configuration; a withdrawn key is absent.
class KeyTable {
public:
    KeyTable() = default;
    explicit KeyTable(const Config& config);

    /// @param key as shown by the caller.
    /// @return index of the key's team in Config::teams, or nothing.
    [[nodiscard]] auto find(std::string_view key) const -> std::optional<std::size_t>;

private:
    struct Entry {
        Digest digest;
        std::size_t team;
    };

    /// Buckets by the digest's first bytes, which tell nothing of the key; the rest is compared in constant time.
    std::unordered_multimap<std::uint64_t, Entry> entries;
};

} // namespace citronloft
