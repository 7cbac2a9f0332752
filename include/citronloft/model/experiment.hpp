/// @file
/// @brief Runs one strategy on one load pattern in virtual time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "citronloft/model/load_pattern.hpp"
#include "citronloft/model/strategy.hpp"

namespace citronloft {

/// @brief Requests by how they ended; each caller counts once, however often it came.
struct Tally {
    std::uint64_t asked = 0;
    std::uint64_t inObjective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    double worthAsked = 0;
    double worthEarned = 0;
    /// Milliseconds from a caller's first attempt to its answer.
    std::vector<double> latenciesMs;

    /// @return part of the worth that was earned, from 0 to 1.
    [[nodiscard]] auto earned() const -> double
    {
        return this->worthAsked > 0 ? this->worthEarned / this->worthAsked : 0;
    }

    /// @return a quantile of the latencies in milliseconds, 0 without any.
    [[nodiscard]] auto quantileMs(double part) const -> double;
};

/// @brief Outcome of one run.
struct ExperimentResult {
    std::string pattern;
    std::string strategy;
    std::uint64_t seed = 0;
    Tally all;
    std::map<std::string, Tally> byKind;
    std::map<std::string, Tally> byZone;
    std::map<std::string, Tally> byTeam;
    /// By whole second of the first attempt.
    std::map<std::int64_t, Tally> bySecond;
    /// Part of the runs that found their object at the target.
    double warmPart = 0;
    /// Runs of the busiest target by the mean of all.
    double busiest = 0;
    /// Attempts that were refused though the callers came again.
    std::uint64_t refusals = 0;
};

/// @brief Runs a pattern. The arrivals depend on pattern and seed alone, so that strategies meet the same load.
auto runExperiment(const LoadPattern& pattern, const Strategy& strategy, std::uint64_t seed) -> ExperimentResult;

} // namespace citronloft
