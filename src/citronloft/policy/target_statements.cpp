#include "citronloft/policy/target_statements.hpp"

#include <algorithm>

namespace citronloft {

namespace {

/// A leaving target accepts requests for 2.5 s; the rest is left for the way to the target.
constexpr auto lastRequestsTime = std::chrono::seconds { 2 };

} // namespace

auto TargetStatements::recordLeaving(TimePoint now) -> bool
{
    if (this->lastRequestsUntil)
        return false;
    this->lastRequestsUntil = now + lastRequestsTime;
    return true;
}

auto TargetStatements::recordPause(TimePoint until, TimePoint now) -> bool
{
    const auto wasPaused = this->isPaused(now);
    this->pauseEndsAt = std::max(this->pauseEndsAt, until);
    return !wasPaused && this->isPaused(now);
}

auto TargetStatements::acceptsLastRequests(TimePoint now) const -> bool
{
    return this->lastRequestsUntil && now < *this->lastRequestsUntil;
}

} // namespace citronloft
