#include "citronloft/policy/target_reachability.hpp"

#include <algorithm>
#include <functional>
#include <set>

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto connectTimeout = 400ms;

/// Result of one attempt to connect, and the time that it takes.
struct Connect {
    bool isOpen = true;
    Duration time = 2ms;
    bool isAnswered = true;
};

constexpr auto healthTimeout = 1s;

using Network = std::function<Connect(const PathTarget&)>;

auto openAll(const PathTarget& /*target*/) -> Connect { return {}; }
auto hangAll(const PathTarget& /*target*/) -> Connect { return { false, connectTimeout }; }
auto refuseAll(const PathTarget& /*target*/) -> Connect { return { false, 0ms }; }
auto ignoreAll(const PathTarget& /*target*/) -> Connect { return { true, 2ms, false }; }

/// A host with targets in three zones and two pools, in steps of its tick.
class TargetReachabilityTest : public testing::Test {
protected:
    TargetReachabilityTest()
    {
        for (const auto* zone : { "a", "b", "c" }) {
            for (const auto* pool : { "first", "second" }) {
                for (auto i = 0; i < 2; ++i) {
                    const auto key = std::string { zone } + "-" + pool + "-" + std::to_string(i);
                    this->targets.push_back({ key, key, zone, pool, zone == std::string { "a" } });
                }
            }
        }
        this->path.setTargets(this->targets);
    }

    /// Advances the time and returns whether the condition became true.
    auto runUntil(const std::function<bool()>& condition, Duration limit) -> bool
    {
        for (const auto end = this->now + limit; this->now < end; this->now += 20ms) {
            this->tick();
            if (condition())
                return true;
        }
        return false;
    }

    auto run(Duration time) -> void
    {
        this->runUntil([] { return false; }, time);
    }

    auto runUntilState(PathState state, Duration limit) -> bool
    {
        return this->runUntil([&] { return this->path.state() == state; }, limit);
    }

    auto tick() -> void
    {
        std::erase_if(this->pending, [&](const Pending& probe) {
            if (probe.endsAt > this->now)
                return false;
            this->path.recordProbe(probe.key, probe.isOpen, probe.startedAt, this->now);
            return true;
        });
        if (this->traffic)
            this->traffic();
        for (const auto& target : this->path.takeDueProbes(this->now)) {
            const auto connect = this->network(target);
            const auto needsAnswer = this->path.probeKind() == ProbeKind::Health;
            const auto isReached = connect.isOpen && (connect.isAnswered || !needsAnswer);
            const auto time = needsAnswer && !connect.isAnswered ? Duration { healthTimeout } : connect.time;
            this->pending.push_back({ target.key, isReached, this->now, this->now + time });
            this->probed.insert(target.key);
            ++this->probes;
            this->maxPending = std::max(this->maxPending, this->pending.size());
        }
        if (const auto change = this->path.takeChange())
            this->changes.push_back(*change);
    }

    /// Lets requests to all targets end without an answer, the first ones after `delay`.
    auto loseRequests(Duration delay) -> void
    {
        this->traffic = [this, lostFrom = this->now + delay] {
            for (const auto& target : this->targets) {
                if (this->now >= lostFrom)
                    this->path.recordUnanswered(target.key, this->now);
            }
        };
    }

    auto countChanges(PathState state) const -> int
    {
        return static_cast<int>(std::ranges::count(this->changes, state, &PathChange::state));
    }

    struct Pending {
        std::string key;
        bool isOpen = false;
        TimePoint startedAt;
        TimePoint endsAt;
    };

    std::vector<PathTarget> targets;
    TargetReachability path;
    TimePoint now { 1h };
    Network network = openAll;
    /// Requests of one tick.
    std::function<void()> traffic;
    std::vector<Pending> pending;
    std::set<std::string> probed;
    std::vector<PathChange> changes;
    int probes = 0;
    std::size_t maxPending = 0;
};

TEST_F(TargetReachabilityTest, HostWhoseRequestsAreAnsweredSendsNoProbes)
{
    this->run(100ms);
    this->probes = 0;
    this->path.recordStart(this->now);
    this->traffic = [this] { this->path.recordAnswer("a-first-0", this->now, this->now); };
    this->run(10s);
    EXPECT_EQ(this->probes, 0);
}

TEST_F(TargetReachabilityTest, IdleHostProbesOneTargetPerSecond)
{
    this->run(10s);
    EXPECT_LE(this->probes, 11);
    EXPECT_GE(this->probes, 8);
    EXPECT_EQ(this->maxPending, 1U);
    for (const auto& key : this->probed)
        EXPECT_EQ(key.substr(0, 1), "a") << "a probe left the zone";
}

TEST_F(TargetReachabilityTest, IdleHostNoticesThatConnectionsHang)
{
    this->run(5s);
    this->network = hangAll;
    EXPECT_TRUE(this->runUntilState(PathState::Lost, 2s));
}

