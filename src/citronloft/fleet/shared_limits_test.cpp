#include "citronloft/policy/retry.hpp"
#include "citronloft/policy/target_pool.hpp"
#include "fakes/fleet_fixture.hpp"
#include "fakes/sliding_count.hpp"

namespace citronloft {
namespace {

/// Bounds from the operators' site files: retries in a window of 10 s, and requests to a cold target in one second.
constexpr auto retryRatio = 0.2;
constexpr auto retrySlack = 116.0;
constexpr auto retryWindow = 10s;
constexpr auto coldRate = 16.0;
constexpr auto coldOverage = 1.5;
constexpr auto coldSlack = 5.0;
/// Fraction of ratio and slack that hosts use, as in the daemon.
constexpr auto retryReserve = 0.6;

/// Limits of one process, as in the daemon.
struct HostLimits {
    RetryBudget retries { { .initialBalance = 0 } };
    TargetPool targets;
    TimePoint nextShareAt {};
    bool isListed = false;
    /// True once the pool contains the cold target.
    bool isFed = false;

    explicit HostLimits(FleetHost& fleet)
        : targets(discoveredPoolOption(), 42)
    {
        this->targets.setColdRateShare([&fleet](const LiveTarget& target) {
            return target.coldRate * fleet.coldTargetFraction(target.target.zone, target.instance);
        });
    }
};

/// Hosts whose callers retry every request and that all send to one cold target, under random faults.
class SharedLimits : public testing::TestWithParam<int> {
protected:
    auto SetUp() -> void override
    {
        this->seed = static_cast<std::uint64_t>(GetParam());
        auto option = WorldOption { .seed = this->seed };
        // Zones of twelve hosts reveal when too many hosts send to a cold target; each such schedule takes several
        // seconds.
        option.hostsPerZone = GetParam() % 3 == 1 ? 12 : 3;
        option.host.shares = ShareStrategy::Demand;
        option.host.rates.dividesByDemand = true;
        this->world = std::make_unique<VirtualWorld>(option);
        this->zones = option.zones;
        ASSERT_EQ(this->world->apply(smallConfig(option.zones, 100, 100)).outcome, ApplyOutcome::Accepted);
        this->run(3s, 0);
    }

    /// Reads what a host reads from the store at its start: the registered hosts, and its targets only after them.
    auto readStore(VirtualWorld::Node& node, HostLimits& limits) -> void
    {
        const auto& faults = this->world->faults;
        if (limits.isListed || faults.storeDown || faults.cutFromStore.contains(node.zone))
            return;
        limits.isListed = true;
        auto registered = std::vector<RegisteredHost> {};
        for (const auto& other : this->world->nodes)
            registered.push_back({ other->zone, other->address.ip });
        node.host->updateRegisteredHosts(registered);
    }

    auto limitsOf(std::size_t index) -> HostLimits&
    {
        auto& node = *this->world->nodes[index];
        if (!this->limits.contains(index))
            this->limits.emplace(index, std::make_unique<HostLimits>(*node.host));
        return *this->limits.at(index);
    }

    auto tickHost(std::size_t index) -> void
    {
        auto& node = *this->world->nodes[index];
        if (!node.alive || node.paused)
            return;
        auto& own = this->limitsOf(index);
        const auto now = node.clock->now();
        this->readStore(node, own);
        if (now >= own.nextShareAt) {
            own.nextShareAt = now + 1s;
            const auto cap
                = std::max(retrySlack * retryReserve / static_cast<double>(node.host->recentMaxHostCount()), 1.0);
            own.retries.setOption({ .budgetRatio = retryRatio * retryReserve, .budgetCap = cap });
        }
        this->feedColdTarget(own, now);
    }

    auto feedColdTarget(HostLimits& own, TimePoint now) -> void
    {
        auto cold = LiveTarget {};
        cold.target = { "10.9.0.1:80", "a1", 8 };
        cold.instance = "run-1";
        cold.coldRate = coldRate;
        cold.coldUntil = now + 1h;
        if (own.isListed && !std::exchange(own.isFed, true))
            own.targets.setLiveTargets({ cold }, now);
        while (const auto taken = own.targets.acquireFor({}, now)) {
            own.targets.release(*taken, TargetResult::Answered, 5ms, now);
            this->cold.add(this->world->events.now());
        }
    }

    /// Sends a request that fails on every target.
    auto offer(std::size_t index) -> void
    {
        auto& node = *this->world->nodes[index];
        if (!node.alive || node.paused)
            return;
        auto& own = this->limitsOf(index);
        const auto now = node.clock->now();
        this->requests.add(this->world->events.now());
        own.retries.recordFirstAttempt();
        auto attempt = AttemptResult { Outcome::NotRun, true, 1, now + 1s };
        while (this->isFailing && own.retries.tryRetry(attempt, now)) {
            ++attempt.attempts;
            this->retries.add(this->world->events.now());
        }
        this->recordUsedFraction();
    }

