#include "citronloft/model/experiment.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <random>

#include "citronloft/policy/zone_loads.hpp"
#include "citronloft/policy/zone_shares.hpp"
#include "model_host.hpp"

namespace citronloft {

namespace {

using std::chrono::milliseconds;

/// Zones of the model; the last one is the only zone of its region.
struct ModelZone {
    std::string_view name;
    std::string_view region;
};
constexpr auto zones = std::to_array<ModelZone>({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } });

/// One-way latency within a zone, between zones of a region and between regions.
constexpr auto insideZone = std::chrono::microseconds { 300 };
constexpr auto betweenZones = std::chrono::microseconds { 1400 };
constexpr auto betweenRegions = milliseconds { 20 };
constexpr auto tickInterval = milliseconds { 20 };
constexpr auto noticeInterval = milliseconds { 40 };
/// Warm-up time of the targets before measurement begins.
constexpr auto warmUpTime = std::chrono::seconds { 10 };
/// Retry delay of a caller that ignores the given delay, and of a caller whose request failed.
constexpr auto insistentRetryDelay = milliseconds { 10 };
constexpr auto failureRetryDelay = milliseconds { 100 };
constexpr auto teamCount = std::size_t { 10 };
constexpr auto objectCount = std::uint64_t { 800 };
/// Exponent of the object popularityExponent: the n-th object is requested with weight n to this power.
constexpr auto popularityExponent = -0.9;
/// Weight of targets that are used only as a last resort, as in the gateway.
constexpr auto minWeight = 1e-6;

auto oneWay(const ModelZone& from, const ModelZone& to) -> Duration
{
    if (from.name == to.name)
        return insideZone;
    return from.region == to.region ? Duration { betweenZones } : Duration { betweenRegions };
}

/// State of a caller from its first attempt to its final answer.
struct Caller {
    const RequestKind* kind = nullptr;
    std::size_t zone = 0;
    /// Index of the next host of the zone to send to.
    std::size_t host = 0;
    std::size_t team = 0;
    std::uint64_t object = 0;
    TimePoint firstAt;
    unsigned retriesLeft = 0;
    bool isInsistent = false;
};

class ExperimentRun {
public:
    ExperimentRun(const LoadPattern& pattern, const Strategy& strategy, std::uint64_t seed)
        : pattern(pattern)
        , strategy(strategy)
        , arrivals(seed)
    {
        this->result.pattern = pattern.name;
        this->result.strategy = strategy.name;
        this->result.seed = seed;
        this->measuredFrom = this->events.now() + (pattern.startsWarm ? Duration { warmUpTime } : Duration {});
        this->makeTargets(seed);
        this->makeHosts(seed);
        auto weights = std::vector<double> {};
        for (auto rank = std::uint64_t { 1 }; rank <= objectCount; ++rank)
            weights.push_back(std::pow(static_cast<double>(rank), popularityExponent));
        this->objects = std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end());
        auto teams = std::vector<double>(teamCount, 1);
        teams.front() = pattern.hotTeam;
        this->teams = std::discrete_distribution<std::size_t>(teams.begin(), teams.end());
    }

    auto run() -> ExperimentResult
    {
        this->tick();
        if (this->strategy.sendsNotices)
            this->sendNotices();
        this->scheduleFaults();
        this->scheduleArrival();
        // Requests in progress at the end still get their full deadline.
        constexpr auto tail = std::chrono::seconds { 10 };
        this->events.runFor(this->measuredFrom - this->events.now() + this->pattern.duration + tail);
        this->finish();
        return std::move(this->result);
    }

private:
    auto makeTargets(std::uint64_t seed) -> void
    {
        for (auto zone = std::size_t { 0 }; zone < zones.size(); ++zone) {
            for (auto i = std::size_t { 0 }; i < this->pattern.targetsByZone.at(zone); ++i) {
                const auto number = this->targets.size();
                this->targets.push_back(
                    std::make_unique<SimulatedTarget>(this->events, this->pattern.slots, seed * 1000 + number));
                this->zoneOfTarget.push_back(zone);
            }
        }
        this->isListed.assign(this->targets.size(), true);
    }

