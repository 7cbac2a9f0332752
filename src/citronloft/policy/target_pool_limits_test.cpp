#include <gtest/gtest.h>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class TargetPoolLimitsTest : public testing::Test {
protected:
    auto SetUp() -> void override
    {
        this->pool.setLimitShare(
            [this](const LiveTarget&, double perSecond, bool) { return perSecond * this->fraction; });
        this->pool.setLiveTargets(this->targets(), this->now);
    }

    static auto targets() -> std::vector<LiveTarget>
    {
        auto list = std::vector<LiveTarget>(2);
        for (auto i = std::size_t { 0 }; i < list.size(); ++i) {
            list[i].instance = "run-" + std::to_string(i);
            list[i].target = { "10.1.0." + std::to_string(i) + ":80", "north-a", 4, 100, false };
        }
        return list;
    }

    /// Places a request for each of `count` objects, 10 ms apart, and returns the number that `target` received.
    auto place(int count, const std::string& target) -> int
    {
        auto received = 0;
        for (auto object = 0; object < count; ++object) {
            this->now += 10ms;
            auto requirements = TargetRequirements {};
            requirements.object = static_cast<std::uint64_t>(object);
            const auto chosen = this->pool.acquireFor(requirements, this->now);
            if (!chosen)
                continue;
            received += *chosen == target ? 1 : 0;
            this->pool.release(*chosen, TargetResult::Answered, 5ms, this->now);
        }
        return received;
    }

    TimePoint now { 1h };
    double fraction = 0.5;
    TargetPool pool { discoveredPoolOption(), 42 };
    std::string limited = targets().front().key();
};

TEST_F(TargetPoolLimitsTest, LimitedTargetReceivesThisHostsShare)
{
    EXPECT_GT(this->place(1000, this->limited), 300);
    this->pool.recordRateLimit(this->limited, 4, this->now, this->now);
    EXPECT_NEAR(this->place(1000, this->limited), 10 * 4 * this->fraction, 3);
    this->pool.recordRateLimit(this->limited, std::nullopt, this->now, this->now);
    EXPECT_GT(this->place(1000, this->limited), 300);
}

/// Without a share of any target a request must be refused at once, not queued.
TEST_F(TargetPoolLimitsTest, TargetsWithoutShareOfferNoCapacity)
{
    this->fraction = 0;
    for (const auto& target : targets()) {
        EXPECT_TRUE(this->pool.hasUsableTarget(this->now));
        this->pool.recordRateLimit(target.key(), 4, this->now, this->now);
    }
    this->now += 1s;
    EXPECT_FALSE(this->pool.hasUsableTarget(this->now));
    EXPECT_FALSE(this->pool.hasFreeCapacity(this->now));
    EXPECT_EQ(this->pool.freeSlots(this->now), 0U);
    EXPECT_EQ(this->pool.totalSlots(this->now), 0U);
}

TEST_F(TargetPoolLimitsTest, HugeLimitDoesNotRemoveTheCapacityOfOtherTargets)
{
    const auto capacity = this->pool.totalSlots(this->now);
    ASSERT_GT(capacity, 1U);
    this->pool.recordRateLimit(this->limited, 1e300, this->now, this->now);
    EXPECT_GE(this->pool.totalSlots(this->now), capacity);
    EXPECT_TRUE(this->pool.hasFreeCapacity(this->now));
    EXPECT_GT(this->place(1000, this->limited), 300);
}

TEST_F(TargetPoolLimitsTest, CapacityOfLimitedTargetsFollowsRateAndServiceTime)
{
    for (const auto& target : targets())
        this->pool.recordRateLimit(target.key(), 100, this->now, this->now);
    EXPECT_EQ(this->pool.freeSlots(this->now), 0U);
    EXPECT_EQ(this->pool.totalSlots(this->now), 1U);
    this->now += 1s;
    EXPECT_EQ(this->pool.freeSlots(this->now), 2U);
}

TEST_F(TargetPoolLimitsTest, ObservationsAreTakenOnceAndMergedByOtherHosts)
{
    this->pool.recordRateLimit(this->limited, 4, this->now, this->now);
    const auto observations = this->pool.takeLimitObservations();
    ASSERT_EQ(observations.size(), 1U);
    EXPECT_TRUE(this->pool.takeLimitObservations().empty());
    auto other = TargetPool { discoveredPoolOption(), 43 };
    EXPECT_TRUE(other.mergeLimits(observations, this->now).empty());
    other.setLiveTargets(targets(), this->now);
    const auto updates = other.mergeLimits(observations, this->now);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().target, this->limited);
    EXPECT_EQ(other.announcedLimit(this->limited), 4);
    EXPECT_TRUE(other.takeLimitObservations().empty());
}

TEST_F(TargetPoolLimitsTest, LimitIsRetainedWhileTheTargetIsAbsent)
{
    this->pool.recordRateLimit(this->limited, 4, this->now, this->now);
    this->pool.setLiveTargets({}, this->now);
    this->now += 30s;
    this->pool.setLiveTargets(targets(), this->now);
    EXPECT_EQ(this->pool.announcedLimit(this->limited), 4);
    this->pool.setLiveTargets({}, this->now);
    this->now += 61s;
    this->pool.setLiveTargets({}, this->now);
    this->pool.setLiveTargets(targets(), this->now);
    EXPECT_EQ(this->pool.announcedLimit(this->limited), std::nullopt);
}

/// Answers to requests that are under way arrive while the target's entry is away.
TEST_F(TargetPoolLimitsTest, LimitStatedWithoutAnEntryIsSharedAndInForceWhenTheEntryReturns)
{
    auto other = TargetPool { discoveredPoolOption(), 43 };
    other.setLiveTargets(targets(), this->now);
    this->pool.setLiveTargets({}, this->now);
    this->now += 1s;
    EXPECT_EQ(this->pool.recordRateLimit(this->limited, 4, this->now, this->now), LimitChange::Announced);
    EXPECT_EQ(other.mergeLimits(this->pool.takeLimitObservations(), this->now).size(), 1U);
    EXPECT_TRUE(this->pool.takeLimitObservations().empty());
    EXPECT_EQ(other.announcedLimit(this->limited), 4);
    other.recordRateLimit(this->limited, 8, this->now, this->now + 1s);
    this->pool.mergeLimits(other.takeLimitObservations(), this->now + 1s);
    this->now += 30s;
    this->pool.setLiveTargets(targets(), this->now);
    EXPECT_EQ(this->pool.announcedLimit(this->limited), 8);
}

} // namespace
} // namespace citronloft
