/// @file
/// @brief Exchange of observations of targets' limits between hosts.
#pragma once

#include "citronloft/fleet/observation_exchange.hpp"
#include "citronloft/policy/announced_limit.hpp"

namespace citronloft {

/// @brief Observations of targets' limits, by target. A lost one is made up for by later ones.
struct LimitTraits {
    using Observation = LimitObservation;
    using Report = LimitReport;
    using Key = std::uint64_t;

    /// Keeps a notice below half of the maximum size of a datagram; the rest follows with the next notice.
    static constexpr auto maxReports = std::size_t { 256 };

    static auto key(const Observation& observed) -> Key { return observed.target; }

    static auto report(const Observation& observed, std::uint32_t ageMs) -> Report
    {
        return { observed.target, observed.perSecond, ageMs };
    }

    static auto observation(const Report& report, TimePoint observedAt) -> Observation
    {
        return { report.target, report.perSecond, observedAt };
    }
};

using LimitExchange = ObservationExchange<LimitTraits>;

} // namespace citronloft
