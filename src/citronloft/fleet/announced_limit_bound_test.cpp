#include "citronloft/policy/target_pool.hpp"
#include "fakes/fleet_fixture.hpp"
#include "fakes/sliding_count.hpp"

namespace citronloft {
namespace {

/// The rule of the targets' operators: this time after a target first announced a limit, all hosts that know of it
/// together send at most limit x window x overage + slack requests in any window. A host counts from `noticeTime` after
/// it received the first answer with the limit; one that was restarted, paused or cut off is excused.
constexpr auto stableTime = 4s;
constexpr auto noticeTime = 500ms;
constexpr auto limitWindow = 4s;
constexpr auto limitOverage = 1.5;
constexpr auto limitSlack = 5.0;

constexpr auto serviceTime = 150ms;
constexpr auto targetsPerZone = 3;
constexpr auto requestsPerHost = 12.0;
/// Weights of targets in the host's own zone and in other zones.
constexpr auto localWeight = 0.7;
constexpr auto remoteWeight = 0.1;

/// A target as its operators see it.
struct SimulatedLimit {
    std::optional<double> perSecond;
    TimePoint announcedAt {};
    /// Time at which each host received the first answer with the limit.
    std::map<std::size_t, TimePoint> toldAt;
    /// Requests from hosts that are bound by the limit.
    SlidingCount requests { limitWindow };
    std::size_t received = 0;

    [[nodiscard]] auto bound() const -> double
    {
        return this->perSecond.value_or(0) * std::chrono::duration<double>(limitWindow).count() * limitOverage
            + limitSlack;
    }
};

/// Hosts that send to the same targets, some of which announce a limit on their requests from all hosts together.
class AnnouncedLimitBound : public testing::TestWithParam<int> {
protected:
    auto SetUp() -> void override
    {
        this->seed = static_cast<std::uint64_t>(GetParam());
        auto option = WorldOption { .seed = this->seed };
        option.hostsPerZone = GetParam() % 3 == 1 ? 8 : 3;
        option.host.shares = ShareStrategy::Demand;
        option.host.rates = demandRateOption();
        this->world = std::make_unique<VirtualWorld>(option);
        for (const auto& zone : option.zones) {
            for (auto i = 0; i < targetsPerZone; ++i) {
                const auto name = zone + "-" + std::to_string(i);
                auto& live = this->targets.emplace_back();
                live.target = { name + ":80", zone, 9, 100, false };
                live.instance = name;
                live.region = zone.substr(0, 1);
                this->limits[live.key()] = {};
            }
        }
        ASSERT_EQ(this->world->apply(smallConfig(option.zones, 100, 100)).outcome, ApplyOutcome::Accepted);
        this->load(6s);
    }

    auto limitOf(std::size_t target) -> SimulatedLimit& { return this->limits.at(this->targets[target].key()); }

    auto announce(std::size_t target, double perSecond) -> void
    {
        this->limitOf(target).perSecond = perSecond;
        this->limitOf(target).announcedAt = this->world->events.now();
    }

    auto endLimit(std::size_t target) -> void
    {
        this->limitOf(target).perSecond.reset();
        this->limitOf(target).toldAt.clear();
    }

    auto hostsWithLimit(std::size_t target) const -> std::ptrdiff_t
    {
        const auto key = this->targets[target].key();
        return std::ranges::count_if(
            this->pools, [&](const auto& item) { return item.second->announcedLimit(key).has_value(); });
    }

    /// Returns the rate of requests to a target while requests are sent for `duration`.
    auto measureRate(std::size_t target, Duration duration) -> double
    {
        const auto before = this->limitOf(target).received;
        this->load(duration);
        const auto received = static_cast<double>(this->limitOf(target).received - before);
        return received / std::chrono::duration<double>(duration).count();
    }

    /// The targets leave the pool of each host and return, as when their entries in the store lapse.
    auto dropTargets() -> void
    {
        for (auto& [index, pool] : this->pools) {
            const auto now = this->world->nodes[index]->clock->now();
            pool->setLiveTargets({}, now);
            pool->setLiveTargets(this->targetsFor(index), now);
        }
    }

    auto targetsFor(std::size_t index) const -> std::vector<LiveTarget>
    {
        auto list = this->targets;
        for (auto& live : list)
            live.weight = live.target.zone == this->world->nodes[index]->zone ? localWeight : remoteWeight;
        return list;
    }

