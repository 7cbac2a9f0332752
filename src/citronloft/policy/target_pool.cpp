#include "citronloft/policy/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace citronloft {

namespace {

constexpr auto latencyWeight = 0.05;
constexpr auto minShedFactor = 0.1;
constexpr auto shedRecovery = 0.02;
/// Time for which a target that shed a request is treated as full; about the time until one of its slots becomes free.
constexpr auto shedFullTime = std::chrono::milliseconds { 150 };

auto ratio(Duration dividend, Duration divisor) -> double
{
    return std::chrono::duration<double>(dividend).count() / std::chrono::duration<double>(divisor).count();
}

/// Weighted rendezvous hashing: -weight / ln(u), where u is derived from the hashes of target and object and uniformly
/// distributed in (0, 1).
auto rendezvousScore(std::uint64_t target, std::uint64_t object, double weight) -> double
{
    const auto mixed = XXH3_64bits_withSeed(&target, sizeof target, object);
    constexpr auto mantissaBits = 53U;
    const auto u = (static_cast<double>(mixed >> (64U - mantissaBits)) + 0.5) / std::exp2(mantissaBits);
    return -weight / std::log(u);
}

} // namespace

auto discoveredPoolOption() -> TargetPoolOption
{
    auto option = TargetPoolOption {};
    option.returnsWithoutProbe = true;
    option.rampTime = std::chrono::milliseconds { 1 };
    option.overcommit = 1;
    option.shedBackoff = 1;
    option.fullTimeAfterShed = shedFullTime;
    option.primaryMaxLoad = 1.5;
    option.maxTargetQueueFraction = 0.8;
    return option;
}

TargetPool::TargetPool(TargetPoolOption option, std::uint64_t seed, std::shared_ptr<TargetStatementRegistry> statements)
    : option(option)
    , random(seed)
    , statementRegistry(std::move(statements))
{
}

auto TargetPool::setTargets(const std::vector<Target>& targets, TimePoint now) -> void
{
    auto live = std::vector<LiveTarget> {};
    for (const auto& target : targets)
        live.emplace_back().target = target;
    this->setLiveTargets(live, now);
}

auto TargetPool::setLiveTargets(const std::vector<LiveTarget>& targets, TimePoint now) -> void
{
    auto kept = std::vector<Member> {};
    for (const auto& live : targets) {
        const auto key = live.key();
        auto* old = this->find(key);
        auto member = old == nullptr ? Member {} : std::move(*old);
        if (!member.health) {
            member.health = makeTargetHealth();
            member.key = key;
            member.hash = hashOf(key);
            member.rampStartedAt = now;
            this->restoreLimit(member);
            member.statements = this->statementRegistry->statementsOf(key);
        }
        member.live = live;
        this->updateDrain(member);
        kept.push_back(std::move(member));
    }
    this->retainLimits(now);
    this->members = std::move(kept);
    this->statementRegistry->expire(now);
    this->indexByKey.clear();
    this->indexByHash.clear();
    for (auto index = std::size_t { 0 }; index < this->members.size(); ++index) {
        this->indexByKey.emplace(this->members[index].key, index);
        this->indexByHash.emplace(static_cast<std::uint32_t>(this->members[index].hash), index);
    }
}

auto TargetPool::acquire(const std::string& avoid, TimePoint now) -> std::optional<std::string>
{
    auto requirements = TargetRequirements {};
    if (!avoid.empty())
        requirements.avoid.push_back(avoid);
    auto chosen = this->acquireFor(requirements, now);
    return chosen || avoid.empty() ? chosen : this->acquireFor({}, now);
}

auto TargetPool::acquireFor(const TargetRequirements& requirements, TimePoint now) -> std::optional<std::string>
{
    auto* chosen = requirements.object ? this->chooseByObject(requirements, now)
                                       : this->chooseLessLoadedOfTwo(requirements, now);
    if (chosen == nullptr && !requirements.object && !requirements.avoid.empty()) {
        auto withoutAvoidance = requirements;
        withoutAvoidance.avoid.clear();
        return this->acquireFor(withoutAvoidance, now);
    }
    if (chosen == nullptr)
        return std::nullopt;
    return this->startRequest(*chosen, now);
}

