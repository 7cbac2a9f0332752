/// @file
/// @brief Owners of a zone's slots, and operations on runs of slots.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "citronloft/policy/shares.hpp"

namespace citronloft {

/// @brief Owner of each slot of a zone; 0 means that the slot is free.
class SlotMap {
public:
    SlotMap() = default;
    explicit SlotMap(std::span<const SlotRange> ranges);

    /// @return the map as runs; free slots are omitted.
    [[nodiscard]] auto ranges() const -> std::vector<SlotRange>;

    /// @return the runs of one owner.
    [[nodiscard]] auto rangesOf(std::uint64_t owner) const -> std::vector<SlotRange>;

    [[nodiscard]] auto ownerOf(std::uint32_t slot) const -> std::uint64_t { return this->owners[slot]; }

    auto setOwner(std::uint32_t slot, std::uint64_t owner) -> void { this->owners[slot] = owner; }

    /// @return the number of slots of one owner; owner 0 counts the free ones.
    [[nodiscard]] auto count(std::uint64_t owner) const -> std::size_t;

    auto operator==(const SlotMap&) const -> bool = default;

private:
    std::array<std::uint64_t, slotsPerZone> owners {};
};

/// @return the number of slots in all runs.
auto countSlots(std::span<const SlotRange> ranges) -> std::size_t;

} // namespace citronloft
