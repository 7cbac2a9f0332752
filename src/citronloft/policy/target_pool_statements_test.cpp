#include <gtest/gtest.h>

#include "citronloft/policy/slot_allocator.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class TargetPoolStatementsTest : public testing::Test {
protected:
    auto SetUp() -> void override { this->setTargets(targets()); }

    static auto targets() -> std::vector<LiveTarget>
    {
        auto list = std::vector<LiveTarget>(2);
        for (auto i = std::size_t { 0 }; i < list.size(); ++i) {
            list[i].instance = "run-" + std::to_string(i);
            list[i].startedAtMs = 1000;
            list[i].target = { "10.1.0." + std::to_string(i) + ":80", "north-a", 4, 100, false };
        }
        return list;
    }

    auto setTargets(const std::vector<LiveTarget>& list) -> void { this->pool().setLiveTargets(list, this->now); }
    auto pool() -> TargetPool& { return this->slots.targets(); }

    /// Places a request for each of `count` objects, 10 ms apart, and returns the number that `target` received.
    auto place(const std::string& target, int count = 50) -> int
    {
        auto received = 0;
        for (auto object = 0; object < count; ++object) {
            this->now += 10ms;
            const auto chosen = this->pool().acquireFor(requirementsFor(object), this->now);
            if (!chosen)
                continue;
            received += *chosen == target ? 1 : 0;
            this->pool().release(*chosen, TargetResult::Answered, 5ms, this->now);
        }
        return received;
    }

    static auto requirementsFor(int object) -> TargetRequirements
    {
        auto requirements = TargetRequirements {};
        requirements.object = static_cast<std::uint64_t>(object);
        return requirements;
    }

    /// Fills the targets' slots and queues one request more.
    auto queueRequest() -> void
    {
        auto isQueued = false;
        for (auto object = 0; object < 100 && !isQueued; ++object) {
            const auto end = this->now + 5s;
            const auto request = SlotRequest { 0, 1, end, requirementsFor(object), 0, end };
            isQueued = this->slots.acquire(request, this->now, [this](const SlotDecision& decision) {
                this->decisions.push_back(decision);
            }) != 0;
        }
        ASSERT_TRUE(isQueued);
    }

    auto releaseAll(const std::string& target) -> void
    {
        constexpr auto maxInFlight = 10;
        for (auto i = 0; i < maxInFlight; ++i)
            this->slots.release(target, TargetResult::Answered, 5ms, this->now);
    }

    TimePoint now { 1h };
    SlotAllocator slots { makeUrgencyQueue({}), TargetPool { discoveredPoolOption(), 42 } };
    std::vector<SlotDecision> decisions;
    std::string stating = targets().front().key();
    std::string other = targets().back().key();
};

/// The store can be behind, or be restored, and say that a leaving target is ready.
TEST_F(TargetPoolStatementsTest, LeavingTargetStaysUnusedWhenItsEntryIsUpdatedOrReturns)
{
    EXPECT_GT(this->place(this->stating), 0);
    EXPECT_TRUE(this->pool().recordLeaving(this->stating, this->now));
    EXPECT_FALSE(this->pool().recordLeaving(this->stating, this->now));
    EXPECT_EQ(this->place(this->stating), 0);
    this->setTargets(targets());
    EXPECT_EQ(this->place(this->stating), 0);
    this->setTargets({ targets().back() });
    this->now += 3min;
    this->setTargets(targets());
    EXPECT_EQ(this->place(this->stating), 0);
    auto restarted = targets();
    restarted.front().startedAtMs = 2000;
    this->setTargets(restarted);
    EXPECT_GT(this->place(restarted.front().key()), 0);
}