    auto poolOf(std::size_t index) -> TargetPool&
    {
        const auto found = this->pools.find(index);
        if (found != this->pools.end())
            return *found->second;
        auto& node = *this->world->nodes[index];
        auto& pool
            = *this->pools.emplace(index, std::make_unique<TargetPool>(discoveredPoolOption(), index)).first->second;
        pool.setLiveTargets(this->targetsFor(index), node.clock->now());
        auto& fleet = *node.host;
        pool.setLimitShare([&fleet](const LiveTarget& target, double perSecond, bool isRecent) {
            return perSecond * fleet.limitedTargetFraction(target.target.zone, target.instance, perSecond, isRecent);
        });
        fleet.limits().onObservations([&pool, &node](const std::vector<LimitObservation>& observations) {
            pool.mergeLimits(observations, node.clock->now());
        });
        return pool;
    }

    /// Passes the registered hosts to every host that can reach the store.
    auto readRegistry() -> void
    {
        auto registered = std::vector<RegisteredHost> {};
        for (const auto& node : this->world->nodes) {
            if (node->alive)
                registered.push_back({ node->zone, node->address.ip });
        }
        const auto& faults = this->world->faults;
        for (const auto& node : this->world->nodes) {
            if (node->alive && !node->paused && !faults.storeDown && !faults.cutFromStore.contains(node->zone))
                node->host->updateRegisteredHosts(registered);
        }
    }

    auto offer(std::size_t index) -> void
    {
        auto& node = *this->world->nodes[index];
        if (!node.alive || node.paused)
            return;
        const auto now = node.clock->now();
        auto requirements = TargetRequirements {};
        requirements.object = this->world->generator();
        const auto target = this->poolOf(index).acquireFor(requirements, now);
        if (!target) {
            ++this->refused;
            return;
        }
        this->countArrival(index, this->limits.at(*target));
        this->world->events.after(serviceTime, [this, index, key = *target, now] { this->answer(index, key, now); });
    }

    auto countArrival(std::size_t index, SimulatedLimit& limit) -> void
    {
        const auto now = this->world->events.now();
        ++limit.received;
        const auto told = limit.toldAt.find(index);
        const auto isBinding = limit.perSecond && now >= limit.announcedAt + stableTime;
        if (!isBinding || told == limit.toldAt.end() || now < told->second + noticeTime || this->isExcused(index))
            return;
        limit.requests.add(now);
        this->maxUsedFraction
            = std::max(this->maxUsedFraction, static_cast<double>(limit.requests.countAt(now)) / limit.bound());
    }

    auto answer(std::size_t index, const std::string& key, TimePoint sentAt) -> void
    {
        auto& node = *this->world->nodes[index];
        if (!node.alive)
            return;
        if (node.paused) {
            this->world->events.after(20ms, [this, index, key, sentAt] { this->answer(index, key, sentAt); });
            return;
        }
        auto& limit = this->limits.at(key);
        if (limit.perSecond)
            limit.toldAt.try_emplace(index, this->world->events.now());
        const auto now = node.clock->now();
        auto& pool = this->poolOf(index);
        pool.recordRateLimit(key, limit.perSecond, sentAt, now);
        node.host->limits().report(pool.takeLimitObservations());
        pool.release(key, TargetResult::Answered, serviceTime, now);
    }

    auto isExcused(std::size_t index) -> bool
    {
        const auto found = this->excusedUntil.find(index);
        return found != this->excusedUntil.end() && this->world->events.now() < found->second;
    }

    /// Excuses the hosts whose zone is cut off from another one, or which are paused, for `stableTime`.
    auto updateExcused() -> void
    {
        const auto now = this->world->events.now();
        auto cutZones = std::set<std::string> {};
        for (const auto& [from, to] : this->world->faults.cuts)
            cutZones.insert({ from, to });
        for (auto index = std::size_t { 0 }; index < this->world->nodes.size(); ++index) {
            const auto& node = *this->world->nodes[index];
            if (node.paused || cutZones.contains(node.zone))
                this->excusedUntil[index] = now + stableTime;
        }
    }

    /// Sends requests to random hosts.
    auto load(Duration duration) -> void
    {
        const auto end = this->world->events.now() + duration;
        while (this->world->events.now() < end) {
            const auto running = std::ranges::count_if(this->world->nodes, [](auto& node) { return node->alive; });
            auto gaps = std::exponential_distribution<double>(requestsPerHost * static_cast<double>(running));
            this->offer(this->randomHost());
            const auto gap = std::chrono::duration<double>(gaps(this->world->generator));
            this->world->run(std::chrono::duration_cast<Duration>(gap));
            if (this->world->events.now() < this->nextUpdateAt)
                continue;
            this->nextUpdateAt = this->world->events.now() + 500ms;
            this->readRegistry();
            this->updateExcused();
        }
    }

