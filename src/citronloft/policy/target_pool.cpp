#include "citronloft/policy/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace citronloft {

namespace {

constexpr auto latencyWeight = 0.05;
constexpr auto leastShedFactor = 0.1;
constexpr auto shedRecovery = 0.02;

auto ratio(Duration part, Duration whole) -> double
{
    return std::chrono::duration<double>(part).count() / std::chrono::duration<double>(whole).count();
}

} // namespace

TargetPool::TargetPool(TargetPoolOption option, std::uint64_t seed)
    : option(option)
    , random(seed)
{
}

auto TargetPool::setTargets(const std::vector<Target>& targets, TimePoint now) -> void
{
    auto kept = std::vector<Member> {};
    for (const auto& target : targets) {
        auto* old = this->find(target.address);
        auto member = old == nullptr ? Member {} : std::move(*old);
        if (!member.health) {
            member.health = makeTargetHealth();
            member.rampStartedAt = now;
        }
        member.target = target;
        this->updateDrain(member);
        kept.push_back(std::move(member));
    }
    this->members = std::move(kept);
}

auto TargetPool::acquire(const std::string& avoid, TimePoint now) -> std::optional<std::string>
{
    auto open = std::vector<Member*> {};
    for (auto& member : this->members) {
        if (this->takesWork(member) && member.inFlight < this->limitOf(member, now))
            open.push_back(&member);
    }
    if (open.size() > 1)
        std::erase_if(open, [&](const Member* member) { return member->target.address == avoid; });
    if (open.empty())
        return std::nullopt;
    const auto bound = static_cast<std::uint32_t>(open.size());
    auto* first = open[this->random(bound)];
    auto* second = open[this->random(bound)];
    auto* chosen = this->loadOf(*second, now) < this->loadOf(*first, now) ? second : first;
    ++chosen->inFlight;
    return chosen->target.address;
}

auto TargetPool::release(const std::string& address, TargetResult result, Duration latency, TimePoint now) -> void
{
    auto* member = this->find(address);
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
        member->shedFactor = std::max(member->shedFactor / 2, leastShedFactor);
        break;
    case TargetResult::Failed:
        this->recordFailure(*member, now);
        break;
    case TargetResult::Abandoned:
        break;
    }
}

auto TargetPool::report(const std::string& address, TargetReport report, TimePoint now) -> void
{
    auto* member = this->find(address);
    if (member == nullptr)
        return;
    member->reportedAt = now;
    member->reportedInFlight = report.inFlight;
    member->reportedDraining = report.draining;
    this->updateDrain(*member);
}

auto TargetPool::probed(const std::string& address, bool ok, TimePoint now) -> void
{
    auto* member = this->find(address);
    if (member == nullptr)
        return;
    if (!ok) {
        this->recordFailure(*member, now);
        return;
    }
    // A probe that succeeds does not outweigh requests that fail: an ejection runs its time first.
    const auto isWaiting = member->health->state() == TargetState::Ejected && now < member->ejectedUntil;
    if (isWaiting || member->health->state() == TargetState::Healthy || member->health->state() == TargetState::Ramping)
        return;
    member->health->process(TargetEvent::ProbeOk);
    member->rampStartedAt = now;
    member->failures = 0;
}

auto TargetPool::isUsable(TimePoint now) const -> bool
{
    return std::ranges::any_of(
        this->members, [&](const Member& member) { return this->takesWork(member) && this->limitOf(member, now) > 0; });
}

auto TargetPool::freeSlots(TimePoint now) const -> std::uint32_t
{
    auto sum = std::uint32_t { 0 };
    for (const auto& member : this->members) {
        const auto limit = this->limitOf(member, now);
        if (this->takesWork(member) && member.inFlight < limit)
            sum += limit - member.inFlight;
    }
    return sum;
}

auto TargetPool::totalSlots(TimePoint now) const -> std::uint32_t
{
    auto sum = std::uint32_t { 0 };
    for (const auto& member : this->members)
        sum += this->takesWork(member) ? this->limitOf(member, now) : 0;
    return sum;
}

auto TargetPool::connectionLimit(const std::string& address) const -> std::uint32_t
{
    const auto member = std::ranges::find(this->members, address, [](const Member& m) { return m.target.address; });
    if (member == this->members.end())
        return 0;
    const auto part = std::floor(member->target.connections * this->hostPart);
    return std::max(static_cast<std::uint32_t>(part), 1U);
}

auto TargetPool::views(TimePoint now) const -> std::vector<TargetView>
{
    auto list = std::vector<TargetView> {};
    for (const auto& member : this->members)
        list.push_back({ member.target.address, member.health->state(), member.inFlight, this->limitOf(member, now) });
    return list;
}

auto TargetPool::find(const std::string& address) -> Member*
{
    const auto found
        = std::ranges::find(this->members, address, [](const Member& member) { return member.target.address; });
    return found == this->members.end() ? nullptr : &*found;
}

auto TargetPool::updateDrain(Member& member) -> void
{
    const auto drains = member.target.draining || member.reportedDraining;
    member.health->process(drains ? TargetEvent::DrainStart : TargetEvent::DrainEnd);
}

auto TargetPool::recordFailure(Member& member, TimePoint now) -> void
{
    ++member.failures;
    const auto isOut
        = member.health->state() == TargetState::Ejected || member.health->state() == TargetState::Draining;
    if (isOut || member.failures < this->option.failuresToEject || !this->mayEject())
        return;
    member.health->process(TargetEvent::Failed);
    member.failures = 0;
    const auto factor = 1U << std::min(member.ejections++, 4U);
    member.ejectedUntil = now + std::min(this->option.ejectFor * factor, this->option.greatestEjection);
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

auto TargetPool::mayEject() const -> bool
{
    const auto inUse = std::ranges::count_if(this->members, [&](const Member& m) { return this->takesWork(m); });
    const auto least = std::ceil(static_cast<double>(this->members.size()) * this->option.floor);
    return static_cast<double>(inUse - 1) >= least;
}

auto TargetPool::takesWork(const Member& member) const -> bool
{
    const auto state = member.health->state();
    return state != TargetState::Ejected && state != TargetState::Draining;
}

auto TargetPool::limitOf(const Member& member, TimePoint now) const -> std::uint32_t
{
    const auto slots = static_cast<double>(member.target.slots);
    const auto part = std::min(std::ceil(slots * this->hostPart * this->option.overcommit), slots);
    auto factor = member.shedFactor;
    if (member.health->state() != TargetState::Healthy)
        factor *= std::clamp(ratio(now - member.rampStartedAt, this->option.rampTime), 0.0, 1.0);
    return std::max(static_cast<std::uint32_t>(part * factor), 1U);
}

/// Own requests count in full; a report adds what other hosts have in flight, unless the target contradicts it.
auto TargetPool::loadOf(const Member& member, TimePoint now) const -> double
{
    const auto isRecent = now - member.reportedAt < this->option.reportMaxAge;
    const auto hasShed = now - member.shedAt < this->option.distrustAfterShed && member.shedAt != TimePoint {};
    auto load = static_cast<double>(member.inFlight);
    if (hasShed)
        load = std::max(load, static_cast<double>(member.target.slots));
    else if (isRecent)
        load = std::max(load, static_cast<double>(member.reportedInFlight));
    return load / static_cast<double>(member.target.slots);
}

} // namespace citronloft
