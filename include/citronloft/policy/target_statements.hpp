/// @file
/// @brief What one run of a target has stated in its answers about further requests.
#pragma once

#include <optional>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Statements of one run of a target.
class TargetStatements {
public:
    /// @brief Records that the target is about to stop. This is final: another run of the target has its own
    /// statements.
    /// @return whether the target had not said so before.
    auto recordLeaving(TimePoint now) -> bool;

    /// @brief Records that the target wants no requests until `until`, unless it asked for a longer pause before.
    /// @return whether a pause began.
    auto recordPause(TimePoint until, TimePoint now) -> bool;

    [[nodiscard]] auto isLeaving() const -> bool { return this->lastRequestsUntil.has_value(); }

    /// @return whether the target is leaving but can still be sent requests that no other target can take.
    [[nodiscard]] auto acceptsLastRequests(TimePoint now) const -> bool;

    [[nodiscard]] auto isPaused(TimePoint now) const -> bool { return now < this->pauseEndsAt; }
    [[nodiscard]] auto pausedUntil() const -> TimePoint { return this->pauseEndsAt; }

private:
    /// Nothing unless the target is leaving.
    std::optional<TimePoint> lastRequestsUntil;
    TimePoint pauseEndsAt {};
};

} // namespace citronloft