TEST_F(TargetReachabilityTest, IdleHostNoticesThatConnectionsAreRefused)
{
    this->run(5s);
    this->network = refuseAll;
    EXPECT_TRUE(this->runUntilState(PathState::Lost, 1500ms));
}

/// Requests on pooled connections are lost after a second only.
TEST_F(TargetReachabilityTest, BusyHostNoticesHangingConnectionsBeforeItsRequestsAreLost)
{
    this->path.recordStart(this->now);
    this->traffic = [this] { this->path.recordAnswer("a-first-0", this->now, this->now); };
    this->run(5s);
    this->traffic = {};
    this->network = hangAll;
    EXPECT_TRUE(this->runUntilState(PathState::Lost, 1300ms));
}

TEST_F(TargetReachabilityTest, BusyHostNoticesThatConnectionsAreReset)
{
    this->run(5s);
    this->network = refuseAll;
    this->traffic = [this] {
        this->path.recordLoss("a-first-0", this->now);
        this->path.recordLoss("b-first-1", this->now);
    };
    EXPECT_TRUE(this->runUntilState(PathState::Lost, 800ms));
}

/// Requests that need a new connection fail, so others have to serve them.
TEST_F(TargetReachabilityTest, AnswersOnOpenConnectionsDoNotHideThatNewOnesAreRefused)
{
    this->run(5s);
    this->network = refuseAll;
    this->traffic = [this] {
        this->path.recordAnswer("a-first-0", this->now, this->now);
        this->path.recordConnect("a-first-1", false, this->now, this->now);
        this->path.recordConnect("b-first-1", false, this->now, this->now);
    };
    EXPECT_TRUE(this->runUntilState(PathState::Lost, 800ms));
}

TEST_F(TargetReachabilityTest, CrashedZoneOfTargetsIsNoLostPath)
{
    this->network = [](const PathTarget& target) { return target.zone == "a" ? refuseAll(target) : openAll(target); };
    this->traffic = [this] {
        this->path.recordConnect("a-first-0", false, this->now, this->now);
        this->path.recordConnect("a-second-1", false, this->now, this->now);
        this->path.recordLoss("a-first-1", this->now);
    };
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0);
    this->traffic = {};
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0) << "idle";
}

TEST_F(TargetReachabilityTest, PoolWithoutTargetsIsNoLostPathWhileAnotherIsReached)
{
    this->network = [](const PathTarget& target) { return target.pool == "first" ? hangAll(target) : openAll(target); };
    this->traffic = [this] {
        for (const auto& target : this->targets) {
            if (target.pool == "first")
                this->path.recordConnect(target.key, false, this->now - connectTimeout, this->now);
        }
    };
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0);
}

TEST_F(TargetReachabilityTest, TargetsThatOnlyAreSlowAreNoLostPath)
{
    this->path.recordStart(this->now);
    this->traffic = [this] {
        for (const auto& target : this->targets)
            this->path.recordUnanswered(target.key, this->now);
    };
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0);
    EXPECT_LE(this->probes, 20 * 3);
}

TEST_F(TargetReachabilityTest, OneAnswerOfManyIsEnoughToReachTargets)
{
    this->network
        = [](const PathTarget& target) { return target.key == "c-second-1" ? openAll(target) : refuseAll(target); };
    this->traffic = [this] { this->path.recordConnect("c-second-1", true, this->now, this->now); };
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0);
}

/// Guards against a host that takes connections that open for a path, although nothing is answered on them.
TEST_F(TargetReachabilityTest, BusyHostNoticesThatNothingIsAnsweredOnOpenConnections)
{
    this->traffic = [this] { this->path.recordAnswer("a-first-0", this->now, this->now); };
    this->run(5s);
    this->loseRequests(700ms);
    this->network = ignoreAll;
    ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
    EXPECT_EQ(this->changes.back().probeKind, ProbeKind::Health);
    EXPECT_GE(this->changes.back().targetsNotReached, 3U);
    this->traffic = {};
    this->run(5s);
    EXPECT_EQ(this->path.state(), PathState::Lost);
    this->network = openAll;
    EXPECT_TRUE(this->runUntilState(PathState::Reached, 3s));
    this->run(10s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 1);
}

TEST_F(TargetReachabilityTest, OneTargetThatAnswersHealthRequestsIsEnough)
{
    this->network = [](const PathTarget& target) { return target.zone == "c" ? openAll(target) : ignoreAll(target); };
    this->loseRequests(0ms);
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0);
    EXPECT_LE(this->probes, 20 * 8);
}

/// Guards against a path that counts as lost since targets close connections without an answer.
TEST_F(TargetReachabilityTest, TargetsThatCloseConnectionsWithoutAnAnswerAreNoLostPath)
{
    this->network = ignoreAll;
    this->traffic = [this] {
        for (const auto& target : this->targets)
            this->path.recordLoss(target.key, this->now);
    };
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0);
}

