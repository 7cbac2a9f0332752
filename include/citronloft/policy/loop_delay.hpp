/// @file
/// @brief Estimates how long input has waited before a busy event loop read it.
#pragma once

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Delay of an event loop, measured by a periodic timer of it.
///
/// Load pattern: a host has more work than its processor does in time, so that requests wait in their sockets for a
/// whole turn of the loop. Their callers' time runs from their arrival, which the host does not see. A request that is
/// dated from when it was read is kept too long, and sent on with more time than is left.
class LoopDelay {
public:
    /// @brief Records a tick of the timer.
    /// @param dueAt time at which the tick was due.
    /// @param nextDueAt time at which the next one is due.
    auto recordTick(TimePoint dueAt, TimePoint nextDueAt, TimePoint now) -> void;

    /// @return the longest time for which input that is read now may have waited.
    [[nodiscard]] auto waitBefore(TimePoint now) const -> Duration;

private:
    Duration lastDelay {};
    TimePoint nextDueAt = TimePoint::max();
};

} // namespace citronloft
