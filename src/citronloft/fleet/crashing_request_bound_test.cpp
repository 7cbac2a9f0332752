#include "fakes/fleet_fixture.hpp"

namespace citronloft {
namespace {

/// After the third crash and the shortest `stableWindow` of the site files, at most three further tries may reach
/// targets.
constexpr auto crashesBeforeBound = 3U;
constexpr auto boundAfter = 3s;
constexpr auto allowedTries = 3U;
constexpr auto targetCount = std::size_t { 28 };
constexpr auto serviceTime = 100ms;
constexpr auto restartTime = 3s;
constexpr auto step = 20ms;
constexpr auto deadly = std::uint64_t { 1 };
constexpr auto popular = std::uint64_t { 2 };

/// Sends requests from simulated hosts to simulated targets. One request crashes each target that runs it; targets
/// also fail in numbers for other reasons. Hosts decide by what they tell each other in the simulated world.
class CrashingRequest : public testing::TestWithParam<int> {
protected:
    /// A request that a target runs.
    struct Run {
        std::uint64_t request = 0;
        std::size_t host = 0;
        TimePoint end;
        bool canRetry = true;
    };

    struct SimulatedTarget {
        std::vector<Run> runs;
        TimePoint upAt {};
        unsigned starts = 0;
    };

    auto SetUp() -> void override
    {
        auto option = WorldOption {};
        option.seed = static_cast<std::uint64_t>(GetParam());
        option.host.shares = ShareStrategy::Demand;
        // The test passes the store's objects to the hosts, as the feed of a platform does.
        option.host.usesPlatformConfig = true;
        option.betweenZones = 60ms;
        this->world = std::make_unique<VirtualWorld>(option);
        this->world->run(6s);
    }

    auto run(Duration duration) -> void
    {
        const auto end = this->now() + duration;
        while (this->now() < end) {
            this->readStore();
            this->arrive();
            for (auto index = std::size_t { 0 }; index < targetCount; ++index)
                this->advance(index);
            this->world->run(step);
        }
    }

    auto readStore() -> void
    {
        constexpr auto readInterval = 200ms;
        if (this->now() < this->nextReadAt)
            return;
        this->nextReadAt = this->now() + readInterval;
        const auto names = this->world->storedNames(std::string { quarantineKind } + "/");
        for (const auto& node : this->world->nodes) {
            if (node->alive)
                node->host->quarantine().updateStored(names);
        }
    }

    [[nodiscard]] auto now() const -> TimePoint { return this->world->events.now(); }

    auto arrive() -> void
    {
        if (this->world->random(0.06))
            this->send(deadly, this->randomHost(), true);
        if (this->world->random(0.5))
            this->send(popular, this->randomHost(), true);
        for (auto count = 0; count < 3; ++count)
            this->send(++this->lastRequest, this->randomHost(), true);
    }

    auto randomHost() -> std::size_t
    {
        while (true) {
            const auto index = this->world->generator(static_cast<std::uint32_t>(this->world->nodes.size()));
            if (this->world->nodes[index]->alive)
                return index;
        }
    }

    auto send(std::uint64_t request, std::size_t host, bool canRetry) -> void
    {
        auto& quarantine = this->world->nodes[host]->host->quarantine();
        if (quarantine.isQuarantined(request)) {
            this->refusedInnocents += request == deadly ? 0 : 1;
            return;
        }
        const auto index = this->world->generator(targetCount);
        auto& target = this->targets[index];
        if (this->now() < target.upAt)
            return;
        if (request == deadly && this->boundFrom && this->now() > *this->boundFrom)
            ++this->triesAfterBound;
        target.runs.push_back({ request, host, this->now() + serviceTime, canRetry });
    }

    auto advance(std::size_t index) -> void
    {
        auto& target = this->targets[index];
        auto isCrashed = false;
        for (auto& run : target.runs)
            isCrashed = isCrashed || (run.request == deadly && this->now() + serviceTime / 2 >= run.end);
        if (isCrashed) {
            ++this->crashes;
            if (this->crashes == crashesBeforeBound)
                this->boundFrom = this->now() + boundAfter;
            this->crash(index);
            return;
        }
        for (const auto& run : target.runs) {
            auto& node = *this->world->nodes[run.host];
            if (run.end <= this->now() && node.alive)
                node.host->quarantine().recordAnswer(run.request);
        }
        std::erase_if(target.runs, [this](const Run& run) { return run.end <= this->now(); });
    }

