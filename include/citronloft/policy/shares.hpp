/// @file
/// @brief Division of a fleet-wide rate into units, exact after integer rounding.
///
/// A bucket of `burst` whole tokens has at most that many units, so that every unit can hold a whole token. Units go to
/// zones by their parts, and inside a zone to slots. Each slot is held by at most one host.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief Slots of a zone; a host holds some of them.
inline constexpr auto slotsPerZone = std::uint32_t { 256 };

/// @brief One token in the unit of all bucket arithmetic.
inline constexpr auto microTokensPerToken = std::int64_t { 1'000'000 };

/// @brief A contiguous run of slots with one owner.
struct SlotRange {
    /// Incarnation of the owning host; 0 if nobody holds the slots.
    std::uint64_t owner = 0;
    std::uint16_t first = 0;
    std::uint16_t count = 0;

    auto operator==(const SlotRange&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->owner, this->first, this->count);
    }
};

/// @brief Rate and cap of a bucket, or of a part of one.
struct BucketShare {
    std::int64_t microTokensPerSecond = 0;
    std::int64_t capMicroTokens = 0;

    auto operator==(const BucketShare&) const -> bool = default;
};

/// @brief A fleet-wide bucket and its division into units.
struct BucketSpec {
    /// Stable over hosts and configurations.
    std::uint64_t id = 0;
    BucketShare whole;
    /// Units over all zones.
    std::uint32_t units = 1;
    /// Units of the zone that asks.
    std::uint32_t zoneUnits = 0;
    /// Micro-tokens that all hosts together may start with; a fleet that restarts as a whole gets them once more.
    std::int64_t startMicroTokens = 0;

    auto operator==(const BucketSpec&) const -> bool = default;
};

/// @brief Divides `total` by `weights` with largest remainders; the parts sum to exactly `total`.
auto divideByWeights(std::uint32_t total, std::span<const std::uint32_t> weights) -> std::vector<std::uint32_t>;

/// @return stable id of a bucket's name.
auto bucketId(std::string_view name) -> std::uint64_t;

/// @param rate tokens per second; `burst` tokens.
/// @param zones zones that share the bucket; `zone` indexes the asking one, or zones.size() for none of them.
auto makeBucketSpec(std::string_view name, double rate, double burst, std::span<const std::uint32_t> zoneParts,
    std::size_t zone) -> BucketSpec;

/// @return the part of a bucket that belongs to the slots of `ranges`.
auto shareOfSlots(const BucketSpec& spec, std::span<const SlotRange> ranges) -> BucketShare;

/// @return units of the bucket that belong to one slot of the zone.
auto unitsOfSlot(const BucketSpec& spec, std::uint32_t slot) -> std::uint32_t;

} // namespace citronloft
