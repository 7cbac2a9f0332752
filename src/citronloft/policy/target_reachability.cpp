#include "citronloft/policy/target_reachability.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace citronloft {

TargetReachability::TargetReachability(TargetReachabilityOption option)
    : option(option)
    , holdTime(option.baseHoldTime)
{
}

auto TargetReachability::setTargets(const std::vector<PathTarget>& targets) -> void
{
    auto next = std::vector<Known> {};
    auto nextIndex = std::unordered_map<std::string, std::size_t> {};
    for (const auto& target : targets) {
        const auto old = this->indexByKey.find(target.key);
        auto& added = next.emplace_back(old == this->indexByKey.end() ? Known {} : this->known[old->second]);
        added.target = target;
        nextIndex.emplace(target.key, next.size() - 1);
    }
    this->known = std::move(next);
    this->indexByKey = std::move(nextIndex);
}

auto TargetReachability::recordStart(TimePoint now) -> void
{
    if (this->outstanding++ == 0)
        this->outstandingSince = now;
}

auto TargetReachability::recordEnd() -> void { this->outstanding -= std::min<std::size_t>(this->outstanding, 1); }

auto TargetReachability::recordAnswer(const std::string& key, TimePoint startedAt, TimePoint now) -> void
{
    this->lastAnswerAt = std::max(this->lastAnswerAt, now);
    this->nextHealthProbesAt = TimePoint {};
    this->recordReached(key, startedAt, now);
    if (this->kind == ProbeKind::Health)
        this->clearSuspicion();
}

auto TargetReachability::recordLoss(const std::string& key, TimePoint now) -> void
{
    if (const auto found = this->indexByKey.find(key); found != this->indexByKey.end())
        this->extend(this->known[found->second].losses, now, this->lastReachedAt, now);
}

auto TargetReachability::recordUnanswered(const std::string& key, TimePoint now) -> void
{
    this->recordLoss(key, now);
    if (const auto found = this->indexByKey.find(key); found != this->indexByKey.end())
        this->known[found->second].unansweredAt = now;
}

auto TargetReachability::recordConnect(const std::string& key, bool isOpen, TimePoint startedAt, TimePoint now) -> void
{
    if (!isOpen) {
        this->recordNotOpen(key, startedAt, now);
        return;
    }
    this->recordOpen(key, startedAt, now);
    if (this->kind == ProbeKind::Connection)
        this->clearSuspicion();
}

auto TargetReachability::recordProbe(const std::string& key, bool isReached, TimePoint startedAt, TimePoint now) -> void
{
    ++this->probes;
    if (isReached) {
        ++this->probesReached;
        ++this->round.reached;
        this->recordOpen(key, startedAt, now);
        if (this->round.kind == ProbeKind::Health)
            this->lastAnswerAt = now;
    } else {
        const auto found = this->indexByKey.find(key);
        const auto wasReached = found != this->indexByKey.end() && this->holdingSince
            && this->known[found->second].reachedAt >= this->holdingSince;
        // A health probe can wait for a slot, which is no relapse of the path.
        this->round.hasRelapse = this->round.hasRelapse || (wasReached && this->round.kind == ProbeKind::Connection);
        if (this->round.kind == ProbeKind::Connection)
            this->recordNotOpen(key, startedAt, now);
    }
    if (--this->round.pending > 0)
        return;
    constexpr auto ends = std::to_array<EndOfRound>({ &TargetReachability::endRoundWhileReached,
        &TargetReachability::endRoundWhileSuspected, &TargetReachability::endRoundWhileLost });
    (this->*ends.at(static_cast<std::size_t>(this->current)))(now);
}

auto TargetReachability::takeDueProbes(TimePoint now) -> std::vector<PathTarget>
{
    if (this->round.pending > 0 || this->known.empty())
        return {};
    constexpr auto picks = std::to_array<Pick>({ &TargetReachability::pickWhileReached,
        &TargetReachability::pickWhileSuspected, &TargetReachability::pickWhileLost });
    return (this->*picks.at(static_cast<std::size_t>(this->current)))(now);
}

auto TargetReachability::takeChange() -> std::optional<PathChange> { return std::exchange(this->change, {}); }

auto TargetReachability::isPathFailure(TimePoint startedAt) const -> bool
{
    return this->current == PathState::Lost || startedAt < this->backAt;
}

auto TargetReachability::pickWhileReached(TimePoint now) -> std::vector<PathTarget>
{
    if (this->isSilent(now)) {
        this->suspectSilence(now);
        return this->pickWhileSuspected(now);
    }
    auto dueAt = this->probeDueAt();
    if (this->isProbeRequested)
        dueAt = std::min(dueAt, this->round.startedAt + this->option.suspectedInterval);
    if (this->hasSuspiciousFailures(now))
        dueAt = std::min(dueAt, this->round.startedAt + this->option.busyInterval);
    if (now < dueAt)
        return {};
    this->isProbeRequested = false;
    return this->startRound(1, now, now);
}

