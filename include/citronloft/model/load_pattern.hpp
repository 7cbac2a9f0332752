/// @file
/// @brief Load patterns and faults under which strategies are compared.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief One kind of request.
struct RequestKind {
    std::string_view name;
    /// Fraction of all requests.
    double share = 1;
    /// Queue priority; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Run time at a target that has the object cached.
    Duration work {};
    Duration objective {};
    Duration deadline {};
    /// Value of an answer within the objective, and of a later one.
    double worth = 1;
    double lateWorth = 0.2;
    /// Maximum retries of a caller after a refusal or a failure.
    unsigned maxRetries = 1;
};

/// @brief A time span, relative to the start of the run.
struct Span {
    Duration from {};
    Duration until {};
};

/// @brief Load, targets and faults of one run. Two zones share a region; the third zone is in another region.
struct LoadPattern {
    std::string_view name;
    /// One-line description.
    std::string_view about;
    std::vector<RequestKind> kinds;
    /// Number of targets in each zone.
    std::vector<std::size_t> targetsByZone { 6, 6, 6 };
    std::size_t hostsPerZone = 2;
    std::uint32_t slots = 9;
    /// Offered load as a fraction of the capacity of all targets with warm caches.
    double utilisation = 0.6;
    /// Load factor during `surgeSpan`.
    double surge = 1;
    Span surgeSpan {};
    /// Fraction of the requests that concern one object.
    double hotObject = 0;
    /// Load factor of the first of ten teams.
    double hotTeam = 1;
    /// Fraction of callers that retry immediately and ignore the retry delay.
    double insistentCallers = 0;
    /// Fractions of the targets that, during `faultSpan`, are slowed by `slowdown`, fail the fraction
    /// `greyFailures` of their requests, or are down.
    double slowTargets = 0;
    double slowdown = 1;
    double greyTargets = 0;
    double greyFailures = 0;
    double lostTargets = 0;
    Span faultSpan {};
    /// If false, the caches of the targets are empty at the start.
    bool startsWarm = true;
    /// Delay of targets' load reports.
    Duration reportLag {};
    Duration duration = std::chrono::seconds { 24 };
};

/// @return all patterns.
auto loadPatterns() -> std::span<const LoadPattern>;

/// @return the pattern with the given name, or null.
auto findLoadPattern(std::string_view name) -> const LoadPattern*;

} // namespace citronloft
