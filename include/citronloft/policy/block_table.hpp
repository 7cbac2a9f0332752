/// @file
/// @brief Longest-prefix look-up of client blocks, as sorted disjoint intervals.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief A prefix and the index of its zone.
struct BlockEntry {
    Prefix prefix;
    std::uint16_t zone = 0;
};

/// @brief An immutable table; a new one is built for each configuration and swapped in whole.
class BlockTable {
public:
    BlockTable() = default;
    explicit BlockTable(std::vector<BlockEntry> entries);

    /// @param ip as parseIp() returns it.
    /// @return zone of the longest prefix that holds `ip`, or nothing.
    [[nodiscard]] auto find(const std::array<std::uint8_t, 16>& ip) const -> std::optional<std::uint16_t>;

    /// @return bytes of memory that the table uses.
    [[nodiscard]] auto memoryBytes() const -> std::size_t;

private:
    using Wide = std::array<std::uint8_t, 16>;

    template <typename Key> struct Intervals {
        /// First number of each interval, ascending.
        std::vector<Key> starts;
        std::vector<std::uint16_t> zones;

        auto append(const Key& start, std::uint16_t zone) -> void;
        [[nodiscard]] auto find(const Key& key) const -> std::uint16_t;
    };

    Intervals<std::uint32_t> narrow;
    Intervals<Wide> wide;
};

} // namespace citronloft