    auto makeHosts(std::uint64_t seed) -> void
    {
        for (auto zone = std::size_t { 0 }; zone < zones.size(); ++zone) {
            for (auto i = std::size_t { 0 }; i < this->pattern.hostsPerZone; ++i) {
                this->hosts.push_back(std::make_unique<ModelHost>(this->events, this->strategy, this->pattern,
                    this->reachableFrom(zone), seed * 77 + this->hosts.size()));
            }
        }
    }

    /// Discovered targets, weighted as in the gateway.
    auto reachableFrom(std::size_t zone) -> std::vector<ReachableTarget>
    {
        auto capacities = std::vector<ZoneCapacity> {};
        for (const auto& item : zones)
            capacities.push_back({ std::string { item.name }, std::string { item.region }, 0 });
        for (auto i = std::size_t { 0 }; i < this->targets.size(); ++i)
            capacities[this->zoneOfTarget[i]].slots += this->isListed[i] ? this->pattern.slots : 0;
        const auto shares = shareAmongZones(capacities, std::string { zones.at(zone).name });
        auto list = std::vector<ReachableTarget> {};
        for (auto i = std::size_t { 0 }; i < this->targets.size(); ++i) {
            const auto& place = zones.at(this->zoneOfTarget[i]);
            const auto isOwn = this->zoneOfTarget[i] == zone;
            if (!this->isListed[i] || (!this->strategy.sharesZones && !isOwn))
                continue;
            auto reachable = ReachableTarget {};
            reachable.live.target.address = "t" + std::to_string(i);
            reachable.live.target.zone = place.name;
            reachable.live.target.slots = this->pattern.slots;
            reachable.live.region = place.region;
            const auto share = shares.find(std::string { place.name });
            const auto part = share == shares.end() ? 0 : share->second / capacities[this->zoneOfTarget[i]].slots;
            reachable.live.weight = std::max(part * this->pattern.slots, minWeight);
            reachable.target = this->targets[i].get();
            reachable.oneWay = oneWay(zones.at(zone), place);
            list.push_back(std::move(reachable));
        }
        return list;
    }

    auto tick() -> void
    {
        for (auto& host : this->hosts)
            host->tick();
        this->events.after(tickInterval, [this] { this->tick(); });
    }

    auto sendNotices() -> void
    {
        auto zoneLoads = std::vector<ZoneLoads>(zones.size(), ZoneLoads { noticeInterval * 2 });
        for (auto sender = std::size_t { 0 }; sender < this->hosts.size(); ++sender)
            zoneLoads[this->zoneOfHost(sender)].record(sender, this->hosts[sender]->takeLoads(), this->events.now());
        for (auto receiver = std::size_t { 0 }; receiver < this->hosts.size(); ++receiver) {
            // Round trip through the zone's relay.
            this->events.after(
                insideZone * 2, [this, receiver, loads = zoneLoads[this->zoneOfHost(receiver)].sumExcluding(receiver)] {
                    this->hosts[receiver]->updateZoneLoads(loads);
                });
        }
        this->events.after(noticeInterval, [this] { this->sendNotices(); });
    }

    [[nodiscard]] auto zoneOfHost(std::size_t host) const -> std::size_t { return host / this->pattern.hostsPerZone; }

    auto scheduleFaults() -> void
    {
        const auto from = this->measuredFrom - this->events.now() + this->pattern.faultSpan.from;
        const auto until = this->measuredFrom - this->events.now() + this->pattern.faultSpan.until;
        this->events.after(from, [this] { this->applyFaults(true); });
        this->events.after(until, [this] { this->applyFaults(false); });
    }

    /// Faulty targets are spread over the zones: every n-th target.
    [[nodiscard]] auto isFaulty(std::size_t target, double fraction) const -> bool
    {
        if (fraction <= 0)
            return false;
        const auto step = static_cast<std::size_t>(std::lround(1 / fraction));
        return target % step == step / 2;
    }

