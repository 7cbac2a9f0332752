#include <numbers>

#include "fakes/fleet_fixture.hpp"
#include "fakes/sliding_count.hpp"

namespace citronloft {
namespace {

/// One team sends two fifths of all requests, to all hosts of a large fleet. Each host sees only a few of them per
/// second, so that the zone's holders receive a loan request for nearly each request. The load stays within every
/// team's rate, while its distribution over the regions changes.
class BusyTeam : public testing::Test {
protected:
    auto start(std::size_t messagesPerTick) -> void
    {
        auto option = WorldOption { .seed = 11 };
        option.zones = { "a1", "a2", "b1", "b2", "c1", "c2" };
        option.hostsPerZone = 21;
        option.insideRegion = 1400us;
        option.messagesPerTick = messagesPerTick;
        option.host.shares = ShareStrategy::Demand;
        option.host.rates = demandRateOption();
        option.host.membership.hostsPerSummary = 24;
        option.host.tolerance = { .overage = 0.1, .slack = 20, .window = window };
        this->zones = option.zones;
        this->hostsPerZone = option.hostsPerZone;
        this->world = std::make_unique<VirtualWorld>(option);
        auto registered = std::vector<RegisteredHost> {};
        for (const auto& node : this->world->nodes)
            registered.push_back({ node->zone, node->address.ip });
        for (const auto& node : this->world->nodes)
            node->host->updateRegisteredHosts(registered);
        ASSERT_EQ(this->world->apply(this->config()).outcome, ApplyOutcome::Accepted);
        for (const auto& node : this->world->nodes)
            node->host->membership().setState(HostState::Serving);
        this->world->run(3s);
        this->startedAt = this->world->events.now();
    }

    [[nodiscard]] auto config() const -> Config
    {
        auto config = smallConfig(this->zones, busyRate, busyRate);
        for (auto team = std::size_t { 0 }; team < smallTeams; ++team)
            config.teams.push_back({ "small" + std::to_string(team), smallRate, smallRate, 1, {} });
        return config;
    }

    /// Chooses a zone by the demand of its region, which oscillates.
    auto chooseZone() -> std::size_t
    {
        constexpr auto amplitude = 0.55;
        constexpr auto period = 36.0;
        const auto elapsed
            = std::chrono::duration<double>(this->world->events.now() - this->startedAt).count() / period;
        while (true) {
            const auto zone = this->world->generator(static_cast<std::uint32_t>(this->zones.size()));
            const auto region = static_cast<double>(zone / 2);
            const auto level = 1 + amplitude * std::sin(2 * std::numbers::pi * (elapsed + region / 3));
            if (this->world->random(level / (1 + amplitude)))
                return zone;
        }
    }

    auto chooseHost() -> std::size_t
    {
        while (true) {
            const auto host = this->world->generator(static_cast<std::uint32_t>(this->hostsPerZone));
            const auto index = this->chooseZone() * this->hostsPerZone + host;
            if (this->world->nodes[index]->alive)
                return index;
        }
    }

    /// @param factor of the usual demand of the busy team.
    auto load(Duration duration, double factor = 1) -> void
    {
        const auto busy = busyRate * usedFraction * factor;
        const auto small = smallRate * smallTeams * usedFraction;
        auto gaps = std::exponential_distribution<double>(busy + small);
        const auto end = this->world->events.now() + duration;
        while (this->world->events.now() < end) {
            if (this->world->random(busy / (busy + small)))
                this->offerBusy(this->chooseHost());
            else
                this->offerSmall(this->chooseHost(), this->world->generator(smallTeams));
            const auto gap = std::chrono::duration<double>(gaps(this->world->generator));
            this->world->run(std::chrono::duration_cast<Duration>(gap));
            if (this->world->events.now() < this->nextSampleAt)
                continue;
            this->nextSampleAt = this->world->events.now() + 100ms;
            this->lowestMintedRate = std::min(this->lowestMintedRate, this->mintedRate());
        }
    }

    /// A request counts in the period in which it was offered, also if it is decided later.
    auto offerBusy(std::size_t index) -> void
    {
        ++this->offered;
        this->offerToIdealBucket();
        this->acquire(index, "team", [this, at = this->period](RateDecision decision) {
            if (decision.admitted)
                this->count.add(this->world->events.now());
            this->refused += !decision.admitted && at == this->period ? 1U : 0U;
        });
    }

    /// One bucket for the whole fleet, full at the start, defines which requests are within the rate.
    auto offerToIdealBucket() -> void
    {
        const auto now = this->world->events.now();
        const auto elapsed = std::chrono::duration<double>(now - std::exchange(this->idealAt, now)).count();
        this->idealTokens = std::min(this->idealTokens + elapsed * busyRate, busyRate);
        if (this->idealTokens < 1)
            return;
        this->idealTokens -= 1;
        ++this->withinRate;
    }

    /// @return the sum of the rates that all hosts mint for the busy team, in requests per second.
    auto mintedRate() -> double
    {
        auto sum = 0.0;
        for (const auto& node : this->world->nodes) {
            if (node->alive)
                sum += node->host->rates().state(bucketId(teamBucketName("team")), node->clock->now()).hostPerSecond;
        }
        return sum;
    }

    auto offerSmall(std::size_t index, std::uint32_t team) -> void
    {
        ++this->smallOffered;
        this->acquire(index, "small" + std::to_string(team),
            [this](RateDecision decision) { this->smallRefused += decision.admitted ? 0U : 1U; });
    }

    auto acquire(std::size_t index, const std::string& team, RateLimiter::Done done) -> void
    {
        auto& node = *this->world->nodes[index];
        const auto now = node.clock->now();
        node.host->rates().acquire(
            bucketId(teamBucketName(team)), microTokensPerToken, now + maxWait, now, std::move(done));
    }