auto TargetReachability::pickWhileSuspected(TimePoint now) -> std::vector<PathTarget>
{
    if (now < this->nextRoundAt)
        return {};
    return this->startRound(this->option.roundSize, now + this->option.suspectedInterval, now);
}

auto TargetReachability::pickWhileLost(TimePoint now) -> std::vector<PathTarget>
{
    if (now < this->nextRoundAt)
        return {};
    return this->startRound(this->option.roundSize, now + this->option.lostInterval, now);
}

/// A single probe that failed is followed by a round at once.
auto TargetReachability::endRoundWhileReached(TimePoint now) -> void
{
    if (this->round.kind == ProbeKind::Connection && this->lastOpenAt < this->round.startedAt)
        this->suspect(this->round.startedAt, now);
}

auto TargetReachability::endRoundWhileSuspected(TimePoint now) -> void
{
    if (this->round.reached > 0) {
        if (this->round.kind == ProbeKind::Health)
            this->nextHealthProbesAt = now + this->option.silenceInterval;
        this->clearSuspicion();
        return;
    }
    if (now - this->suspectedSince >= this->option.minLossTime)
        this->lose(now);
}

auto TargetReachability::endRoundWhileLost(TimePoint now) -> void
{
    if (this->round.reached == 0 || this->round.hasRelapse)
        this->holdingSince.reset();
    else if (!this->holdingSince)
        this->holdingSince = this->round.startedAt;
    else if (now - *this->holdingSince >= this->holdTime)
        this->regain(now);
}

auto TargetReachability::startRound(std::size_t size, TimePoint nextAt, TimePoint now) -> std::vector<PathTarget>
{
    auto chosen = std::vector<PathTarget> {};
    while (chosen.size() < std::min(size, this->known.size())) {
        auto* next = this->choose(chosen, size == 1);
        next->lastPick = ++this->picks;
        chosen.push_back(next->target);
    }
    this->round = { this->kind, now, chosen.size(), 0, false };
    this->nextRoundAt = nextAt;
    return chosen;
}

/// Chooses a target of a zone and a pool that have the fewest targets in `chosen`, and among these one that has not
/// failed since it was reached, and that was not probed lately.
auto TargetReachability::choose(const std::vector<PathTarget>& chosen, bool prefersNear) -> Known*
{
    const auto rank = [&](const Known& item) {
        const auto isChosen = std::ranges::find(chosen, item.target.key, &PathTarget::key) != chosen.end();
        const auto inZone = std::ranges::count(chosen, item.target.zone, &PathTarget::zone);
        const auto inPool = std::ranges::count(chosen, item.target.pool, &PathTarget::pool);
        const auto hasFailed = item.failedConnects.lastAt > item.reachedAt.value_or(TimePoint {});
        const auto isFar = prefersNear && !item.target.isNear;
        return std::tuple { isChosen, inZone, inPool, hasFailed, isFar, item.lastPick };
    };
    auto* best = &this->known.front();
    for (auto& item : this->known) {
        if (rank(item) < rank(*best))
            best = &item;
    }
    return best;
}

auto TargetReachability::suspect(TimePoint since, TimePoint now) -> void
{
    this->current = PathState::Suspected;
    this->suspectedSince = since;
    this->nextRoundAt = now;
    this->probes = 1;
    this->probesReached = 0;
}

auto TargetReachability::suspectSilence(TimePoint now) -> void
{
    this->suspect(now, now);
    this->kind = ProbeKind::Health;
    this->probes = 0;
}

auto TargetReachability::clearSuspicion() -> void
{
    if (this->current != PathState::Suspected)
        return;
    this->current = PathState::Reached;
    this->kind = ProbeKind::Connection;
    this->isProbeRequested = false;
}

auto TargetReachability::lose(TimePoint now) -> void
{
    const auto isFlapping = this->backAt != TimePoint {} && now - this->backAt < this->option.flapMemory;
    this->holdTime = isFlapping ? std::min(this->holdTime * 2, this->option.maxHoldTime) : this->option.baseHoldTime;
    this->holdingSince.reset();
    this->current = PathState::Lost;
    this->change = this->makeChange(PathState::Lost, now);
    this->probes = 0;
    this->probesReached = 0;
}

