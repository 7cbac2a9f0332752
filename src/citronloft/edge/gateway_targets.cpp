#include <algorithm>
#include <iterator>

#include "citronloft/edge/gateway.hpp"
#include "citronloft/policy/zone_shares.hpp"

namespace citronloft {

namespace {

/// Weight of a target that no request should go to while others take it: the last choice, but one.
constexpr auto leastTargetWeight = 1e-6;
/// The zone's hosts see each other's requests while they run if loads are told several times in that time.
constexpr auto sharesPerRequest = 10;
constexpr auto leastShareInterval = std::chrono::milliseconds { 40 };
constexpr auto greatestShareInterval = std::chrono::milliseconds { 150 };
constexpr auto loadRepeatInterval = std::chrono::milliseconds { 300 };

const auto noRegions = std::vector<std::string> {};

auto randomHash(pcg32& random) -> std::uint64_t { return (std::uint64_t { random() } << 32U) | random(); }

/// Regions in both lists; an empty list stands for all regions.
auto commonRegions(const std::vector<std::string>& left, const std::vector<std::string>& right)
    -> std::vector<std::string>
{
    if (left.empty() || right.empty())
        return left.empty() ? right : left;
    auto common = std::vector<std::string> {};
    std::ranges::copy_if(left, std::back_inserter(common),
        [&](const std::string& region) { return std::ranges::find(right, region) != right.end(); });
    // No region is home to both: a name that no region has keeps the request from running anywhere.
    if (common.empty())
        common.emplace_back("(none)");
    return common;
}

} // namespace

auto Gateway::setDiscovered(DiscoveredTargets targets) -> void
{
    this->discovered = std::move(targets);
    if (!this->snapshot)
        return;
    for (const auto& pool : this->snapshot->active->config.pools)
        this->applyTargets(pool);
}

auto Gateway::setEvacuatedZones(std::set<std::string> zones) -> void
{
    this->evacuatedZones = std::move(zones);
    this->setDiscovered(std::move(this->discovered));
}

auto Gateway::setRetryOption(RetryOption changed) -> void
{
    this->option.retry = changed;
    for (auto& [pool, budget] : this->retryBudgets)
        budget.setOption(changed);
}

auto Gateway::setColdPart(TargetPool::ColdPart part) -> void
{
    this->coldPart = std::move(part);
    for (auto& [name, admission] : this->admissions)
        admission->targets().setColdPart(this->coldPart);
}

/// Without discovery a host sends to its own zone's targets alone; other zones are reached through their hosts.
auto Gateway::applyTargets(const Pool& pool) -> void
{
    auto& targets = this->admissions.at(pool.name)->targets();
    if (this->option.discoversTargets) {
        targets.setLiveTargets(this->liveTargetsOf(pool), this->clock.now());
        return;
    }
    auto local = std::vector<Target> {};
    std::ranges::copy_if(pool.targets, std::back_inserter(local),
        [&](const Target& target) { return target.zone == this->option.zone; });
    targets.setTargets(local, this->clock.now());
}

auto Gateway::liveTargetsOf(const Pool& pool) const -> std::vector<LiveTarget>
{
    const auto found = this->discovered.find(pool.name);
    if (found == this->discovered.end())
        return {};
    auto targets = found->second;
    auto capacities = std::vector<ZoneCapacity> {};
    for (const auto& zone : this->snapshot->active->config.zones)
        capacities.push_back({ zone.name, zone.region, 0 });
    for (auto& live : targets) {
        const auto zone = std::ranges::find(capacities, live.target.zone, &ZoneCapacity::zone);
        live.target.connections = pool.connections;
        live.coldRate = pool.coldRate;
        live.evacuated = this->evacuatedZones.contains(live.target.zone);
        if (zone == capacities.end())
            continue;
        live.region = zone->region;
        if (!live.evacuated && !live.target.draining)
            zone->slots += live.target.slots;
    }
    const auto shares = shareAmongZones(capacities, this->option.zone);
    for (auto& live : targets) {
        const auto share = shares.find(live.target.zone);
        const auto zone = std::ranges::find(capacities, live.target.zone, &ZoneCapacity::zone);
        const auto part = share == shares.end() || zone->slots <= 0 ? 0 : share->second / zone->slots;
        live.weight = std::max(part * live.target.slots, leastTargetWeight);
    }
    return targets;
}

/// Requests of one object share a hash; others spread by a random one, with the same weights.
auto Gateway::wishOf(const Call& call) -> TargetWish
{
    auto wish = TargetWish {};
    if (!this->option.discoversTargets)
        return wish;
    const auto name = std::string { call.fields.object };
    const auto hasObject = call.route->sticky && !name.empty();
    wish.object = hasObject ? bucketId(call.pool + "/" + name) : randomHash(this->random);
    wish.regions = commonRegions(call.route->homeRegions, call.team == nullptr ? noRegions : call.team->homeRegions);
    return wish;
}

auto Gateway::findPool(Call& call) -> void
{
    const auto& split = call.route->split;
    call.pool = call.route->pool;
    auto sum = 0U;
    for (const auto& part : split)
        sum += part.weight;
    if (sum == 0)
        return;
    auto choice = this->random(sum);
    for (const auto& part : split) {
        call.pool = part.pool;
        if (choice < part.weight)
            return;
        choice -= part.weight;
    }
}

auto Gateway::readLoad(PoolAdmission& admission, const std::string& target, const TargetFields& fields) -> void
{
    if (!fields.load)
        return;
    const auto inFlight = fields.load->running + fields.load->waiting;
    admission.targets().report(target, { inFlight, false }, this->clock.now());
}

auto Gateway::noteZoneLoads(const std::vector<TargetLoad>& loads) -> void
{
    const auto now = this->clock.now();
    for (auto& [name, admission] : this->admissions)
        admission->targets().noteZone(loads, now);
}

/// An unchanged load is repeated often enough for the others to keep it in mind.
auto Gateway::shareLoads(TimePoint now) -> void
{
    if (now < this->nextShareAt)
        return;
    auto loads = std::vector<TargetLoad> {};
    for (auto& [name, admission] : this->admissions) {
        const auto own = admission->targets().takeLoads();
        loads.insert(loads.end(), own.begin(), own.end());
    }
    const auto isChanged = loads != this->sharedLoads;
    const auto isDue = !loads.empty() && now >= this->nextShareAt + loadRepeatInterval;
    if (!isChanged && !isDue)
        return;
    const auto interval = this->loadShareInterval();
    this->nextShareAt = now + interval;
    this->fleet.shareLoads(loads, interval);
    this->sharedLoads = std::move(loads);
}

auto Gateway::loadShareInterval() const -> Duration
{
    auto shortest = Duration::max();
    for (const auto& [name, admission] : this->admissions)
        shortest = std::min(shortest, admission->targets().serviceTime());
    return std::clamp<Duration>(shortest / sharesPerRequest, leastShareInterval, greatestShareInterval);
}

} // namespace citronloft