/// Answers to requests that are under way arrive while the target's entry is away.
TEST_F(TargetPoolStatementsTest, StatementsWithoutAnEntryAreInForceWhenTheEntryReturns)
{
    this->setTargets({ targets().back() });
    EXPECT_TRUE(this->pool().recordLeaving(this->stating, this->now));
    this->now += 3min;
    this->setTargets(targets());
    EXPECT_EQ(this->place(this->stating), 0);
    this->setTargets({ targets().front() });
    this->now += 3s;
    EXPECT_TRUE(this->pool().recordPause(this->other, this->now + 1min, this->now));
    this->setTargets(targets());
    EXPECT_EQ(this->place(this->other), 0);
}

/// A run can be moved to another service, whose pool has not seen its answers.
TEST_F(TargetPoolStatementsTest, StatementsOfARunHoldInEveryPool)
{
    const auto statements = std::make_shared<TargetStatementRegistry>();
    auto first = TargetPool(discoveredPoolOption(), 42, statements);
    auto second = TargetPool(discoveredPoolOption(), 43, statements);
    first.setLiveTargets(targets(), this->now);
    EXPECT_TRUE(first.recordLeaving(this->stating, this->now));
    first.setLiveTargets({ targets().back() }, this->now);
    second.setLiveTargets(targets(), this->now);
    for (auto object = 0; object < 50; ++object)
        EXPECT_NE(second.acquireFor(requirementsFor(object), this->now), this->stating);
}

/// The memory of statements must not grow with the number of targets that have ever left.
TEST(TargetStatementRegistryTest, ForgetsRunsThatNoPoolHoldsAnyMore)
{
    auto now = TimePoint { 1h };
    auto registry = TargetStatementRegistry {};
    auto held = registry.statementsOf("run-1");
    held->recordLeaving(now);
    registry.statementsOf("run-2")->recordLeaving(now);
    registry.statementsOf("run-3");
    registry.expire(now);
    EXPECT_EQ(registry.size(), 2U) << "a run that has said nothing is not kept";
    registry.expire(now + 9min);
    EXPECT_EQ(registry.size(), 2U);
    registry.expire(now + 20min);
    EXPECT_EQ(registry.size(), 1U);
    EXPECT_TRUE(held->isLeaving());
    held.reset();
    registry.expire(now + 21min);
    EXPECT_EQ(registry.size(), 1U) << "retained from when it was last held";
    registry.expire(now + 40min);
    EXPECT_EQ(registry.size(), 0U);
}

TEST_F(TargetPoolStatementsTest, TargetsThatAllLeaveAreUsedForALimitedTime)
{
    this->pool().recordLeaving(this->stating, this->now);
    this->pool().recordLeaving(this->other, this->now);
    EXPECT_TRUE(this->pool().hasUsableTarget(this->now));
    EXPECT_GT(this->place(this->stating), 0);
    EXPECT_GT(this->place(this->other), 0);
    this->now += 2s;
    EXPECT_FALSE(this->pool().hasUsableTarget(this->now));
    EXPECT_EQ(this->pool().freeSlots(this->now), 0U);
    EXPECT_EQ(this->pool().acquireFor({}, this->now), std::nullopt);
}

/// Requests that must stay in a region cannot use the targets of another one.
TEST_F(TargetPoolStatementsTest, LastTargetOfARegionIsUsedForALimitedTime)
{
    auto list = targets();
    list.front().region = "north";
    list.back().region = "south";
    this->setTargets(list);
    this->pool().recordLeaving(this->stating, this->now);
    auto requirements = TargetRequirements {};
    requirements.regions = { "north" };
    EXPECT_EQ(this->pool().acquireFor(requirements, this->now), this->stating);
    EXPECT_EQ(this->pool().acquireFor(requirements, this->now + 2s), std::nullopt);
}

TEST_F(TargetPoolStatementsTest, QueuedRequestIsNotSentToLeavingTarget)
{
    this->queueRequest();
    const auto started = this->decisions.size();
    this->pool().recordLeaving(this->stating, this->now);
    this->releaseAll(this->stating);
    EXPECT_EQ(this->decisions.size(), started);
    this->releaseAll(this->other);
    ASSERT_EQ(this->decisions.size(), started + 1);
    EXPECT_EQ(this->decisions.back().target, this->other);
}

