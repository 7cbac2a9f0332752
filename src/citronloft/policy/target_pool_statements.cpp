#include <algorithm>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

namespace {

/// Time for which the statements of a target that has left the pool are retained. Entries can disappear and return
/// while the store is unavailable or has been restored, although their targets still run.
constexpr auto statementRetention = std::chrono::minutes { 10 };

} // namespace

auto TargetPool::recordLeaving(const std::string& key, TimePoint now) -> bool
{
    auto* member = this->find(key);
    return member != nullptr && member->statements.recordLeaving(now);
}

auto TargetPool::recordPause(const std::string& key, TimePoint until, TimePoint now) -> bool
{
    auto* member = this->find(key);
    return member != nullptr && member->statements.recordPause(until, now);
}

auto TargetPool::earliestPauseEnd(TimePoint now) const -> std::optional<TimePoint>
{
    auto earliest = std::optional<TimePoint> {};
    for (const auto& member : this->members) {
        const auto& statements = member.statements;
        if (!statements.isPaused(now) || statements.isLeaving() || this->isExcluded(member, now))
            continue;
        earliest = std::min(earliest.value_or(TimePoint::max()), statements.pausedUntil());
    }
    return earliest;
}

auto TargetPool::acceptsRequests(const Member& member, TimePoint now) const -> bool
{
    if (this->isExcluded(member, now) || member.statements.isPaused(now))
        return false;
    return !member.statements.isLeaving() || this->isLastResort(member, now);
}

/// Returns whether a target is not to be used for reasons other than its own statements.
auto TargetPool::isExcluded(const Member& member, TimePoint now) const -> bool
{
    if (member.live.evacuated || member.isMisdirected)
        return true;
    const auto state = member.health->state();
    const auto isEjected = state == TargetState::Ejected && !this->isEjectionOver(member, now);
    return isEjected || state == TargetState::Draining;
}

/// Returns whether a target that is leaving has to be used since no other target of its region can be.
auto TargetPool::isLastResort(const Member& member, TimePoint now) const -> bool
{
    const auto isAlternative = [&](const Member& other) {
        return other.live.region == member.live.region && !other.statements.isLeaving()
            && !other.statements.isPaused(now) && !this->isExcluded(other, now);
    };
    return member.statements.acceptsLastRequests(now) && std::ranges::none_of(this->members, isAlternative);
}

/// Retains the statements of members that are leaving the pool; to be called while `members` holds only these.
auto TargetPool::retainStatements(TimePoint now) -> void
{
    std::erase_if(this->departedStatements, [&](const auto& item) { return now >= item.second.expiresAt; });
    for (const auto& member : this->members) {
        if (member.health && (member.statements.isLeaving() || member.statements.isPaused(now)))
            this->departedStatements[member.key]
                = { member.statements, std::max(now + statementRetention, member.statements.pausedUntil()) };
    }
}

auto TargetPool::restoreStatements(Member& member) -> void
{
    const auto departed = this->departedStatements.find(member.key);
    if (departed == this->departedStatements.end())
        return;
    member.statements = departed->second.statements;
    this->departedStatements.erase(departed);
}

} // namespace citronloft