    auto randomHost() -> std::size_t
    {
        while (true) {
            const auto index = this->world->generator(static_cast<std::uint32_t>(this->world->nodes.size()));
            if (this->world->nodes[index]->alive)
                return index;
        }
    }

    /// Crashes a host and starts a new one in the same zone.
    auto restart(std::size_t index) -> void
    {
        this->world->crash(index);
        const auto started = this->world->startHost(this->world->nodes[index]->zone);
        this->excusedUntil[started] = this->world->events.now() + stableTime;
    }

    auto drawFaults() -> void
    {
        auto& faults = this->world->faults;
        faults.loss = this->world->random(0.5) ? 0.1 : 0;
        faults.duplication = this->world->random(0.5) ? 0.2 : 0;
        faults.slow = this->world->random(0.5) ? 0.2 : 0;
        faults.storeDown = this->world->random(0.3);
        faults.cuts.clear();
        if (this->world->random(0.3))
            faults.cuts = { { "a1", "b1" }, { "a1", "b2" } };
        faults.cutFromStore.clear();
        if (this->world->random(0.3))
            faults.cutFromStore.insert("a2");
    }

    auto expectBound() -> void
    {
        std::cout << "seed " << this->seed << ": used at most " << this->maxUsedFraction << " of the bound\n";
        EXPECT_GT(this->maxUsedFraction, 0) << "seed " << this->seed;
        EXPECT_LE(this->maxUsedFraction, 1) << "seed " << this->seed;
    }

    std::uint64_t seed = 0;
    std::unique_ptr<VirtualWorld> world;
    std::vector<LiveTarget> targets;
    std::map<std::string, SimulatedLimit> limits;
    std::map<std::size_t, std::unique_ptr<TargetPool>> pools;
    std::map<std::size_t, TimePoint> excusedUntil;
    TimePoint nextUpdateAt {};
    std::uint64_t refused = 0;
    double maxUsedFraction = 0;
};

TEST_P(AnnouncedLimitBound, HoldsInSteadyState)
{
    this->announce(0, 2.2);
    this->announce(4, 1.1);
    this->announce(7, 6);
    this->load(24s);
    this->expectBound();
}

TEST_P(AnnouncedLimitBound, HoldsUnderRandomFaults)
{
    this->announce(0, 2.2);
    this->announce(4, 1.1);
    this->announce(7, 6);
    for (auto round = 0; round < 10; ++round) {
        this->drawFaults();
        const auto victim = this->randomHost();
        const auto wasPaused = this->world->random(0.3);
        if (wasPaused)
            this->world->pause(victim);
        else if (this->world->random(0.4))
            this->restart(victim);
        this->updateExcused();
        this->load(std::chrono::seconds { 1 + this->world->generator(8) });
        if (wasPaused)
            this->world->resume(victim);
    }
    this->expectBound();
}

/// Hosts forget what they know of targets whose entries lapse while the store is unavailable.
TEST_P(AnnouncedLimitBound, HoldsWhenTargetsLeaveAndReturn)
{
    this->announce(0, 2.2);
    this->announce(4, 1.1);
    for (auto round = 0; round < 6; ++round) {
        this->load(5s);
        this->dropTargets();
    }
    this->expectBound();
}

/// A lower limit binds as soon as hosts can know of it.
TEST_P(AnnouncedLimitBound, HoldsWhenTheLimitFalls)
{
    this->announce(0, 6);
    this->load(10s);
    this->announce(0, 1.1);
    this->load(20s);
    this->expectBound();
}

/// Most hosts send nothing to a limited target, yet all of them return to it when the limit ends.
TEST_P(AnnouncedLimitBound, LimitIsUsedAndItsEndReachesAllHosts)
{
    const auto usual = this->measureRate(0, 20s);
    EXPECT_EQ(this->hostsWithLimit(0), 0) << "seed " << this->seed;
    this->announce(0, 2.2);
    this->load(3s);
    EXPECT_EQ(this->hostsWithLimit(0), std::ssize(this->pools)) << "seed " << this->seed;
    EXPECT_GE(this->measureRate(0, 60s), 1.1) << "seed " << this->seed;
    this->endLimit(0);
    this->load(3s);
    EXPECT_EQ(this->hostsWithLimit(0), 0) << "seed " << this->seed;
    EXPECT_GE(this->measureRate(0, 20s), usual * 0.8) << "seed " << this->seed;
}

INSTANTIATE_TEST_SUITE_P(Seeds, AnnouncedLimitBound, testing::ValuesIn(campaignSeeds()));

} // namespace
} // namespace citronloft