    auto applyFaults(bool begins) -> void
    {
        for (auto i = std::size_t { 0 }; i < this->targets.size(); ++i) {
            auto faults = TargetFaults {};
            if (begins && this->isFaulty(i, this->pattern.slowTargets))
                faults.slowdown = this->pattern.slowdown;
            if (begins && this->isFaulty(i, this->pattern.greyTargets))
                faults.failures = this->pattern.greyFailures;
            faults.isLost = begins && this->isFaulty(i, this->pattern.lostTargets);
            this->targets[i]->setFaults(faults);
            this->isListed[i] = !faults.isLost;
        }
        // Discovery reports a target's loss and return with a delay.
        constexpr auto discoveryDelay = milliseconds { 500 };
        this->events.after(discoveryDelay, [this] {
            for (auto host = std::size_t { 0 }; host < this->hosts.size(); ++host)
                this->hosts[host]->setTargets(this->reachableFrom(this->zoneOfHost(host)));
        });
    }

    [[nodiscard]] auto arrivalRate() const -> double
    {
        auto work = 0.0;
        for (const auto& kind : this->pattern.kinds)
            work += kind.share * std::chrono::duration<double>(kind.work).count();
        const auto slots = static_cast<double>(this->targets.size() * this->pattern.slots);
        const auto teamFactor = (static_cast<double>(teamCount - 1) + this->pattern.hotTeam) / teamCount;
        const auto since = this->events.now() - this->measuredFrom;
        const auto& surge = this->pattern.surgeSpan;
        const auto isSurge = since >= surge.from && since < surge.until;
        return slots / work * this->pattern.utilisation * teamFactor * (isSurge ? this->pattern.surge : 1);
    }

    auto scheduleArrival() -> void
    {
        auto gap = std::exponential_distribution<double>(this->arrivalRate());
        const auto wait = std::chrono::duration<double>(gap(this->arrivals));
        this->events.after(std::chrono::duration_cast<Duration>(wait), [this] {
            if (this->events.now() >= this->measuredFrom + this->pattern.duration)
                return;
            this->arrive(std::make_shared<Caller>(this->drawCaller()));
            this->scheduleArrival();
        });
    }

    auto drawCaller() -> Caller
    {
        auto uniform = std::uniform_real_distribution<double>(0, 1);
        auto caller = Caller {};
        auto choice = uniform(this->arrivals);
        caller.kind = &this->pattern.kinds.back();
        for (const auto& kind : this->pattern.kinds) {
            choice -= kind.share;
            if (choice < 0) {
                caller.kind = &kind;
                break;
            }
        }
        caller.zone = this->arrivals(static_cast<std::uint32_t>(zones.size()));
        caller.team = this->teams(this->arrivals);
        const auto rank = this->objects(this->arrivals);
        constexpr auto objectFactor = 0x9e3779b97f4a7c15ULL;
        caller.object = (uniform(this->arrivals) < this->pattern.hotObject ? 0 : rank + 1) * objectFactor;
        caller.firstAt = this->events.now();
        caller.retriesLeft = caller.kind->maxRetries;
        caller.isInsistent = uniform(this->arrivals) < this->pattern.insistentCallers;
        caller.host = this->arrivals(static_cast<std::uint32_t>(this->pattern.hostsPerZone));
        return caller;
    }

    auto arrive(const std::shared_ptr<Caller>& caller) -> void
    {
        // A retry is sent to the next host of the zone.
        const auto host = caller->zone * this->pattern.hostsPerZone + caller->host;
        caller->host = (caller->host + 1) % this->pattern.hostsPerZone;
        const auto request = ModelRequest { caller->kind, caller->object, caller->team, caller->firstAt,
            caller->firstAt + caller->kind->deadline };
        this->hosts[host]->handle(
            request, [this, caller](const ModelOutcome& outcome) { this->handleOutcome(caller, outcome); });
    }

