/// @file
/// @brief Moves callers between zones no faster than a cap allows.
#pragma once

#include <string_view>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Part of a zone's callers that look-ups send elsewhere.
///
/// Each caller has a fixed position from 0 to 1, so the same callers move first on every host, and a caller moves once
/// in each direction however often the boundary is asked.
class ShiftBoundary {
public:
    /// @brief Moves the boundary towards `goal` for the time since the last call.
    /// @param goal part of the callers to move, from 0 to 1.
    /// @param partPerMinute greatest speed; infinity moves at once.
    auto advance(double goal, double partPerMinute, TimePoint now) -> void;

    /// @return part of the callers that are sent elsewhere now.
    [[nodiscard]] auto value() const -> double { return this->boundary; }

    /// @return whether the caller at `position` is sent elsewhere.
    [[nodiscard]] auto moves(double position) const -> bool { return position < this->boundary; }

private:
    double boundary = 0;
    TimePoint movedAt {};
};

/// @return the caller's fixed position from 0 to 1, by its IP number.
auto callerPosition(std::string_view ip) -> double;

} // namespace citronloft
