#include "fakes/fleet_fixture.hpp"
#include "fakes/sliding_count.hpp"

namespace citronloft {
namespace {

constexpr auto tolerance = RateTolerance { .overage = 0.1, .slack = 20, .window = 5s };

/// Hosts divide a rate by demand. Checks that what they admit together stays within the tolerance stated by the
/// targets' operators.
class DemandBound : public testing::TestWithParam<int> {
protected:
    auto SetUp() -> void override
    {
        this->seed = static_cast<std::uint64_t>(GetParam());
        this->rate = GetParam() % 3 == 0 ? 8.0 : 150.0;
        auto option = WorldOption { .seed = this->seed };
        option.host.shares = ShareStrategy::Demand;
        option.host.rates = demandRateOption();
        option.host.tolerance = tolerance;
        this->world = std::make_unique<VirtualWorld>(option);
        this->spreadRegistry();
        ASSERT_EQ(
            this->world->apply(smallConfig(option.zones, this->rate, this->rate)).outcome, ApplyOutcome::Accepted);
        this->world->run(3s);
    }

    /// Updates the registered hosts on every host that can reach the store.
    auto spreadRegistry() -> void
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
        ++this->offered;
        const auto now = node.clock->now();
        const auto bucket = bucketId(teamBucketName("team"));
        node.host->rates().acquire(bucket, microTokensPerToken, now + 2s, now, [this](RateDecision decision) {
            if (!decision.admitted)
                return;
            ++this->admitted;
            this->count.add(this->world->events.now());
        });
    }

    auto load(double perSecond, Duration duration, const std::function<std::size_t()>& choose) -> void
    {
        auto gaps = std::exponential_distribution<double>(perSecond);
        const auto end = this->world->events.now() + duration;
        while (this->world->events.now() < end) {
            this->offer(choose());
            const auto gap = std::chrono::duration<double>(gaps(this->world->generator));
            this->world->run(std::chrono::duration_cast<Duration>(gap));
            if (this->world->events.now() < this->nextSpreadAt)
                continue;
            this->nextSpreadAt = this->world->events.now() + 500ms;
            this->spreadRegistry();
        }
    }

    auto randomHost() -> std::size_t
    {
        return this->world->generator(static_cast<std::uint32_t>(this->world->nodes.size()));
    }

    /// Crashes a host and starts a new one in the same zone.
    auto restart(std::size_t index) -> void
    {
        this->world->crash(index);
        this->world->startHost(this->world->nodes[index]->zone);
    }

    auto drawFaults() -> void
    {
        auto& faults = this->world->faults;
        faults.loss = this->world->random(0.5) ? 0.1 : 0;
        faults.duplication = this->world->random(0.5) ? 0.2 : 0;
        faults.slow = this->world->random(0.5) ? 0.2 : 0;
        faults.storeDown = this->world->random(0.3);
        faults.cuts.clear();
        if (this->world->random(0.4))
            faults.cuts = { { "a1", "b1" }, { "a1", "b2" }, { "a2", "b1" }, { "a2", "b2" } };
        faults.cutFromStore.clear();
        if (this->world->random(0.3))
            faults.cutFromStore.insert("a2");
    }

    [[nodiscard]] auto bound() const -> double
    {
        const auto expected = this->rate * std::chrono::duration<double>(tolerance.window).count() + this->rate;
        return expected * (1 + tolerance.overage) + tolerance.slack;
    }