auto TargetPool::chooseLessLoadedOfTwo(const TargetRequirements& requirements, TimePoint now) -> Member*
{
    auto eligible = std::vector<Member*> {};
    for (auto& member : this->members) {
        if (member.inFlight < this->limitOf(member, now) && this->isEligible(member, requirements, now))
            eligible.push_back(&member);
    }
    if (eligible.empty())
        return nullptr;
    const auto bound = static_cast<std::uint32_t>(eligible.size());
    auto* first = eligible[this->random(bound)];
    auto* second = eligible[this->random(bound)];
    return this->loadOf(*second, now) < this->loadOf(*first, now) ? second : first;
}

/// Chooses the object's first target, unless its load is high and that of another of the object's targets is low.
auto TargetPool::chooseByObject(const TargetRequirements& requirements, TimePoint now) -> Member*
{
    auto& best = this->scored;
    best.clear();
    for (auto index = std::size_t { 0 }; index < this->members.size(); ++index) {
        if (this->isEligible(this->members[index], requirements, now))
            this->addRanked(best, index, requirements, now);
    }
    const auto* chosen = this->chooseRanked(best);
    return chosen == nullptr ? nullptr : &this->members[chosen->member];
}

auto TargetPool::weightOf(const Member& member, Placement placement) -> double
{
    return placement == Placement::Fleet ? member.live.fleetWeight : member.live.weight;
}

auto TargetPool::scoreOf(const Member& member, const TargetRequirements& requirements) -> double
{
    return rendezvousScore(member.hash, *requirements.object, weightOf(member, requirements.placement));
}

/// Adds a target to the best ones of an object if it is among them.
auto TargetPool::addRanked(
    std::vector<Scored>& best, std::size_t index, const TargetRequirements& requirements, TimePoint now) const -> void
{
    const auto byScore = [](const Scored& left, const Scored& right) { return left.score > right.score; };
    const auto& member = this->members[index];
    const auto score = scoreOf(member, requirements);
    if (best.size() == this->option.targetsPerObject && score <= best.back().score)
        return;
    const auto position = std::ranges::upper_bound(best, Scored { score, 0, 0 }, byScore);
    best.insert(position, { score, this->loadOf(member, now), index });
    if (best.size() > this->option.targetsPerObject)
        best.pop_back();
}

auto TargetPool::chooseRanked(const std::vector<Scored>& best) const -> const Scored*
{
    if (best.empty())
        return nullptr;
    const auto& first = best.front();
    if (first.load < this->option.primaryMaxLoad)
        return &first;
    const auto alternative = std::find_if(best.begin() + 1, best.end(),
        [this](const Scored& item) { return item.load < this->option.alternativeMaxLoad; });
    if (alternative != best.end())
        return &*alternative;
    return first.load < 1 + this->option.maxTargetQueueFraction ? &first : nullptr;
}

auto TargetPool::startRequest(Member& member, TimePoint now) -> std::string
{
    ++member.inFlight;
    if (this->isRateLimited(member, now))
        member.pacer.take();
    return member.key;
}

auto TargetPool::isEligible(Member& member, const TargetRequirements& requirements, TimePoint now) -> bool
{
    this->endEjection(member, now);
    if (this->exclusionReason(member, requirements, now) != SkipReason::None)
        return false;
    if (!this->isRateLimited(member, now))
        return true;
    member.pacer.refill(this->rateOf(member, now), now);
    return member.pacer.canSend();
}

/// Returns a target to use after its ejection without a probe; a single further failure ejects it again.
auto TargetPool::endEjection(Member& member, TimePoint now) -> void
{
    if (member.health->state() != TargetState::Ejected || !this->isEjectionOver(member, now))
        return;
    member.health->process(TargetEvent::ProbeOk);
    member.rampStartedAt = now;
    member.failures = this->option.failuresToEject - 1;
}

