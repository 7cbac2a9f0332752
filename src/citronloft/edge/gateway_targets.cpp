#include <algorithm>
#include <iterator>

#include "citronloft/edge/gateway.hpp"
#include "citronloft/policy/target_weights.hpp"

namespace citronloft {

namespace {

/// Load updates per service time, so that the zone's hosts learn of each other's requests while these are running.
constexpr auto loadUpdatesPerServiceTime = 10;
constexpr auto minLoadPublishInterval = std::chrono::milliseconds { 40 };
constexpr auto maxLoadPublishInterval = std::chrono::milliseconds { 150 };
constexpr auto loadRefreshInterval = std::chrono::milliseconds { 300 };

/// Lowest status of a response that reports an error of the caller or the target.
constexpr auto firstErrorStatus = 400U;

const auto allRegions = std::vector<std::string> {};

auto randomHash(pcg32& random) -> std::uint64_t { return (std::uint64_t { random() } << 32U) | random(); }

/// Returns the regions in both lists; an empty list means all regions.
auto intersectRegions(const std::vector<std::string>& left, const std::vector<std::string>& right)
    -> std::vector<std::string>
{
    if (left.empty() || right.empty())
        return left.empty() ? right : left;
    auto common = std::vector<std::string> {};
    std::ranges::copy_if(left, std::back_inserter(common),
        [&](const std::string& region) { return std::ranges::find(right, region) != right.end(); });
    // An empty result would mean all regions, so a name that no region has excludes every target.
    if (common.empty())
        common.emplace_back("(none)");
    return common;
}

} // namespace

auto Gateway::setDiscoveredTargets(DiscoveredTargets targets) -> void
{
    this->forgetDeparted(targets);
    this->discovered = std::move(targets);
    if (!this->snapshot)
        return;
    for (const auto& pool : this->snapshot->active->config.pools)
        this->applyTargets(pool);
}

/// Closes connections to targets that have left; nothing would use them again.
auto Gateway::forgetDeparted(const DiscoveredTargets& remaining) -> void
{
    auto addresses = std::set<std::string> {};
    for (const auto& [pool, targets] : remaining)
        for (const auto& live : targets)
            addresses.insert(live.target.address);
    for (const auto& [pool, targets] : this->discovered)
        for (const auto& live : targets) {
            const auto address = parseAddress(live.target.address);
            if (address.ok() && !addresses.contains(live.target.address))
                this->client->forget(*address);
        }
}

auto Gateway::setEvacuatedZones(std::set<std::string> zones) -> void
{
    this->evacuatedZones = std::move(zones);
    this->setDiscoveredTargets(DiscoveredTargets { this->discovered });
}

auto Gateway::setRetryOption(RetryOption changed) -> void
{
    this->option.retry = changed;
    for (auto& [pool, budget] : this->retryBudgets)
        budget.setOption(changed);
}

auto Gateway::setColdRateShare(TargetPool::ColdRateShare hostShare) -> void
{
    this->coldRateShare = std::move(hostShare);
    for (auto& [name, admission] : this->admissions)
        admission->targets().setColdRateShare(this->coldRateShare);
}

auto Gateway::setLimitShare(TargetPool::LimitShare hostShare) -> void
{
    this->limitShare = std::move(hostShare);
    for (auto& [name, admission] : this->admissions)
        admission->targets().setLimitShare(this->limitShare);
}

/// Sets the targets of a pool. Without discovery a host uses only the targets of its own zone; other zones are reached
/// through their hosts.
auto Gateway::applyTargets(const Pool& pool) -> void
{
    auto& targets = this->admissions.at(pool.name)->targets();
    if (this->option.discoversTargets) {
        const auto live = this->liveTargetsOf(pool);
        targets.setLiveTargets(live, this->clock.now());
        this->pathMonitor->setTargets(pool, live, this->option.zone);
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
    const auto& zones = this->snapshot->active->config.zones;
    for (auto& live : targets) {
        const auto zone = std::ranges::find(zones, live.target.zone, &Zone::name);
        live.target.connections = pool.connections;
        live.coldRate = pool.coldRate;
        live.evacuated = this->evacuatedZones.contains(live.target.zone);
        if (zone != zones.end())
            live.region = zone->region;
    }
    assignTargetWeights(targets, zones, this->option.zone);
    return targets;
}

/// Returns what a call requires of its target. Requests for the same sticky object get the same hash; other requests
/// get a random one, so that they are spread by the same weights.
auto Gateway::requirementsOf(const Call& call) -> TargetRequirements
{
    auto requirements = this->fixedRequirementsOf(call);
    if (!this->option.discoversTargets)
        return requirements;
    if (!requirements.object)
        requirements.object = randomHash(this->random);
    this->metrics.count("citronloft_placed_requests_total",
        "placement=\"" + std::string { placementName(requirements.placement) } + "\"");
    return requirements;
}

/// Returns what a call requires of its target, without an object for requests that are spread at random.
auto Gateway::fixedRequirementsOf(const Call& call) const -> TargetRequirements
{
    auto requirements = TargetRequirements {};
    if (!this->option.discoversTargets)
        return requirements;
    const auto name = std::string { call.fields.object };
    if (call.route->sticky && !name.empty())
        requirements.object = bucketId(call.pool + "/" + name);
    requirements.placement = placementOf(*call.route, this->configStatesLargeBodies, this->option.placement);
    requirements.regions
        = intersectRegions(call.route->homeRegions, call.team == nullptr ? allRegions : call.team->homeRegions);
    return requirements;
}

auto Gateway::choosePool(Call& call) -> void
{
    const auto& split = call.route->split;
    call.pool = call.route->pool;
    auto sum = 0U;
    for (const auto& part : split)
        sum += part.weight;
    if (sum == 0)
        return;
    auto remainder = this->random(sum);
    for (const auto& part : split) {
        call.pool = part.pool;
        if (remainder < part.weight)
            return;
        remainder -= part.weight;
    }
}

auto Gateway::recordReportedLoad(PoolAdmission& admission, const std::string& target, const TargetFields& fields)
    -> void
{
    if (!fields.load)
        return;
    const auto inFlight = fields.load->running + fields.load->waiting;
    admission.targets().report(target, { inFlight, false }, this->clock.now());
}

/// Records the rate limit that a response states. Only a successful response ends a limit, since a failure may come
/// without the target's state.
auto Gateway::recordRateLimit(const Call& call, const std::string& target, ResultCode code,
    const HttpResponse& response, const TargetFields& fields, TimePoint sentAt) -> void
{
    if (code != ResultCode::Answered && code != ResultCode::TargetShed)
        return;
    if (!fields.rateLimit.ok()) {
        this->logMalformedRateLimit(call, target, fields.rateLimit.status());
        return;
    }
    const auto perSecond = *fields.rateLimit;
    const auto isSuccessful = code == ResultCode::Answered && response.status < firstErrorStatus;
    if (!perSecond && !isSuccessful)
        return;
    auto& targets = this->admissions.at(call.pool)->targets();
    const auto change = targets.recordRateLimit(target, perSecond, sentAt, this->clock.now());
    if (change != LimitChange::None)
        this->logRateLimit({ target, change, perSecond }, call.pool, call.fields.requestId);
}

/// Records what a response states about further requests. A misdirected response speaks of another server.
auto Gateway::recordStatements(const Call& call, const std::string& target, ResultCode code, const TargetFields& fields)
    -> void
{
    if (code != ResultCode::Answered && code != ResultCode::TargetShed)
        return;
    auto& targets = this->admissions.at(call.pool)->targets();
    const auto now = this->clock.now();
    for (const auto& status : { fields.isLeaving.status(), fields.pause.status() }) {
        if (!status.ok())
            this->logIgnoredStatement(call, target, status);
    }
    if (fields.isLeaving.ok() && *fields.isLeaving && targets.recordLeaving(target, now))
        this->logLeavingTarget(call, target);
    if (!fields.pause.ok() || !*fields.pause)
        return;
    if (targets.recordPause(target, now + **fields.pause, now))
        this->logPausedTarget(call, target, **fields.pause);
}

/// Records what a target states in an answer that another host received. Hosts of older versions do not name the
/// target.
auto Gateway::recordForwardedStatements(const Call& call, const CallResult& result) -> void
{
    if (result.target.empty())
        return;
    this->recordStatements(call, result.target, result.code, this->dialect->parseResponse(result.response));
}

/// Returns the delay after which a refused request can come back: if all targets that could take it have asked for a
/// pause, the time until the first one ends.
auto Gateway::retryAfterOf(PoolAdmission& admission) const -> Duration
{
    const auto now = this->clock.now();
    const auto pauseEnd = admission.targets().earliestPauseEnd(now);
    if (!pauseEnd || admission.targets().hasUsableTarget(now))
        return busyRetryAfter;
    return std::max<Duration>(*pauseEnd - now, busyRetryAfter);
}

auto Gateway::mergeLimits(const std::vector<LimitObservation>& observations) -> void
{
    for (auto& [pool, admission] : this->admissions) {
        for (const auto& update : admission->targets().mergeLimits(observations, this->clock.now()))
            this->logRateLimit(update, pool, "peer");
    }
}

auto Gateway::reportLimits() -> void
{
    for (auto& [pool, admission] : this->admissions)
        this->fleet.limits().report(admission->targets().takeLimitObservations());
}

auto Gateway::updateZoneLoads(const std::vector<TargetLoad>& loads) -> void
{
    const auto now = this->clock.now();
    for (auto& [name, admission] : this->admissions)
        admission->targets().setZoneLoads(loads, now);
}

/// Publishes this host's loads to its zone. Unchanged loads are repeated before the other hosts consider them expired.
auto Gateway::publishLoads(TimePoint now) -> void
{
    if (now < this->nextLoadPublishAt)
        return;
    auto loads = std::vector<TargetLoad> {};
    for (auto& [name, admission] : this->admissions) {
        const auto own = admission->targets().takeLoads();
        loads.insert(loads.end(), own.begin(), own.end());
    }
    const auto isChanged = loads != this->publishedLoads;
    const auto isDue = !loads.empty() && now >= this->nextLoadPublishAt + loadRefreshInterval;
    if (!isChanged && !isDue)
        return;
    const auto interval = this->loadPublishInterval();
    this->nextLoadPublishAt = now + interval;
    this->fleet.publishLoads(loads, interval);
    this->publishedLoads = std::move(loads);
}

auto Gateway::loadPublishInterval() const -> Duration
{
    auto shortest = Duration::max();
    for (const auto& [name, admission] : this->admissions)
        shortest = std::min(shortest, admission->targets().serviceTime());
    return std::clamp<Duration>(shortest / loadUpdatesPerServiceTime, minLoadPublishInterval, maxLoadPublishInterval);
}

} // namespace citronloft
