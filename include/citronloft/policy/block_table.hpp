/// @file
/// @brief Longest-prefix match of client blocks, stored as sorted disjoint intervals.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief An address prefix and the index of its zone.
struct BlockEntry {
    Prefix prefix;
    std::uint16_t zone = 0;
};

/// @brief Immutable table of client blocks, replaced as a unit when the configuration changes.
class BlockTable {
public:
    BlockTable() = default;
    explicit BlockTable(std::vector<BlockEntry> entries);

    /// @param ip address in the form that parseIp() returns.
    /// @return zone of the longest prefix that contains `ip`, or nothing.
    [[nodiscard]] auto find(const std::array<std::uint8_t, 16>& ip) const -> std::optional<std::uint16_t>;

    /// @return memory used by the table, in bytes.
    [[nodiscard]] auto memoryBytes() const -> std::size_t;

private:
    using Ipv6Bytes = std::array<std::uint8_t, 16>;

    template <typename Key> struct Intervals {
        /// First address of each interval, in ascending order.
        std::vector<Key> starts;
        std::vector<std::uint16_t> zones;

        auto append(const Key& start, std::uint16_t zone) -> void;
        [[nodiscard]] auto find(const Key& key) const -> std::uint16_t;
    };

    Intervals<std::uint32_t> ipv4;
    Intervals<Ipv6Bytes> ipv6;
};

} // namespace citronloft
