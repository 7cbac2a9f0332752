/// @file
/// @brief Division of a fleet-wide rate into units, exact after integer rounding.
///
/// A bucket has at most `burst` units, so that each unit can hold one complete token. Units are assigned to zones by
/// weight, and within a zone to slots. Each slot is held by at most one host.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief Number of slots per zone; each host holds some of them.
inline constexpr auto slotsPerZone = std::uint32_t { 256 };

/// @brief Micro-tokens per token; all bucket arithmetic is in micro-tokens.
inline constexpr auto microTokensPerToken = std::int64_t { 1'000'000 };

/// @brief A contiguous range of slots with the same owner.
struct SlotRange {
    /// Incarnation of the owning host; 0 if no host holds the slots.
    std::uint64_t owner = 0;
    std::uint16_t first = 0;
    std::uint16_t count = 0;

    auto operator==(const SlotRange&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->owner, this->first, this->count);
    }
};

/// @brief Rate and capacity of a bucket, or of a share of one.
struct BucketShare {
    std::int64_t microTokensPerSecond = 0;
    std::int64_t capMicroTokens = 0;

    auto operator==(const BucketShare&) const -> bool = default;
};

/// @brief A fleet-wide bucket and its division into units.
struct BucketSpec {
    /// Identical on all hosts and in all configurations.
    std::uint64_t id = 0;
    BucketShare fleetShare;
    /// Total units of all zones.
    std::uint32_t units = 1;
    /// Units of the zone for which the spec was made.
    std::uint32_t zoneUnits = 0;
    /// Micro-tokens that all hosts together receive at start; they are granted again if the entire fleet restarts.
    std::int64_t startMicroTokens = 0;

    auto operator==(const BucketSpec&) const -> bool = default;
};

/// @brief Divides `total` in proportion to `weights` by the largest remainder method; the parts sum to exactly `total`.
auto divideByWeights(std::uint32_t total, std::span<const std::uint32_t> weights) -> std::vector<std::uint32_t>;

/// @return id of a bucket, derived from its name alone.
auto bucketId(std::string_view name) -> std::uint64_t;

/// @brief Divides a bucket into units and computes the units of one zone.
/// @param rate tokens per second.
/// @param burst capacity in tokens.
/// @param zoneWeights weights of the zones that share the bucket.
/// @param zone index of the zone in `zoneWeights`; an index past the end gives no units.
auto makeBucketSpec(std::string_view name, double rate, double burst, std::span<const std::uint32_t> zoneWeights,
    std::size_t zone) -> BucketSpec;

/// @return share of the bucket that belongs to the slots in `ranges`.
auto shareOfSlots(const BucketSpec& spec, std::span<const SlotRange> ranges) -> BucketShare;

/// @return number of units of the bucket that belong to a slot of the zone.
auto unitsOfSlot(const BucketSpec& spec, std::uint32_t slot) -> std::uint32_t;

} // namespace citronloft