    std::uint64_t seed = 0;
    double rate = 0;
    std::unique_ptr<VirtualWorld> world;
    SlidingCount count { tolerance.window };
    TimePoint nextSpreadAt {};
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
};

TEST_P(DemandBound, HoldsUnderRandomFaults)
{
    for (auto round = 0; round < 12; ++round) {
        this->drawFaults();
        const auto victim = this->randomHost();
        const auto wasPaused = this->world->random(0.3) && this->world->nodes[victim]->alive;
        if (wasPaused)
            this->world->pause(victim);
        else if (this->world->random(0.4) && this->world->nodes[victim]->alive)
            this->restart(victim);
        const auto focus = this->randomHost();
        const auto isFocused = this->world->random(0.4);
        this->load(this->rate * 2, std::chrono::seconds { 1 + this->world->generator(8) },
            [&] { return isFocused ? focus : this->randomHost(); });
        if (wasPaused)
            this->world->resume(victim);
    }
    std::cout << "seed " << this->seed << ": admitted " << this->admitted << " of " << this->offered << ", used "
              << static_cast<double>(this->count.worst()) / this->bound() << " of the bound\n";
    EXPECT_GT(this->admitted, 0U);
    EXPECT_LE(static_cast<double>(this->count.worst()), this->bound()) << "seed " << this->seed;
}

/// Links that lose messages in one direction only: a host that no other hears, a host that hears no other, and two
/// zones of which one hears the other.
TEST_P(DemandBound, HoldsWhenLinksFailInOneDirection)
{
    auto& faults = this->world->faults;
    for (auto round = 0; round < 12; ++round) {
        faults.oneWayCuts.clear();
        faults.receiveBlocked.clear();
        faults.sendBlocked.clear();
        const auto& odd = *this->world->nodes[this->randomHost()];
        const auto kind = this->world->generator(4);
        if (kind == 0)
            faults.receiveBlocked.insert(odd.address.ip);
        else if (kind == 1)
            faults.sendBlocked.insert(odd.address.ip);
        else if (kind == 2)
            faults.oneWayCuts.insert({ odd.zone, odd.zone == "a1" ? "b1" : "a1" });
        if (this->world->random(0.2))
            this->restart(this->randomHost());
        const auto focus = this->randomHost();
        const auto isFocused = this->world->random(0.6);
        this->load(this->rate * 2, std::chrono::seconds { 1 + this->world->generator(6) },
            [&] { return isFocused ? focus : this->randomHost(); });
    }
    std::cout << "seed " << this->seed << ": admitted " << this->admitted << " of " << this->offered << ", used "
              << static_cast<double>(this->count.worst()) / this->bound() << " of the bound\n";
    EXPECT_GT(this->admitted, 0U);
    EXPECT_LE(static_cast<double>(this->count.worst()), this->bound()) << "seed " << this->seed;
}

/// A lower rate must hold one window after every host can have received it; tokens of the old rate must be used up or
/// dropped by then.
TEST_P(DemandBound, HoldsAfterRateIsLowered)
{
    constexpr auto applyTime = 2500ms;
    const auto focus = this->randomHost();
    const auto isFocused = this->seed % 2 == 0;
    const auto choose = [&] { return isFocused ? focus : this->randomHost(); };
    // Idle hosts accumulate tokens; busy hosts hold a fraction of the old rate.
    this->load(this->rate / 4, 6s, choose);
    this->rate /= 4;
    ASSERT_EQ(this->world->apply(smallConfig({ "a1", "a2", "b1", "b2" }, this->rate, this->rate)).outcome,
        ApplyOutcome::Accepted);
    this->load(this->rate * 4, applyTime, choose);
    this->count = SlidingCount { tolerance.window };
    this->load(this->rate * 4, 15s, choose);
    std::cout << "seed " << this->seed << ": admitted " << this->admitted << " of " << this->offered << ", used "
              << static_cast<double>(this->count.worst()) / this->bound() << " of the bound\n";
    EXPECT_GT(this->count.worst(), 0U);
    EXPECT_LE(static_cast<double>(this->count.worst()), this->bound()) << "seed " << this->seed;
}

TEST_P(DemandBound, HoldsWhenAllHostsRestart)
{
    this->load(this->rate * 2, 6s, [&] { return this->randomHost(); });
    const auto hosts = this->world->nodes.size();
    for (auto index = std::size_t { 0 }; index < hosts; ++index)
        this->restart(index);
    this->spreadRegistry();
    const auto fresh = [&] { return hosts + this->world->generator(static_cast<std::uint32_t>(hosts)); };
    this->load(this->rate * 2, 8s, fresh);
    std::cout << "seed " << this->seed << ": used " << static_cast<double>(this->count.worst()) / this->bound()
              << " of the bound\n";
    EXPECT_LE(static_cast<double>(this->count.worst()), this->bound()) << "seed " << this->seed;
}

INSTANTIATE_TEST_SUITE_P(Seeds, DemandBound, testing::ValuesIn(campaignSeeds()));

} // namespace
} // namespace citronloft
