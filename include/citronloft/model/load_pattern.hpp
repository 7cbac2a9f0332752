/// @file
/// @brief Loads and troubles that decisions are tried on.
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
    /// Part of all requests.
    double share = 1;
    /// Rank in queues, 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Time of a run at a target that holds the object.
    Duration work {};
    Duration objective {};
    Duration deadline {};
    /// Credit of an answer within the objective, and of a later one.
    double worth = 1;
    double lateWorth = 0.2;
    /// Times that a caller comes again after a refusal or a failure.
    unsigned repeats = 1;
};

/// @brief A span of the run, relative to its start.
struct Span {
    Duration from {};
    Duration until {};
};

/// @brief Load, targets and troubles of one run. Two zones share a region, the third is another.
struct LoadPattern {
    std::string_view name;
    /// What happens, in one line.
    std::string_view about;
    std::vector<RequestKind> kinds;
    /// Targets of each zone.
    std::vector<std::size_t> targetsByZone { 6, 6, 6 };
    std::size_t hostsPerZone = 2;
    std::uint32_t slots = 9;
    /// Offered load as a part of what all targets can run warm.
    double utilisation = 0.6;
    /// Factor on the load in a span.
    double surge = 1;
    Span surgeSpan {};
    /// Part of the requests that concern one object.
    double hotObject = 0;
    /// Factor on the requests of the first of ten teams.
    double hotTeam = 1;
    /// Part of callers that come again at once, whatever they are told.
    double insistent = 0;
    /// Part of the targets that are slow by a factor in a span, that fail a part of their requests, that are gone.
    double slowTargets = 0;
    double slowness = 1;
    double greyTargets = 0;
    double greyFailures = 0;
    double lostTargets = 0;
    Span troubleSpan {};
    /// False: targets hold no objects at the start.
    bool startsWarm = true;
    /// Age of targets' reports when they arrive.
    Duration reportLag {};
    Duration duration = std::chrono::seconds { 24 };
};

/// @return all patterns.
auto loadPatterns() -> std::span<const LoadPattern>;

/// @return the pattern of that name, or null.
auto findLoadPattern(std::string_view name) -> const LoadPattern*;

} // namespace citronloft
