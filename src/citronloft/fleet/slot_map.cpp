#include "citronloft/fleet/slot_map.hpp"

#include <algorithm>
#include <numeric>

namespace citronloft {

SlotMap::SlotMap(std::span<const SlotRange> ranges)
{
    for (const auto& range : ranges) {
        const auto end = std::min<std::uint32_t>(std::uint32_t { range.first } + range.count, slotsPerZone);
        for (auto slot = std::uint32_t { range.first }; slot < end; ++slot)
            this->owners[slot] = range.owner;
    }
}

auto SlotMap::ranges() const -> std::vector<SlotRange>
{
    auto runs = std::vector<SlotRange> {};
    for (auto slot = std::uint16_t { 0 }; slot < slotsPerZone; ++slot) {
        const auto owner = this->owners[slot];
        const auto continues
            = !runs.empty() && runs.back().owner == owner && runs.back().first + runs.back().count == slot;
        if (continues)
            ++runs.back().count;
        else if (owner != 0)
            runs.push_back({ owner, slot, 1 });
    }
    return runs;
}

auto SlotMap::rangesOf(std::uint64_t owner) const -> std::vector<SlotRange>
{
    auto runs = this->ranges();
    std::erase_if(runs, [&](const SlotRange& range) { return range.owner != owner; });
    return runs;
}

auto SlotMap::count(std::uint64_t owner) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count(this->owners, owner));
}

auto countSlots(std::span<const SlotRange> ranges) -> std::size_t
{
    return std::accumulate(ranges.begin(), ranges.end(), std::size_t { 0 },
        [](std::size_t sum, const SlotRange& range) { return sum + range.count; });
}

} // namespace citronloft
