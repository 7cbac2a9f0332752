/// @file
/// @brief Limits the rate at which callers are moved between zones.
#pragma once

#include <string_view>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Fraction of a zone's callers that look-ups send to other zones.
///
/// Each caller has a fixed position from 0 to 1. All hosts therefore move the same callers first, and a caller moves
/// once in each direction, regardless of the number of its look-ups.
class ShiftBoundary {
public:
    /// @brief Advances the boundary towards `goal` by the time since the last call.
    /// @param goal fraction of the callers to move, from 0 to 1.
    /// @param maxFractionPerMinute maximum rate of change per minute; infinity moves the boundary immediately.
    auto advance(double goal, double maxFractionPerMinute, TimePoint now) -> void;

    /// @return fraction of the callers that is currently sent to other zones.
    [[nodiscard]] auto value() const -> double { return this->boundary; }

    /// @return whether the caller at `position` is sent to another zone.
    [[nodiscard]] auto isMoved(double position) const -> bool { return position < this->boundary; }

private:
    double boundary = 0;
    TimePoint advancedAt {};
};

/// @return fixed position of a caller from 0 to 1, derived from its IP address.
auto callerPosition(std::string_view ip) -> double;

} // namespace citronloft