/// A request that no target can take must not wait until its deadline.
TEST_F(TargetPoolStatementsTest, QueuedRequestsAreRefusedWhenAllTargetsLeave)
{
    this->queueRequest();
    const auto started = this->decisions.size();
    this->pool().recordLeaving(this->stating, this->now);
    this->pool().recordLeaving(this->other, this->now);
    this->slots.tick(this->now + 1s);
    EXPECT_EQ(this->decisions.size(), started);
    this->slots.tick(this->now + 2s);
    ASSERT_EQ(this->decisions.size(), started + 1);
    EXPECT_EQ(this->decisions.back().refusal, ResultCode::NoTarget);
    EXPECT_EQ(this->slots.queued(), 0U);
}

TEST_F(TargetPoolStatementsTest, PausedTargetReceivesNothingUntilThePauseEnds)
{
    const auto end = this->now + 1s;
    EXPECT_TRUE(this->pool().recordPause(this->stating, end, this->now));
    EXPECT_FALSE(this->pool().recordPause(this->stating, end - 500ms, this->now));
    EXPECT_EQ(this->pool().earliestPauseEnd(this->now), end);
    EXPECT_EQ(this->place(this->stating), 0);
    this->setTargets({ targets().back() });
    this->setTargets(targets());
    this->now += 400ms;
    EXPECT_EQ(this->pool().freeSlots(this->now), this->pool().freeSlots(end) / 2);
    EXPECT_EQ(this->pool().totalSlots(this->now), this->pool().totalSlots(end) / 2);
    this->now = end;
    EXPECT_GT(this->place(this->stating), 0);
    EXPECT_EQ(this->pool().earliestPauseEnd(this->now), std::nullopt);
}

TEST_F(TargetPoolStatementsTest, NewRunOfPausedTargetIsNotPaused)
{
    this->pool().recordPause(this->stating, this->now + 1h, this->now);
    auto restarted = targets();
    restarted.front().startedAtMs = 2000;
    this->setTargets(restarted);
    EXPECT_GT(this->place(restarted.front().key()), 0);
}

/// An answer to a request that was sent before must not end a pause.
TEST_F(TargetPoolStatementsTest, LateAnswerDoesNotEndPause)
{
    while (this->pool().acquireFor({}, this->now) != this->stating) { }
    this->pool().recordPause(this->stating, this->now + 1s, this->now);
    this->pool().release(this->stating, TargetResult::Answered, 5ms, this->now);
    this->pool().recordProbe(this->stating, true, this->now);
    EXPECT_EQ(this->place(this->stating), 0);
}

TEST_F(TargetPoolStatementsTest, PausedTargetsOfferNoCapacity)
{
    this->pool().recordPause(this->stating, this->now + 2s, this->now);
    EXPECT_TRUE(this->pool().hasUsableTarget(this->now));
    this->pool().recordPause(this->other, this->now + 1s, this->now);
    EXPECT_FALSE(this->pool().hasUsableTarget(this->now));
    EXPECT_FALSE(this->pool().hasFreeCapacity(this->now));
    EXPECT_EQ(this->pool().freeSlots(this->now), 0U);
    EXPECT_EQ(this->pool().totalSlots(this->now), 0U);
    EXPECT_EQ(this->pool().earliestPauseEnd(this->now), this->now + 1s);
}

TEST_F(TargetPoolStatementsTest, QueuedRequestIsSentToTargetWithoutPause)
{
    this->queueRequest();
    const auto started = this->decisions.size();
    this->pool().recordPause(this->stating, this->now + 2s, this->now);
    this->releaseAll(this->stating);
    EXPECT_EQ(this->decisions.size(), started);
    this->releaseAll(this->other);
    ASSERT_EQ(this->decisions.size(), started + 1);
    EXPECT_EQ(this->decisions.back().target, this->other);
}

} // namespace
} // namespace citronloft
