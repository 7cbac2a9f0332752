#include <algorithm>
#include <utility>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

namespace {

/// Weight of the newest report in the smoothed load from outside the zone.
constexpr auto reportWeight = 0.3;

/// @return the weight of what is `age` old, from 1 down to 0 at `limit`.
auto weightOfAge(Duration age, Duration limit) -> double
{
    return 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(limit);
}

} // namespace

auto TargetPool::report(const std::string& key, TargetReport report, TimePoint now) -> void
{
    auto* member = this->find(key);
    if (member == nullptr)
        return;
    const auto known = member->inFlight + this->zoneInFlight(*member, now);
    this->updateOutside(*member, std::max(static_cast<double>(report.inFlight) - known, 0.0), now);
    member->hasReport = true;
    member->reportedDraining = report.draining;
    this->updateDrain(*member);
}

/// Requests of this host and of its zone are counted; those from outside are estimated from reports.
auto TargetPool::loadOf(const Member& member, TimePoint now) const -> double
{
    auto load = static_cast<double>(member.inFlight + this->zoneInFlight(member, now));
    const auto age = now - member.reportedAt;
    if (member.reportedAt != TimePoint {} && age < this->option.reportMaxAge)
        load += member.outside * weightOfAge(age, this->option.reportMaxAge);
    const auto hasShed = now - member.shedAt < this->option.distrustAfterShed && member.shedAt != TimePoint {};
    if (hasShed)
        load = std::max(load, static_cast<double>(member.live.target.slots));
    return load / static_cast<double>(member.live.target.slots);
}

auto TargetPool::zoneInFlight(const Member& member, TimePoint now) const -> std::uint32_t
{
    return now - this->zoneHeardAt < this->option.noticeMaxAge ? member.zoneInFlight : 0;
}

auto TargetPool::updateOutside(Member& member, double outside, TimePoint now) -> void
{
    member.outside += (outside - member.outside) * reportWeight;
    member.reportedAt = now;
}

auto TargetPool::takeLoads() -> std::vector<TargetLoad>
{
    auto loads = std::vector<TargetLoad> {};
    for (auto& member : this->members) {
        const auto hasReport = std::exchange(member.hasReport, false);
        if (member.inFlight == 0 && !hasReport)
            continue;
        constexpr auto greatest = std::uint32_t { TargetLoad::noReport - 1 };
        const auto outside = static_cast<std::uint8_t>(std::min<double>(member.outside, greatest));
        loads.push_back(
            { static_cast<std::uint32_t>(member.hash), static_cast<std::uint8_t>(std::min(member.inFlight, greatest)),
                hasReport ? outside : TargetLoad::noReport });
    }
    return loads;
}

auto TargetPool::noteZone(const std::vector<TargetLoad>& loads, TimePoint now) -> void
{
    this->zoneHeardAt = now;
    for (auto& member : this->members)
        member.zoneInFlight = 0;
    for (const auto& load : loads) {
        const auto place = this->placeOfHash.find(load.target);
        if (place == this->placeOfHash.end())
            continue;
        auto& member = this->members[place->second];
        member.zoneInFlight = load.inFlight;
        if (load.outside != TargetLoad::noReport)
            this->updateOutside(member, load.outside, now);
    }
}

} // namespace citronloft