/// A target that serves all other hosts slowly answers this one now and then.
TEST_F(TargetReachabilityTest, AnswersEverySecondKeepHealthProbesAway)
{
    this->network = ignoreAll;
    auto ticks = 0;
    this->traffic = [this, &ticks] {
        for (const auto& target : this->targets)
            this->path.recordUnanswered(target.key, this->now);
        if (++ticks % 40 == 0)
            this->path.recordAnswer("b-second-1", this->now, this->now);
    };
    this->run(20s);
    EXPECT_EQ(this->countChanges(PathState::Lost), 0);
}

/// The class cannot tell a lost path from targets that are all down; its user compares hosts.
TEST_F(TargetReachabilityTest, FleetOfCrashedTargetsLooksLikeLostPath)
{
    this->network = refuseAll;
    EXPECT_TRUE(this->runUntilState(PathState::Lost, 3s));
}

TEST_F(TargetReachabilityTest, HostWithoutTargetsHasNoLostPath)
{
    this->path.setTargets({});
    this->run(5s);
    EXPECT_EQ(this->path.state(), PathState::Reached);
}

TEST_F(TargetReachabilityTest, OnlyTargetThatIsDownCountsAsLostPath)
{
    this->path.setTargets({ this->targets.front() });
    this->network = refuseAll;
    EXPECT_TRUE(this->runUntilState(PathState::Lost, 3s));
    this->network = openAll;
    EXPECT_TRUE(this->runUntilState(PathState::Reached, 3s));
}

TEST_F(TargetReachabilityTest, ProbesOfLostPathAreBoundedAndOfAllZones)
{
    this->network = hangAll;
    ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
    this->probes = 0;
    this->probed.clear();
    this->run(4s);
    EXPECT_LE(this->maxPending, 4U);
    EXPECT_LE(this->probes, 4 * 10 + 4);
    auto zones = std::set<std::string> {};
    for (const auto& key : this->probed)
        zones.insert(key.substr(0, 1));
    EXPECT_EQ(zones.size(), 3U);
}

TEST_F(TargetReachabilityTest, PathIsBackAfterItHasHeldForShortTime)
{
    this->network = hangAll;
    ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
    this->network = openAll;
    EXPECT_FALSE(this->runUntilState(PathState::Reached, 400ms));
    EXPECT_TRUE(this->runUntilState(PathState::Reached, 1200ms));
}

/// Guards against a host that stays without targets because some of them crashed during the cut.
TEST_F(TargetReachabilityTest, PathIsBackAlthoughMostTargetsAreDown)
{
    this->network = refuseAll;
    ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
    this->network
        = [](const PathTarget& target) { return target.key == "b-first-0" ? openAll(target) : refuseAll(target); };
    EXPECT_TRUE(this->runUntilState(PathState::Reached, 5s));
}

TEST_F(TargetReachabilityTest, FlappingPathCountsAsBackLaterEachTime)
{
    auto longest = Duration {};
    for (auto cut = 0; cut < 8; ++cut) {
        this->network = refuseAll;
        ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
        this->network = openAll;
        const auto openedAt = this->now;
        ASSERT_TRUE(this->runUntilState(PathState::Reached, 6s)) << "cut " << cut;
        EXPECT_GE(this->now - openedAt + 400ms, longest) << "cut " << cut;
        longest = std::max(longest, this->now - openedAt);
    }
    EXPECT_GE(longest, 3s);
    this->run(60s);
    this->network = refuseAll;
    ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
    this->network = openAll;
    EXPECT_TRUE(this->runUntilState(PathState::Reached, 1500ms));
}

TEST_F(TargetReachabilityTest, PathThatFlapsWithinTheHoldTimeStaysLost)
{
    this->network = refuseAll;
    ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
    for (auto i = 0; i < 20; ++i) {
        this->network = i % 2 == 0 ? openAll : refuseAll;
        this->run(400ms);
        EXPECT_EQ(this->path.state(), PathState::Lost);
    }
}

TEST_F(TargetReachabilityTest, FailuresOfTheCutAreNotThoseOfTargets)
{
    this->run(3s);
    const auto cutAt = this->now;
    EXPECT_FALSE(this->path.isPathFailure(cutAt));
    this->network = hangAll;
    ASSERT_TRUE(this->runUntilState(PathState::Lost, 3s));
    EXPECT_LE(this->changes.back().since, cutAt);
    EXPECT_GE(this->changes.back().targetsNotReached, 4U);
    EXPECT_TRUE(this->path.isPathFailure(this->now));
    this->network = openAll;
    ASSERT_TRUE(this->runUntilState(PathState::Reached, 3s));
    EXPECT_TRUE(this->path.isPathFailure(this->now - 100ms)) << "sent before the return";
    this->run(100ms);
    EXPECT_FALSE(this->path.isPathFailure(this->now));
}

TEST_F(TargetReachabilityTest, ProbeOnRequestIsSentWithoutOtherReason)
{
    this->run(3s);
    this->traffic = [this] { this->path.recordAnswer("a-first-0", this->now, this->now); };
    this->probes = 0;
    this->path.requestProbe();
    this->run(200ms);
    EXPECT_EQ(this->probes, 1);
}

} // namespace
} // namespace citronloft