auto TargetPool::release(const std::string& key, TargetResult result, Duration latency, TimePoint now) -> void
{
    auto* member = this->find(key);
    if (member == nullptr)
        return;
    member->inFlight -= std::min(member->inFlight, 1U);
    switch (result) {
    case TargetResult::Answered:
        this->meanLatency += std::chrono::duration_cast<Duration>((latency - this->meanLatency) * latencyWeight);
        this->recordAnswer(*member, now);
        break;
    case TargetResult::Shed:
        member->shedAt = now;
        member->shedFactor = std::max(member->shedFactor * this->option.shedBackoff, minShedFactor);
        break;
    case TargetResult::Failed:
        this->recordFailure(*member, 1, now);
        break;
    case TargetResult::Unreachable:
        this->recordFailure(*member, this->option.failuresToEject, now);
        break;
    case TargetResult::Misdirected:
        member->isMisdirected = true;
        break;
    case TargetResult::Abandoned:
        break;
    }
}

auto TargetPool::recordProbe(const std::string& key, bool ok, TimePoint now) -> void
{
    auto* member = this->find(key);
    if (member == nullptr)
        return;
    if (!ok) {
        this->recordFailure(*member, 1, now);
        return;
    }
    // A successful probe does not outweigh failed requests, so the ejection is not ended early.
    const auto isWaiting = member->health->state() == TargetState::Ejected && now < member->ejectedUntil;
    if (isWaiting || member->health->state() == TargetState::Healthy || member->health->state() == TargetState::Ramping)
        return;
    member->health->process(TargetEvent::ProbeOk);
    member->rampStartedAt = now;
    member->failures = 0;
}

auto TargetPool::hasUsableTarget(TimePoint now) const -> bool
{
    return std::ranges::any_of(this->members, [&](const Member& member) {
        const auto hasRate = !member.announcedLimit.perSecond() || this->limitShareOf(member, now) > 0;
        return this->acceptsRequests(member, now) && this->limitOf(member, now) > 0 && hasRate;
    });
}

auto TargetPool::freeSlots(TimePoint now) const -> std::uint32_t
{
    auto sum = std::uint32_t { 0 };
    for (const auto& member : this->members)
        sum += this->acceptsRequests(member, now) ? this->freeSlotsOf(member, now) : 0;
    return sum;
}

auto TargetPool::freeSlotsOf(const Member& member, TimePoint now) const -> std::uint32_t
{
    const auto limit = this->limitOf(member, now);
    const auto free = limit - std::min(limit, member.inFlight);
    if (!member.announcedLimit.perSecond())
        return free;
    return member.pacer.canSendAt(this->limitShareOf(member, now), now) ? std::min(free, 1U) : 0;
}

auto TargetPool::totalSlots(TimePoint now) const -> std::uint32_t
{
    const auto serviceSeconds = std::chrono::duration<double>(this->meanLatency).count();
    auto sum = std::uint32_t { 0 };
    auto limitedSum = 0.0;
    for (const auto& member : this->members) {
        if (!this->acceptsRequests(member, now))
            continue;
        const auto slots = this->limitOf(member, now);
        // A rate keeps rate x service time requests in flight.
        if (member.announcedLimit.perSecond())
            limitedSum += std::min(this->limitShareOf(member, now) * serviceSeconds, static_cast<double>(slots));
        else
            sum += slots;
    }
    return sum + static_cast<std::uint32_t>(std::ceil(limitedSum));
}

auto TargetPool::inFlight() const -> std::size_t
{
    auto sum = std::size_t { 0 };
    for (const auto& member : this->members)
        sum += member.inFlight;
    return sum;
}

auto TargetPool::hasFreeCapacity(TimePoint now) const -> bool
{
    return std::ranges::any_of(this->members, [&](const Member& member) {
        return this->acceptsRequests(member, now) && this->freeSlotsOf(member, now) > 0
            && this->loadOf(member, now) < 1 + this->option.maxTargetQueueFraction;
    });
}