    auto recordUsedFraction() -> void
    {
        const auto now = this->world->events.now();
        const auto bound = static_cast<double>(this->requests.countAt(now)) * retryRatio + retrySlack;
        this->maxUsedFraction
            = std::max(this->maxUsedFraction, static_cast<double>(this->retries.countAt(now)) / bound);
    }

    auto run(Duration duration, double perSecond) -> void
    {
        constexpr auto step = 20ms;
        const auto end = this->world->events.now() + duration;
        auto due = 0.0;
        while (this->world->events.now() < end) {
            for (auto index = std::size_t { 0 }; index < this->world->nodes.size(); ++index)
                this->tickHost(index);
            for (due += perSecond * 0.02; due >= 1; due -= 1)
                this->offer(this->randomHost());
            this->world->run(step);
        }
    }

    auto randomHost() -> std::size_t
    {
        return this->world->generator(static_cast<std::uint32_t>(this->world->nodes.size()));
    }

    /// Restarts a process, which loses all of its state.
    auto restart(std::size_t index) -> void
    {
        if (!this->world->nodes[index]->alive)
            return;
        this->world->crash(index);
        this->world->startHost(this->world->nodes[index]->zone);
    }

    auto restartAll() -> void
    {
        const auto hosts = this->world->nodes.size();
        for (auto index = std::size_t { 0 }; index < hosts; ++index)
            this->restart(index);
    }

    auto drawFaults() -> void
    {
        auto& faults = this->world->faults;
        faults.loss = this->world->random(0.5) ? 0.1 : 0;
        faults.slow = this->world->random(0.5) ? 0.2 : 0;
        faults.storeDown = this->world->random(0.3);
        faults.cuts.clear();
        if (this->world->random(0.4))
            faults.cuts = { { "a1", "b1" }, { "a1", "b2" }, { "a2", "b1" }, { "a2", "b2" } };
        if (this->world->random(0.3))
            faults.cuts.insert({ "a1", "a1" });
        faults.cutFromStore.clear();
        if (this->world->random(0.3))
            faults.cutFromStore.insert("a2");
    }

    auto expectBounds() -> void
    {
        const auto coldBound = coldRate * coldOverage + coldSlack;
        const auto usedColdFraction = static_cast<double>(this->cold.worst()) / coldBound;
        std::cout << "seed " << this->seed << ": cold target " << usedColdFraction << ", retries "
                  << this->maxUsedFraction << ", used at most " << std::max(usedColdFraction, this->maxUsedFraction)
                  << " of the bound\n";
        EXPECT_GT(this->cold.worst(), 0U);
        EXPECT_GT(this->retries.worst(), 0U);
        EXPECT_LE(usedColdFraction, 1) << "seed " << this->seed;
        EXPECT_LE(this->maxUsedFraction, 1) << "seed " << this->seed;
    }

    std::uint64_t seed = 0;
    std::vector<std::string> zones;
    std::unique_ptr<VirtualWorld> world;
    std::map<std::size_t, std::unique_ptr<HostLimits>> limits;
    SlidingCount requests { retryWindow };
    SlidingCount retries { retryWindow };
    SlidingCount cold { 1s };
    double maxUsedFraction = 0;
    bool isFailing = true;
};

TEST_P(SharedLimits, HoldUnderRandomFaults)
{
    for (auto round = 0; round < 10; ++round) {
        this->drawFaults();
        const auto victim = this->randomHost();
        const auto wasPaused = this->world->random(0.3) && this->world->nodes[victim]->alive;
        if (wasPaused)
            this->world->pause(victim);
        else if (this->world->random(0.2))
            this->restartAll();
        else if (this->world->random(0.4))
            this->restart(victim);
        this->run(std::chrono::seconds { 1 + this->world->generator(8) }, this->world->random(0.5) ? 200 : 20);
        if (wasPaused)
            this->world->resume(victim);
    }
    this->expectBounds();
}

TEST_P(SharedLimits, HoldWhenAllHostsRestart)
{
    this->run(6s, 200);
    this->restartAll();
    this->run(8s, 200);
    this->expectBounds();
}

/// Regions are cut from each other for longer than hosts remember each other, while retries accumulate.
TEST_P(SharedLimits, HoldDuringALongCut)
{
    this->world->faults.cuts = { { "a1", "b1" }, { "a1", "b2" }, { "a2", "b1" }, { "a2", "b2" } };
    this->isFailing = false;
    this->run(70s, 20);
    this->isFailing = true;
    this->run(12s, 20);
    this->expectBounds();
}

INSTANTIATE_TEST_SUITE_P(Seeds, SharedLimits, testing::ValuesIn(campaignSeeds()));

} // namespace
} // namespace citronloft
