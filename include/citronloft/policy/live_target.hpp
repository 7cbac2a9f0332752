/// @file
/// @brief A target as reported by discovery: its incarnation, location and warm-up state.
#pragma once

#include <cstdint>
#include <string>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief The current incarnation of a target of a pool.
struct LiveTarget {
    Target target;
    /// Name under which the target registered; empty if it is identified only by its address.
    std::string instance;
    /// Start time of the target's process in milliseconds by its own clock; a different value means a different
    /// incarnation.
    std::int64_t startedAtMs = 0;
    std::string region;
    /// Proportion of the objects that are assigned to the target, relative to the other targets of its pool, for
    /// requests with Placement::Zone.
    double weight = 1;
    /// The same for requests with Placement::Fleet.
    double fleetWeight = 1;
    /// Time until which the target is cold and limited to the cold rate; the default value means a warm target.
    TimePoint coldUntil {};
    /// Maximum rate in requests per second from all hosts together while the target is cold; 0 means no limit.
    double coldRate = 0;
    /// Whether the target's zone is being evacuated, so that no requests are sent to it.
    bool evacuated = false;

    /// @return key that identifies this incarnation within its pool.
    [[nodiscard]] auto key() const -> std::string
    {
        return this->instance.empty() ? this->target.address : this->instance + "@" + std::to_string(this->startedAtMs);
    }
};

} // namespace citronloft
