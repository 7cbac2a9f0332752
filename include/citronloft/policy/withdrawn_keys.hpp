/// @file
/// @brief Remembers withdrawn keys, so that logs can tell them from keys that were never known.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "citronloft/policy/key_table.hpp"

namespace citronloft {

/// @brief The most recently withdrawn keys; not used for decisions.
class WithdrawnKeys {
public:
    /// @brief Records the keys of a configuration that its successor does not contain.
    /// @param version version of `config`.
    auto record(const Config& config, std::uint64_t version, const KeyTable& successor) -> void;

    /// @return the last version that contained a withdrawn key; nothing if no withdrawal is known.
    [[nodiscard]] auto lastVersion(const Digest& key) const -> std::optional<std::uint64_t>;

private:
    std::map<Digest, std::uint64_t> versions;
    /// Keys in the order of their withdrawal.
    std::deque<Digest> order;
};

} // namespace citronloft
