#include "citronloft/policy/loop_delay.hpp"

#include <algorithm>

namespace citronloft {

auto LoopDelay::recordTick(TimePoint dueAt, TimePoint nextDueAt, TimePoint now) -> void
{
    this->lastDelay = std::max(now - dueAt, Duration {});
    this->nextDueAt = nextDueAt;
}

/// Input that is read in the same turn as the next tick, but before it, has waited while that tick was overdue.
auto LoopDelay::waitBefore(TimePoint now) const -> Duration
{
    return now > this->nextDueAt ? std::max(this->lastDelay, now - this->nextDueAt) : this->lastDelay;
}

} // namespace citronloft
