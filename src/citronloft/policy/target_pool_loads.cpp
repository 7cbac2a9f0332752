#include <algorithm>
#include <utility>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

namespace {

/// Weight of the latest report in the smoothed load from outside the zone.
constexpr auto reportWeight = 0.3;

/// @return weight of a value of the given age, which decreases linearly from 1 to 0 at `limit`.
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
    this->updateOutsideInFlight(*member, std::max(static_cast<double>(report.inFlight) - known, 0.0), now);
    member->hasReport = true;
    member->reportedDraining = report.draining;
    this->updateDrain(*member);
}

/// Returns the load as a multiple of the target's slots. In-flight requests of this host and its zone are counted
/// exactly; those from outside the zone are estimated from reports.
auto TargetPool::loadOf(const Member& member, TimePoint now) const -> double
{
    auto load = static_cast<double>(member.inFlight + this->zoneInFlight(member, now));
    const auto age = now - member.reportedAt;
    if (member.reportedAt != TimePoint {} && age < this->option.reportMaxAge)
        load += member.outsideInFlight * weightOfAge(age, this->option.reportMaxAge);
    const auto hasShed = now - member.shedAt < this->option.fullTimeAfterShed && member.shedAt != TimePoint {};
    if (hasShed)
        load = std::max(load, static_cast<double>(member.live.target.slots));
    return load / static_cast<double>(member.live.target.slots);
}

auto TargetPool::zoneInFlight(const Member& member, TimePoint now) const -> std::uint32_t
{
    return now - this->zoneLoadsUpdatedAt < this->option.noticeMaxAge ? member.zoneInFlight : 0;
}

auto TargetPool::updateOutsideInFlight(Member& member, double outsideInFlight, TimePoint now) -> void
{
    member.outsideInFlight += (outsideInFlight - member.outsideInFlight) * reportWeight;
    member.reportedAt = now;
}

auto TargetPool::takeLoads() -> std::vector<TargetLoad>
{
    auto loads = std::vector<TargetLoad> {};
    for (auto& member : this->members) {
        const auto hasReport = std::exchange(member.hasReport, false);
        if (member.inFlight == 0 && !hasReport)
            continue;
        constexpr auto maxCount = std::uint32_t { TargetLoad::noReport - 1 };
        const auto outsideInFlight = static_cast<std::uint8_t>(std::min<double>(member.outsideInFlight, maxCount));
        loads.push_back(
            { static_cast<std::uint32_t>(member.hash), static_cast<std::uint8_t>(std::min(member.inFlight, maxCount)),
                hasReport ? outsideInFlight : TargetLoad::noReport });
    }
    return loads;
}

auto TargetPool::setZoneLoads(const std::vector<TargetLoad>& loads, TimePoint now) -> void
{
    this->zoneLoadsUpdatedAt = now;
    for (auto& member : this->members)
        member.zoneInFlight = 0;
    for (const auto& load : loads) {
        const auto found = this->indexByHash.find(load.target);
        if (found == this->indexByHash.end())
            continue;
        auto& member = this->members[found->second];
        member.zoneInFlight = load.inFlight;
        if (load.outsideInFlight != TargetLoad::noReport)
            this->updateOutsideInFlight(member, load.outsideInFlight, now);
    }
}

} // namespace citronloft