auto TargetPool::connectionLimit(const std::string& key) const -> std::uint32_t
{
    const auto* member = this->find(key);
    if (member == nullptr)
        return 0;
    const auto hostConnections = std::floor(member->live.target.connections * this->hostFraction);
    return std::max(static_cast<std::uint32_t>(hostConnections), 1U);
}

auto TargetPool::target(const std::string& key) const -> const LiveTarget*
{
    const auto* member = this->find(key);
    return member == nullptr ? nullptr : &member->live;
}

auto TargetPool::views(TimePoint now) const -> std::vector<TargetView>
{
    auto list = std::vector<TargetView> {};
    for (const auto& member : this->members)
        list.push_back(
            { member.live.target.address, member.health->state(), member.inFlight, this->limitOf(member, now),
                member.announcedLimit.perSecond(), member.statements->isLeaving(), member.statements->pausedUntil() });
    return list;
}

auto TargetPool::hashOf(const std::string& key) -> std::uint64_t { return XXH3_64bits(key.data(), key.size()); }

auto TargetPool::find(const std::string& key) -> Member*
{
    const auto found = this->indexByKey.find(key);
    return found == this->indexByKey.end() ? nullptr : &this->members[found->second];
}

auto TargetPool::find(const std::string& key) const -> const Member*
{
    const auto found = this->indexByKey.find(key);
    return found == this->indexByKey.end() ? nullptr : &this->members[found->second];
}

auto TargetPool::updateDrain(Member& member) -> void
{
    const auto isDraining = member.live.target.draining || member.reportedDraining;
    member.health->process(isDraining ? TargetEvent::DrainStart : TargetEvent::DrainEnd);
}

auto TargetPool::recordFailure(Member& member, unsigned weight, TimePoint now) -> void
{
    member.failures += weight;
    member.failedAt = now;
    const auto isExcluded
        = member.health->state() == TargetState::Ejected || member.health->state() == TargetState::Draining;
    if (isExcluded || member.failures < this->option.failuresToEject || !this->canEject(now))
        return;
    member.health->process(TargetEvent::Failed);
    member.failures = 0;
    const auto factor = 1U << std::min(member.ejections++, 4U);
    member.ejectedAt = now;
    member.ejectedUntil = now + std::min(this->option.baseEjection * factor, this->option.maxEjection);
}

auto TargetPool::recordAnswer(Member& member, TimePoint now) -> void
{
    member.failures = 0;
    member.shedFactor = std::min(member.shedFactor + shedRecovery, 1.0);
    if (member.health->state() == TargetState::Probing) {
        member.health->process(TargetEvent::Answered);
        member.rampStartedAt = now;
    }
    const auto isRampOver = now - member.rampStartedAt >= this->option.rampTime;
    if (member.health->state() == TargetState::Ramping && isRampOver) {
        member.health->process(TargetEvent::RampDone);
        member.ejections = 0;
    }
}

auto TargetPool::isEjectionOver(const Member& member, TimePoint now) const -> bool
{
    return this->option.returnsWithoutProbe && now >= member.ejectedUntil;
}

auto TargetPool::canEject(TimePoint now) const -> bool
{
    const auto inUse
        = std::ranges::count_if(this->members, [&](const Member& m) { return this->acceptsRequests(m, now); });
    const auto minInUse = std::ceil(static_cast<double>(this->members.size()) * this->option.minInUseFraction);
    return static_cast<double>(inUse - 1) >= minInUse;
}

auto TargetPool::limitOf(const Member& member, TimePoint now) const -> std::uint32_t
{
    const auto slots = static_cast<double>(member.live.target.slots);
    const auto hostSlots = std::min(std::ceil(slots * this->hostFraction * this->option.overcommit), slots);
    auto factor = member.shedFactor;
    if (member.health->state() != TargetState::Healthy)
        factor *= std::clamp(ratio(now - member.rampStartedAt, this->option.rampTime), 0.0, 1.0);
    return std::max(static_cast<std::uint32_t>(hostSlots * factor), 1U);
}

} // namespace citronloft
