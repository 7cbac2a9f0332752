#include <algorithm>
#include <array>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

namespace {

constexpr auto skipReasonNames = std::to_array<std::string_view>({ "", "evacuated", "draining", "misdirected",
    "ejected", "paused", "leaving", "avoided", "region-not-allowed", "cold", "rate-limited", "full", "lower-rank" });

} // namespace

auto skipReasonName(SkipReason reason) -> std::string_view
{
    return skipReasonNames.at(static_cast<std::size_t>(reason));
}

auto TargetChoice::isSent() const -> bool
{
    const auto isCandidate = [](const ExplainedTarget& target) { return target.skipped == SkipReason::None; };
    return !this->chosen.empty() || (this->isRandom && std::ranges::any_of(this->targets, isCandidate));
}

auto TargetPool::explain(const TargetRequirements& requirements, TargetOrder order, TimePoint now) const -> TargetChoice
{
    auto choice = TargetChoice {};
    choice.hasUsableTarget = this->hasUsableTarget(now);
    for (const auto& member : this->members)
        choice.targets.push_back(this->describe(member, requirements, now));
    if (requirements.object)
        this->explainByObject(choice, requirements, now);
    else
        this->explainSpread(choice, order, now);
    return choice;
}

/// Ranks the targets, which are in the order of `members`, and marks the one that is chosen.
auto TargetPool::explainByObject(TargetChoice& choice, const TargetRequirements& requirements, TimePoint now) const
    -> void
{
    auto best = std::vector<Scored> {};
    auto ranked = std::vector<std::pair<double, ExplainedTarget>> {};
    for (auto index = std::size_t { 0 }; index < this->members.size(); ++index) {
        if (choice.targets[index].skipped == SkipReason::None)
            this->addRanked(best, index, requirements, now);
    }
    const auto* chosen = this->chooseRanked(best);
    for (const auto& item : best) {
        auto& target = choice.targets[item.member];
        // Targets before the chosen one are passed over for their load.
        target.skipped = chosen == nullptr || &item < chosen ? SkipReason::Full : SkipReason::LowerRank;
    }
    for (auto index = std::size_t { 0 }; index < this->members.size(); ++index) {
        auto& target = choice.targets[index];
        if (target.skipped == SkipReason::None)
            target.skipped = SkipReason::LowerRank;
        ranked.emplace_back(scoreOf(this->members[index], requirements), std::move(target));
    }
    if (chosen != nullptr) {
        ranked[chosen->member].second.skipped = SkipReason::None;
        choice.chosen = this->members[chosen->member].key;
    }
    std::ranges::stable_sort(ranked, std::greater {}, [](const auto& item) { return item.first; });
    choice.targets.clear();
    for (auto& [score, target] : ranked)
        choice.targets.push_back(std::move(target));
}

/// Marks the targets that have no room for a request without an object.
auto TargetPool::explainSpread(TargetChoice& choice, TargetOrder order, TimePoint now) const -> void
{
    choice.isRandom = true;
    for (auto index = std::size_t { 0 }; index < this->members.size(); ++index) {
        const auto& member = this->members[index];
        auto& target = choice.targets[index];
        const auto hasRoom = order == TargetOrder::LessLoadedOfTwo
            ? member.inFlight < this->limitOf(member, now)
            : target.load < 1 + this->option.maxTargetQueueFraction;
        if (target.skipped == SkipReason::None && !hasRoom)
            target.skipped = SkipReason::Full;
    }
}

auto TargetPool::describe(const Member& member, const TargetRequirements& requirements, TimePoint now) const
    -> ExplainedTarget
{
    return { member.key, member.live.target.address, member.live.target.zone, member.live.region,
        weightOf(member, requirements.placement), this->loadOf(member, now), member.inFlight, member.health->state(),
        this->skipReason(member, requirements, now) };
}

/// Returns why a target cannot be chosen; None leaves the comparison with the other targets.
auto TargetPool::skipReason(const Member& member, const TargetRequirements& requirements, TimePoint now) const
    -> SkipReason
{
    const auto reason = this->exclusionReason(member, requirements, now);
    if (reason != SkipReason::None || !this->isRateLimited(member, now))
        return reason;
    if (member.pacer.canSendAt(this->rateOf(member, now), now))
        return SkipReason::None;
    return this->isCold(member, now) ? SkipReason::Cold : SkipReason::RateLimited;
}

/// Returns why a target cannot be chosen, apart from its rate.
auto TargetPool::exclusionReason(const Member& member, const TargetRequirements& requirements, TimePoint now) const
    -> SkipReason
{
    if (!this->acceptsRequests(member, now))
        return this->refusalReason(member, now);
    if (std::ranges::find(requirements.avoid, member.key) != requirements.avoid.end())
        return SkipReason::Avoided;
    const auto& regions = requirements.regions;
    if (!regions.empty() && std::ranges::find(regions, member.live.region) == regions.end())
        return SkipReason::RegionNotAllowed;
    return SkipReason::None;
}

/// Returns why a target accepts no requests.
auto TargetPool::refusalReason(const Member& member, TimePoint now) const -> SkipReason
{
    if (member.live.evacuated)
        return SkipReason::Evacuated;
    if (member.isMisdirected)
        return SkipReason::Misdirected;
    if (member.health->state() == TargetState::Draining)
        return SkipReason::Draining;
    if (this->isExcluded(member, now))
        return SkipReason::Ejected;
    return member.statements->isPaused(now) ? SkipReason::Paused : SkipReason::Leaving;
}

} // namespace citronloft