    auto takeRefusedFraction(const std::string& when) -> double
    {
        this->world->run(maxWait + 20ms);
        // Requests beyond the rate may be refused.
        const auto beyond = this->offered - this->withinRate;
        const auto unjustified = this->refused - std::min(this->refused, beyond);
        const auto fraction = static_cast<double>(unjustified) / static_cast<double>(this->withinRate);
        std::cout << when << ": refused " << unjustified << " of " << this->withinRate << " within the rate, "
                  << this->offered << " offered, lowest minted rate " << this->lowestMintedRate << ", small teams "
                  << this->smallRefused << " of " << this->smallOffered << "; " << this->statsLine() << "\n";
        this->refused = this->offered = this->withinRate = this->smallRefused = this->smallOffered = 0;
        this->lowestMintedRate = busyRate;
        ++this->period;
        return fraction;
    }

    auto statsLine() -> std::string
    {
        auto sent = std::uint64_t { 0 };
        auto timeouts = std::uint64_t { 0 };
        auto empty = std::uint64_t { 0 };
        auto mostReceived = std::uint64_t { 0 };
        auto delayed = std::uint64_t { 0 };
        for (const auto& node : this->world->nodes) {
            const auto& stats = node->host->rates().stats();
            sent += stats.loanRequestsSent;
            timeouts += stats.refusedOnTimeout;
            empty += stats.refusedWithoutTokens;
            mostReceived = std::max(mostReceived, stats.loanRequestsReceived);
            delayed += node->messagesDelayed;
        }
        return "so far: loan requests " + std::to_string(sent) + ", most at one host " + std::to_string(mostReceived)
            + ", messages delayed " + std::to_string(delayed) + ", refused without tokens " + std::to_string(empty)
            + ", on timeout " + std::to_string(timeouts);
    }

    /// @return the host of the zone that has received the most loan requests.
    auto mainHolder(const std::string& zone) -> std::size_t
    {
        auto best = std::size_t { 0 };
        auto most = std::uint64_t { 0 };
        for (auto index = std::size_t { 0 }; index < this->world->nodes.size(); ++index) {
            const auto received = this->world->nodes[index]->host->rates().stats().loanRequestsReceived;
            if (this->world->nodes[index]->zone != zone || received <= most)
                continue;
            best = index;
            most = received;
        }
        return best;
    }

    auto expectBound() -> void
    {
        constexpr auto bound = (busyRate * std::chrono::duration<double>(window).count() + busyRate) * 1.1 + 20;
        EXPECT_LE(static_cast<double>(this->count.worst()), bound);
    }

    /// Enough for the messages of a fleet of this size without loan requests for each request.
    static constexpr auto messagesPerTickOfSlowHost = std::size_t { 8 };
    static constexpr auto window = 5s;
    static constexpr auto busyRate = 1088.0;
    static constexpr auto smallTeams = std::uint32_t { 81 };
    static constexpr auto smallRate = 20.0;
    static constexpr auto usedFraction = 0.6;
    static constexpr auto maxRefusedFraction = 0.001;
    /// Half of the latency objective of the routes.
    static constexpr auto maxWait = 200ms;

    std::vector<std::string> zones { "a1", "a2", "b1", "b2", "c1", "c2" };
    std::size_t hostsPerZone = 0;
    std::unique_ptr<VirtualWorld> world;
    SlidingCount count { window };
    TimePoint startedAt {};
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t withinRate = 0;
    std::size_t period = 0;
    double idealTokens = busyRate;
    TimePoint idealAt {};
    double lowestMintedRate = busyRate;
    TimePoint nextSampleAt {};
    std::uint64_t smallOffered = 0;
    std::uint64_t smallRefused = 0;
};

TEST_F(BusyTeam, RefusesNothingWithinTheRateWhileDemandMoves)
{
    this->start(0);
    this->load(1s);
    EXPECT_LE(this->takeRefusedFraction("first second"), maxRefusedFraction);
    for (auto step = 0; step < 6; ++step) {
        this->load(4s);
        EXPECT_LE(this->takeRefusedFraction("4 s"), maxRefusedFraction);
    }
    this->expectBound();
}

TEST_F(BusyTeam, RefusesNothingWithinTheRateWhenHoldersAnswerLate)
{
    this->start(messagesPerTickOfSlowHost);
    this->load(1s);
    EXPECT_LE(this->takeRefusedFraction("first second"), maxRefusedFraction);
    for (auto step = 0; step < 4; ++step) {
        this->load(4s);
        EXPECT_LE(this->takeRefusedFraction("4 s"), maxRefusedFraction);
    }
    this->expectBound();
}

TEST_F(BusyTeam, RefusesNothingWithinTheRateWhenAHolderCrashes)
{
    this->start(0);
    this->load(2s);
    this->takeRefusedFraction("before");
    this->world->crash(this->mainHolder("b1"));
    for (auto step = 0; step < 4; ++step) {
        this->load(4s);
        EXPECT_LE(this->takeRefusedFraction("after the crash"), maxRefusedFraction);
    }
    this->expectBound();
}

/// Demand beyond the rate may be refused, demand within it may not; once the surge is over, nothing is refused.
TEST_F(BusyTeam, RefusesLittleWithinTheRateDuringASurge)
{
    this->start(0);
    this->load(3s);
    this->takeRefusedFraction("before");
    this->load(4s, 5);
    EXPECT_LE(this->takeRefusedFraction("five times the demand"), maxRefusedFraction);
    this->load(4s);
    EXPECT_LE(this->takeRefusedFraction("after"), maxRefusedFraction);
    this->expectBound();
}

} // namespace
} // namespace citronloft
