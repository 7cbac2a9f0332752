#include <algorithm>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

auto TargetPool::recordLeaving(const std::string& key, TimePoint now) -> bool
{
    return this->statementRegistry->statementsOf(key)->recordLeaving(now);
}

auto TargetPool::recordPause(const std::string& key, TimePoint until, TimePoint now) -> bool
{
    return this->statementRegistry->statementsOf(key)->recordPause(until, now);
}

auto TargetPool::earliestPauseEnd(TimePoint now) const -> std::optional<TimePoint>
{
    auto earliest = std::optional<TimePoint> {};
    for (const auto& member : this->members) {
        const auto& statements = *member.statements;
        if (!statements.isPaused(now) || statements.isLeaving() || this->isExcluded(member, now))
            continue;
        earliest = std::min(earliest.value_or(TimePoint::max()), statements.pausedUntil());
    }
    return earliest;
}

auto TargetPool::acceptsRequests(const Member& member, TimePoint now) const -> bool
{
    return !this->isExcluded(member, now) && !this->hasStatedRefusal(member, now);
}

auto TargetPool::isWithdrawn(const std::string& key, TimePoint now) const -> bool
{
    const auto* member = this->find(key);
    return member == nullptr || isRemoved(*member) || this->hasStatedRefusal(*member, now);
}

/// Returns whether a target has stated that it takes no requests.
auto TargetPool::hasStatedRefusal(const Member& member, TimePoint now) const -> bool
{
    if (member.statements->isPaused(now))
        return true;
    return member.statements->isLeaving() && !this->isLastResort(member, now);
}

/// Returns whether a target is out of use for good, or until the store says otherwise.
auto TargetPool::isRemoved(const Member& member) -> bool
{
    return member.live.evacuated || member.isMisdirected || member.health->state() == TargetState::Draining;
}

/// Returns whether a target is not to be used for reasons other than its own statements.
auto TargetPool::isExcluded(const Member& member, TimePoint now) const -> bool
{
    const auto isEjected = member.health->state() == TargetState::Ejected && !this->isEjectionOver(member, now);
    return isEjected || isRemoved(member);
}

/// Returns whether a target that is leaving has to be used since no other target of its region can be.
auto TargetPool::isLastResort(const Member& member, TimePoint now) const -> bool
{
    const auto isAlternative = [&](const Member& other) {
        return other.live.region == member.live.region && !other.statements->isLeaving()
            && !other.statements->isPaused(now) && !this->isExcluded(other, now);
    };
    return member.statements->acceptsLastRequests(now) && std::ranges::none_of(this->members, isAlternative);
}

} // namespace citronloft