    /// Ends a target; hosts learn it from their connections.
    auto crash(std::size_t index) -> void
    {
        auto& target = this->targets[index];
        const auto key = "t" + std::to_string(index) + "@" + std::to_string(target.starts++);
        const auto lost = std::exchange(target.runs, {});
        target.upAt = this->now() + restartTime;
        for (const auto& run : lost) {
            auto& node = *this->world->nodes[run.host];
            if (!node.alive)
                continue;
            node.host->quarantine().recordLoss(run.request, key, node.clock->now());
            if (run.canRetry && node.host->quarantine().allowsRetry(run.request))
                this->send(run.request, run.host, false);
        }
    }

    auto failTargets(double fraction) -> void
    {
        for (auto index = std::size_t { 0 }; index < targetCount; ++index) {
            if (this->world->random(fraction) && this->now() >= this->targets[index].upAt)
                this->crash(index);
        }
    }

    std::unique_ptr<VirtualWorld> world;
    std::array<SimulatedTarget, targetCount> targets;
    std::uint64_t lastRequest = 100;
    unsigned crashes = 0;
    std::optional<TimePoint> boundFrom;
    unsigned triesAfterBound = 0;
    TimePoint nextReadAt {};
    unsigned refusedInnocents = 0;
};

/// Guards against a request that crashes target after target, and against quarantine for requests beside it.
TEST_P(CrashingRequest, ReachesFewTargetsUnderRandomFaults)
{
    for (auto round = 0; round < 8; ++round) {
        this->world->faults.loss = this->world->random(0.5) ? 0.1 : 0;
        if (this->world->random(0.3))
            this->failTargets(0.4);
        if (this->world->random(0.4)) {
            const auto victim = this->randomHost();
            this->world->crash(victim);
            this->world->startHost(this->world->nodes[victim]->zone);
        }
        this->run(2s);
    }
    std::cout << "seed " << GetParam() << ": " << this->crashes << " crashes, " << this->triesAfterBound
              << " tries after the bound, " << this->refusedInnocents << " innocent requests refused\n";
    EXPECT_GE(this->crashes, crashesBeforeBound);
    EXPECT_LE(this->triesAfterBound, allowedTries);
    EXPECT_EQ(this->refusedInnocents, 0U);
}

/// Zones that cannot reach each other read the finding in the store.
TEST_P(CrashingRequest, ReachesFewTargetsWhenZonesAreCutOff)
{
    this->world->faults.cuts = { { "a1", "a2" }, { "a1", "b1" }, { "a1", "b2" }, { "b1", "b2" } };
    this->run(16s);
    this->world->faults.cuts.clear();
    this->run(4s);
    EXPECT_GE(this->crashes, crashesBeforeBound);
    EXPECT_LE(this->triesAfterBound, allowedTries);
    EXPECT_EQ(this->refusedInnocents, 0U);
}

/// Without other knowledge than the store's, as after all hosts were killed.
TEST_P(CrashingRequest, IsKnownToAllHostsAfterTheyStartAnew)
{
    this->run(6s);
    const auto before = this->triesAfterBound;
    auto zones = std::vector<std::string> {};
    for (auto index = std::size_t { 0 }; index < this->world->nodes.size(); ++index) {
        if (!this->world->nodes[index]->alive)
            continue;
        this->world->crash(index);
        zones.push_back(this->world->nodes[index]->zone);
    }
    for (const auto& zone : zones)
        this->world->startHost(zone);
    this->world->run(1s);
    this->run(10s);
    EXPECT_EQ(this->triesAfterBound, before);
}

TEST_P(CrashingRequest, InnocentRequestsAreNotRefusedWhenTargetsFailInNumbers)
{
    for (auto round = 0; round < 10; ++round) {
        this->failTargets(0.5);
        this->world->run(step);
        for (auto count = 0; count < 80; ++count) {
            this->send(popular, this->randomHost(), true);
            this->send(++this->lastRequest, this->randomHost(), true);
            for (auto index = std::size_t { 0 }; index < targetCount; ++index)
                this->advance(index);
            this->world->run(step);
            if (count % 20 == 0)
                this->failTargets(0.2);
        }
    }
    EXPECT_EQ(this->refusedInnocents, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashingRequest, testing::ValuesIn(campaignSeeds()));

} // namespace
} // namespace citronloft
