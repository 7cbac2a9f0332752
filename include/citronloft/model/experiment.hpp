/// @file
/// @brief Simulates one strategy under one load pattern in virtual time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "citronloft/model/load_pattern.hpp"
#include "citronloft/model/strategy.hpp"

namespace citronloft {

/// @brief Request counts by outcome; a caller counts once, regardless of its number of attempts.
struct Tally {
    std::uint64_t asked = 0;
    std::uint64_t inObjective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    double worthAsked = 0;
    double worthEarned = 0;
    /// Time from a caller's first attempt to its answer, in milliseconds.
    std::vector<double> latenciesMs;

    /// @return fraction of the requested worth that was earned, from 0 to 1.
    [[nodiscard]] auto earned() const -> double
    {
        return this->worthAsked > 0 ? this->worthEarned / this->worthAsked : 0;
    }

    /// @return a quantile of the latencies in milliseconds, or 0 if there are none.
    [[nodiscard]] auto quantileMs(double part) const -> double;
};

/// @brief Result of one simulation run.
struct ExperimentResult {
    std::string pattern;
    std::string strategy;
    std::uint64_t seed = 0;
    Tally all;
    std::map<std::string, Tally> byKind;
    std::map<std::string, Tally> byZone;
    std::map<std::string, Tally> byTeam;
    /// Keyed by the second of the first attempt.
    std::map<std::int64_t, Tally> bySecond;
    /// Fraction of the runs whose object was cached at the target.
    double warmFraction = 0;
    /// Runs of the busiest target, divided by the mean over all targets.
    double busiest = 0;
    /// Refused attempts, including those whose callers retried.
    std::uint64_t refusals = 0;
};

/// @brief Runs one simulation. Arrivals depend only on pattern and seed, so all strategies receive the same load.
auto runExperiment(const LoadPattern& pattern, const Strategy& strategy, std::uint64_t seed) -> ExperimentResult;

} // namespace citronloft
