/// @file
/// @brief Maps a caller's key to its team.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief All keys of one configuration; withdrawn keys are not included.
class KeyTable {
public:
    KeyTable() = default;
    explicit KeyTable(const Config& config);

    /// @param key key as presented by the caller.
    /// @return index of the key's team in Config::teams, or nothing if the key is unknown.
    [[nodiscard]] auto find(std::string_view key) const -> std::optional<std::size_t>;

    /// @param digest digest of a caller's key.
    [[nodiscard]] auto findDigest(const Digest& digest) const -> std::optional<std::size_t>;

private:
    struct Entry {
        Digest digest;
        std::size_t team;
    };

    /// Indexed by the first bytes of the digest, which reveal nothing about the key; complete digests are compared in
    /// constant time.
    std::unordered_multimap<std::uint64_t, Entry> entries;
};

} // namespace citronloft
