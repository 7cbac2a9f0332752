/// @file
/// @brief Exchange of observations of lost and answered requests between hosts.
#pragma once

#include <utility>

#include "citronloft/fleet/observation_exchange.hpp"
#include "citronloft/policy/request_quarantine.hpp"

namespace citronloft {

/// @brief Observations of requests that were lost with a target, or answered, by request and target.
struct LossTraits {
    using Observation = RequestObservation;
    using Report = LossReport;
    using Key = std::pair<std::uint64_t, std::uint64_t>;

    /// Keeps a notice below half of the maximum size of a datagram; the rest follows with the next notice.
    static constexpr auto maxReports = std::size_t { 256 };

    static auto key(const Observation& observed) -> Key { return { observed.request, observed.target }; }

    static auto report(const Observation& observed, std::uint32_t ageMs) -> Report
    {
        return { observed.request, observed.target, ageMs };
    }

    static auto observation(const Report& report, TimePoint observedAt) -> Observation
    {
        return { report.request, report.target, observedAt };
    }
};

using LossExchange = ObservationExchange<LossTraits>;

} // namespace citronloft
