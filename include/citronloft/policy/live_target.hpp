/// @file
/// @brief A target as discovery shows it: which incarnation it is, where it stands, whether it is cold.
#pragma once

#include <cstdint>
#include <string>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief A target of a pool at one moment.
struct LiveTarget {
    Target target;
    /// Name under which the target registered; empty if it is named by its address alone.
    std::string instance;
    /// Start of the target's process in milliseconds of its own clock; another value is another incarnation.
    std::int64_t startedAtMs = 0;
    std::string region;
    /// Part of the objects that the target should hold, relative to the others of its pool.
    double weight = 1;
    /// Until then the target bears only its pool's cold rate; the default is a warm target.
    TimePoint coldUntil {};
    /// Requests per second that a cold target bears from all hosts together; 0: no limit.
    double coldRate = 0;
    /// True: its zone is being emptied, nothing may be sent there.
    bool evacuated = false;

    /// @return the key under which a pool knows this incarnation.
    [[nodiscard]] auto key() const -> std::string
    {
        return this->instance.empty() ? this->target.address : this->instance + "@" + std::to_string(this->startedAtMs);
    }
};

} // namespace citronloft