auto TargetReachability::regain(TimePoint now) -> void
{
    this->change = this->makeChange(PathState::Reached, now);
    this->current = PathState::Reached;
    this->kind = ProbeKind::Connection;
    this->backAt = now;
    this->isProbeRequested = false;
    for (auto& item : this->known) {
        item.losses = {};
        item.failedConnects = {};
        item.unansweredAt = {};
    }
}

auto TargetReachability::recordReached(const std::string& key, TimePoint startedAt, TimePoint now) -> void
{
    this->lastReachedAt = std::max(this->lastReachedAt, now);
    this->reachedStart = std::max(this->reachedStart, startedAt);
    if (const auto found = this->indexByKey.find(key); found != this->indexByKey.end())
        this->known[found->second].reachedAt = now;
}

auto TargetReachability::recordOpen(const std::string& key, TimePoint startedAt, TimePoint now) -> void
{
    this->recordReached(key, startedAt, now);
    this->lastOpenAt = std::max(this->lastOpenAt, startedAt);
}

auto TargetReachability::recordNotOpen(const std::string& key, TimePoint startedAt, TimePoint now) -> void
{
    const auto found = this->indexByKey.find(key);
    if (found == this->indexByKey.end())
        return;
    this->extend(this->known[found->second].failedConnects, startedAt, this->lastOpenAt, now);
}

/// @return whether several targets have failed and none was reached since. Where connections could not be opened,
/// answers on open ones do not count.
auto TargetReachability::hasSuspiciousFailures(TimePoint now) const -> bool
{
    const auto needed = std::min(this->option.failedTargets, this->known.size());
    const auto isSuspicious = [&](Failures Known::*kind, TimePoint successAt) {
        auto targets = std::size_t { 0 };
        auto firstAt = TimePoint::max();
        for (const auto& item : this->known) {
            if (!this->isRecent(item.*kind, successAt, now))
                continue;
            ++targets;
            firstAt = std::min(firstAt, (item.*kind).firstAt);
        }
        return targets >= needed && now - firstAt >= this->option.failureGrace;
    };
    return isSuspicious(&Known::failedConnects, this->lastOpenAt) || isSuspicious(&Known::losses, this->lastReachedAt);
}

/// @return whether requests to several targets have stayed unanswered, and no other has been answered meanwhile.
auto TargetReachability::isSilent(TimePoint now) const -> bool
{
    if (now - this->lastAnswerAt < this->option.silenceTime || now < this->nextHealthProbesAt)
        return false;
    const auto needed = std::min(this->option.failedTargets, this->known.size());
    const auto isUnanswered = [&](const Known& item) { return item.unansweredAt > this->lastAnswerAt; };
    return static_cast<std::size_t>(std::ranges::count_if(this->known, isUnanswered)) >= needed;
}

auto TargetReachability::extend(Failures& failures, TimePoint startedAt, TimePoint successAt, TimePoint now) const
    -> void
{
    if (!this->isRecent(failures, successAt, now))
        failures.firstAt = startedAt;
    failures.lastAt = now;
}

/// An attempt that began before the last success says nothing of the path since then.
auto TargetReachability::isRecent(const Failures& failures, TimePoint successAt, TimePoint now) const -> bool
{
    return failures.firstAt >= successAt && now - failures.lastAt < this->option.failureMemory;
}

auto TargetReachability::probeDueAt() const -> TimePoint
{
    const auto quietSince = std::max(this->lastReachedAt, this->round.startedAt);
    const auto idleDueAt = quietSince + this->option.idleInterval;
    if (this->outstanding == 0)
        return idleDueAt;
    return std::min(idleDueAt, std::max(quietSince, this->outstandingSince) + this->option.busyInterval);
}

auto TargetReachability::makeChange(PathState state, TimePoint now) const -> PathChange
{
    const auto reachedAt = this->kind == ProbeKind::Health ? this->lastAnswerAt : this->lastReachedAt;
    auto made = PathChange { state, reachedAt, reachedAt, 0, this->kind, this->probes, this->probesReached };
    for (const auto& item : this->known) {
        const auto cannotConnect = this->isRecent(item.failedConnects, this->lastOpenAt, now);
        if (cannotConnect)
            made.since = std::min(made.since, item.failedConnects.firstAt);
        const auto isLost = this->isRecent(item.losses, this->lastReachedAt, now)
            || (this->kind == ProbeKind::Health && item.unansweredAt > this->lastAnswerAt);
        made.targetsNotReached += cannotConnect || isLost ? 1 : 0;
    }
    made.since = std::max(made.since, now - this->option.failureMemory);
    return made;
}

auto pathStateName(PathState state) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>({ "reached", "suspected", "lost" });
    return names.at(static_cast<std::size_t>(state));
}

} // namespace citronloft
