#include "citronloft/policy/shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace citronloft {

namespace {

auto toMicroTokens(double tokens) -> std::int64_t
{
    return static_cast<std::int64_t>(std::floor(tokens * static_cast<double>(microTokensPerToken)));
}

/// Applies the largest remainder method. Ties are resolved from a bucket-specific index on, so that the units of small
/// buckets are not all assigned to the same zone.
auto divideByWeights(std::uint32_t total, std::span<const std::uint32_t> weights, std::size_t tieOffset)
    -> std::vector<std::uint32_t>
{
    auto parts = std::vector<std::uint32_t>(weights.size(), 0);
    const auto sum = std::accumulate(weights.begin(), weights.end(), std::uint64_t { 0 });
    if (sum == 0)
        return parts;
    auto left = total;
    for (auto i = std::size_t { 0 }; i < weights.size(); ++i) {
        parts[i] = static_cast<std::uint32_t>(std::uint64_t { total } * weights[i] / sum);
        left -= parts[i];
    }
    auto order = std::vector<std::size_t>(weights.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(tieOffset % weights.size()), order.end());
    std::ranges::stable_sort(
        order, std::greater {}, [&](std::size_t i) { return std::uint64_t { total } * weights[i] % sum; });
    for (auto i = std::size_t { 0 }; i < left; ++i)
        ++parts[order[i]];
    return parts;
}

} // namespace

auto divideByWeights(std::uint32_t total, std::span<const std::uint32_t> weights) -> std::vector<std::uint32_t>
{
    return divideByWeights(total, weights, 0);
}

auto bucketId(std::string_view name) -> std::uint64_t { return XXH3_64bits(name.data(), name.size()); }

auto makeBucketSpec(std::string_view name, double rate, double burst, std::span<const std::uint32_t> zoneWeights,
    std::size_t zone) -> BucketSpec
{
    auto spec = BucketSpec {};
    spec.id = bucketId(name);
    spec.fleetShare = { toMicroTokens(rate), toMicroTokens(burst) };
    const auto maxUnits = static_cast<double>(slotsPerZone * std::max<std::size_t>(zoneWeights.size(), 1));
    spec.units = static_cast<std::uint32_t>(std::clamp(std::floor(burst), 1.0, maxUnits));
    if (zone < zoneWeights.size())
        spec.zoneUnits = divideByWeights(spec.units, zoneWeights, spec.id % zoneWeights.size())[zone];
    return spec;
}

auto unitsOfSlot(const BucketSpec& spec, std::uint32_t slot) -> std::uint32_t
{
    // Unit u belongs to slot floor(u * slots / units), rotated by an offset derived from the bucket's id.
    const auto rotatedSlot = (slot + static_cast<std::uint32_t>(spec.id >> 32U)) % slotsPerZone;
    const auto before = (std::uint64_t { rotatedSlot } * spec.zoneUnits + slotsPerZone - 1) / slotsPerZone;
    const auto after = (std::uint64_t { rotatedSlot + 1 } * spec.zoneUnits + slotsPerZone - 1) / slotsPerZone;
    return static_cast<std::uint32_t>(after - before);
}

auto shareOfSlots(const BucketSpec& spec, std::span<const SlotRange> ranges) -> BucketShare
{
    auto units = std::int64_t { 0 };
    for (const auto& range : ranges) {
        const auto end = std::uint32_t { range.first } + range.count;
        for (auto slot = std::uint32_t { range.first }; slot < end; ++slot)
            units += unitsOfSlot(spec, slot);
    }
    // The amount per unit is rounded down, so the sum over any division of the units never exceeds the bucket.
    return { spec.fleetShare.microTokensPerSecond / spec.units * units,
        spec.fleetShare.capMicroTokens / spec.units * units };
}

} // namespace citronloft