    auto handleOutcome(const std::shared_ptr<Caller>& caller, const ModelOutcome& outcome) -> void
    {
        const auto isAnswered = outcome.result == TaskResult::Answered;
        if (isAnswered)
            ++(outcome.wasWarm ? this->warmRuns : this->coldRuns);
        this->result.refusals += outcome.wasRefused ? 1 : 0;
        const auto isSafe = caller->kind->rank > 0;
        const auto canRetry = !isAnswered && (outcome.wasRefused || isSafe) && caller->retriesLeft > 0;
        if (!canRetry) {
            this->count(*caller, outcome);
            return;
        }
        --caller->retriesLeft;
        auto pause = outcome.wasRefused ? outcome.retryAfter : Duration { failureRetryDelay };
        if (caller->isInsistent)
            pause = insistentRetryDelay;
        this->events.after(pause, [this, caller] { this->arrive(caller); });
    }

    auto count(const Caller& caller, const ModelOutcome& outcome) -> void
    {
        if (caller.firstAt < this->measuredFrom)
            return;
        const auto second
            = std::chrono::duration_cast<std::chrono::seconds>(caller.firstAt - this->measuredFrom).count();
        for (auto* tally : { &this->result.all, &this->result.byKind[std::string { caller.kind->name }],
                 &this->result.byZone[std::string { zones.at(caller.zone).name }],
                 &this->result.byTeam[caller.team == 0 ? "first" : "others"], &this->result.bySecond[second] })
            this->addTo(*tally, caller, outcome);
    }

    auto addTo(Tally& tally, const Caller& caller, const ModelOutcome& outcome) const -> void
    {
        const auto& kind = *caller.kind;
        const auto latency = this->events.now() - caller.firstAt;
        ++tally.asked;
        tally.worthAsked += kind.worth;
        if (outcome.result != TaskResult::Answered) {
            ++(outcome.wasRefused ? tally.refused : tally.failed);
            return;
        }
        const auto isInTime = latency <= kind.objective;
        ++(isInTime ? tally.inObjective : tally.late);
        tally.worthEarned += isInTime ? kind.worth : kind.lateWorth;
        tally.latenciesMs.push_back(std::chrono::duration<double, std::milli>(latency).count());
    }

    auto finish() -> void
    {
        const auto runs = this->warmRuns + this->coldRuns;
        this->result.warmFraction = runs == 0 ? 0 : static_cast<double>(this->warmRuns) / static_cast<double>(runs);
        auto sum = std::uint64_t { 0 };
        auto mostRuns = std::uint64_t { 0 };
        for (const auto& target : this->targets) {
            sum += target->runs();
            mostRuns = std::max(mostRuns, target->runs());
        }
        const auto mean = static_cast<double>(sum) / static_cast<double>(this->targets.size());
        this->result.busiest = mean > 0 ? static_cast<double>(mostRuns) / mean : 0;
    }

    const LoadPattern& pattern;
    const Strategy& strategy;
    EventQueue events;
    /// Used only for arrivals, so that they do not depend on the strategy.
    pcg32 arrivals;
    TimePoint measuredFrom;
    std::vector<std::unique_ptr<SimulatedTarget>> targets;
    std::vector<std::size_t> zoneOfTarget;
    /// Whether discovery lists the target.
    std::vector<bool> isListed;
    std::vector<std::unique_ptr<ModelHost>> hosts;
    std::discrete_distribution<std::uint64_t> objects;
    std::discrete_distribution<std::size_t> teams;
    std::uint64_t warmRuns = 0;
    std::uint64_t coldRuns = 0;
    ExperimentResult result;
};

} // namespace

auto Tally::quantileMs(double part) const -> double
{
    if (this->latenciesMs.empty())
        return 0;
    auto sorted = this->latenciesMs;
    std::ranges::sort(sorted);
    const auto place = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
    return sorted[std::min(place, sorted.size() - 1)];
}

auto runExperiment(const LoadPattern& pattern, const Strategy& strategy, std::uint64_t seed) -> ExperimentResult
{
    return ExperimentRun(pattern, strategy, seed).run();
}

} // namespace citronloft
