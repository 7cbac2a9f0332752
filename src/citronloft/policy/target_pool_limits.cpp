#include <algorithm>
#include <limits>
#include <utility>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

namespace {

/// Rate that is used for lower limits, down to 0, so that an answer can show when the limit ends.
constexpr auto minLimitPerSecond = 0.1;
/// Interval at which this host's share is computed again, since the hosts and the age of the limit change.
constexpr auto limitShareInterval = std::chrono::milliseconds { 250 };
/// Time for which the limit of a target that has left the pool is retained. Entries can disappear while the store is
/// unavailable, although their targets still run.
constexpr auto limitRetention = std::chrono::seconds { 60 };

} // namespace

auto TargetPool::recordRateLimit(
    const std::string& key, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> LimitChange
{
    auto* member = this->find(key);
    if (member == nullptr)
        return this->recordDepartedLimit(key, perSecond, sentAt, now);
    auto& limit = member->announcedLimit;
    const auto change = limit.record(perSecond, sentAt, now);
    this->applyLimitChange(*member, change, now);
    const auto isNews = perSecond || limit.isEndReported(now);
    if (isNews && !std::exchange(member->hasLimitObservation, true))
        this->unreportedLimits.push_back(key);
    return change;
}

/// Records the limit that a target states while its entry is away, in answers to requests that were under way.
auto TargetPool::recordDepartedLimit(
    const std::string& key, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> LimitChange
{
    auto& departed = this->departedLimits[hashOf(key)];
    departed.expiresAt = now + limitRetention;
    const auto change = departed.limit.record(perSecond, sentAt, now);
    departed.hasObservation = departed.hasObservation || perSecond || departed.limit.isEndReported(now);
    return change;
}

auto TargetPool::mergeLimits(const std::vector<LimitObservation>& observations, TimePoint now)
    -> std::vector<LimitUpdate>
{
    auto updates = std::vector<LimitUpdate> {};
    for (const auto& observation : observations) {
        const auto found = this->indexByHash.find(static_cast<std::uint32_t>(observation.target));
        if (found == this->indexByHash.end() || this->members[found->second].hash != observation.target) {
            const auto departed = this->departedLimits.find(observation.target);
            if (departed != this->departedLimits.end())
                departed->second.limit.merge(observation);
            continue;
        }
        auto& member = this->members[found->second];
        const auto change = member.announcedLimit.merge(observation);
        this->applyLimitChange(member, change, now);
        if (change != LimitChange::None)
            updates.push_back({ member.key, change, observation.perSecond });
    }
    return updates;
}

auto TargetPool::takeLimitObservations() -> std::vector<LimitObservation>
{
    auto observations = std::vector<LimitObservation> {};
    for (const auto& key : std::exchange(this->unreportedLimits, {})) {
        auto* member = this->find(key);
        if (member == nullptr)
            continue;
        member->hasLimitObservation = false;
        const auto& limit = member->announcedLimit;
        observations.push_back({ member->hash, limit.perSecond(), limit.observedAt() });
    }
    for (auto& [hash, departed] : this->departedLimits) {
        if (std::exchange(departed.hasObservation, false))
            observations.push_back({ hash, departed.limit.perSecond(), departed.limit.observedAt() });
    }
    return observations;
}

auto TargetPool::announcedLimit(const std::string& key) const -> std::optional<double>
{
    const auto* member = this->find(key);
    return member == nullptr ? std::nullopt : member->announcedLimit.perSecond();
}

auto TargetPool::applyLimitChange(Member& member, LimitChange change, TimePoint now) -> void
{
    if (change != LimitChange::None)
        member.limitShareExpiresAt = TimePoint {};
    if (change == LimitChange::Announced)
        member.pacer.clear(now);
}

/// Retains the limits of members that are leaving the pool; to be called while `members` holds only these.
auto TargetPool::retainLimits(TimePoint now) -> void
{
    std::erase_if(this->departedLimits, [&](const auto& item) { return now >= item.second.expiresAt; });
    for (const auto& member : this->members) {
        if (member.health && member.announcedLimit.perSecond())
            this->departedLimits[member.hash] = { member.announcedLimit, now + limitRetention };
    }
}

auto TargetPool::restoreLimit(Member& member) -> void
{
    const auto departed = this->departedLimits.find(member.hash);
    if (departed == this->departedLimits.end())
        return;
    member.announcedLimit = departed->second.limit;
    member.hasLimitObservation = departed->second.hasObservation;
    if (member.hasLimitObservation)
        this->unreportedLimits.push_back(member.key);
    this->departedLimits.erase(departed);
}

auto TargetPool::isCold(const Member& member, TimePoint now) const -> bool
{
    return member.live.coldRate > 0 && now < member.live.coldUntil;
}

auto TargetPool::isRateLimited(const Member& member, TimePoint now) const -> bool
{
    return this->isCold(member, now) || member.announcedLimit.perSecond();
}

/// Returns the rate in requests per second at which this host can send to a cold or limited target.
auto TargetPool::rateOf(const Member& member, TimePoint now) const -> double
{
    auto rate = std::numeric_limits<double>::max();
    if (this->isCold(member, now))
        rate = this->coldRateShare ? this->coldRateShare(member.live) : member.live.coldRate;
    if (member.announcedLimit.perSecond())
        rate = std::min(rate, this->limitShareOf(member, now));
    return rate;
}

auto TargetPool::limitShareOf(const Member& member, TimePoint now) const -> double
{
    if (now < member.limitShareExpiresAt)
        return member.limitShare;
    const auto perSecond = std::max(member.announcedLimit.perSecond().value_or(0), minLimitPerSecond);
    const auto isRecent = member.announcedLimit.isRecent(now);
    member.limitShare = this->limitShare ? this->limitShare(member.live, perSecond, isRecent) : perSecond;
    member.limitShareExpiresAt = now + limitShareInterval;
    return member.limitShare;
}

} // namespace citronloft
