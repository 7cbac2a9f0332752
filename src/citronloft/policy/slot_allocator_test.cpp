#include <gtest/gtest.h>

#include "citronloft/policy/slot_allocator.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class SlotAllocatorTest : public testing::Test {
protected:
    auto SetUp() -> void override { this->slots.targets().setLiveTargets(targets(), this->now); }

    static auto targets() -> std::vector<LiveTarget>
    {
        auto list = std::vector<LiveTarget>(2);
        for (auto i = std::size_t { 0 }; i < list.size(); ++i) {
            list[i].instance = "run-" + std::to_string(i);
            list[i].target = { "10.1.0." + std::to_string(i) + ":80", "north-a", 4, 100, false };
        }
        return list;
    }

    /// @return whether the request was queued.
    auto acquire(std::uint64_t object) -> bool
    {
        const auto end = this->now + 5s;
        auto requirements = TargetRequirements {};
        requirements.object = object;
        const auto done = [this](const SlotDecision& decision) { this->decisions.push_back(decision); };
        return this->slots.acquire({ 0, 1, end, requirements, 0, end }, this->now, done) != 0;
    }

    TimePoint now { 1h };
    SlotAllocator slots { makeUrgencyQueue({}), TargetPool { discoveredPoolOption(), 42 } };
    std::vector<SlotDecision> decisions;
};

/// A pool whose other targets cannot be used must not stay without a target after the ejection has ended.
TEST_F(SlotAllocatorTest, EjectedTargetIsUsedAgainWhenTheOtherDrains)
{
    auto list = targets();
    const auto ejected = list.back().key();
    for (auto i = 0; i < 3; ++i)
        this->slots.release(ejected, TargetResult::Failed, 5ms, this->now);
    list.front().target.draining = true;
    this->slots.targets().setLiveTargets(list, this->now);
    this->acquire(1);
    EXPECT_EQ(this->decisions.back().target, "");
    this->now += 4s;
    this->acquire(1);
    EXPECT_EQ(this->decisions.back().target, ejected);
}

/// A request that no target can take must not wait until its deadline.
TEST_F(SlotAllocatorTest, QueuedRequestsAreRefusedWhenNoTargetIsLeft)
{
    constexpr auto maxRequests = 100U;
    auto object = std::uint64_t { 0 };
    while (!this->acquire(object) && object < maxRequests)
        ++object;
    ASSERT_EQ(this->slots.queued(), 1U);
    const auto started = this->decisions.size();
    this->slots.targets().setLiveTargets({}, this->now);
    this->slots.tick(this->now);
    EXPECT_EQ(this->slots.queued(), 0U);
    ASSERT_EQ(this->decisions.size(), started + 1);
    EXPECT_EQ(this->decisions.back().refusal, ResultCode::NoTarget);
}

/// Guards against queued requests that wait behind attempts on connections that are lost.
TEST(SlotAllocatorQueue, RefusesAllQueuedRequestsAtOnce)
{
    constexpr auto now = TimePoint { 1h };
    constexpr auto seed = 7;
    auto pool = TargetPool({}, seed);
    pool.setTargets({ { "t0", "z", 1, 100, false } }, now);
    auto slots = SlotAllocator(makeFairQueue({}), std::move(pool));
    auto granted = std::string {};
    auto refusals = std::vector<ResultCode> {};
    const auto request = SlotRequest { .deadline = now + 10s, .requirements = {} };
    slots.acquire(request, now, [&](const SlotDecision& decision) { granted = decision.target; });
    ASSERT_EQ(granted, "t0");
    for (auto i = 0; i < 3; ++i) {
        slots.acquire(request, now, [&](const SlotDecision& decision) {
            EXPECT_TRUE(decision.target.empty());
            refusals.push_back(decision.refusal);
        });
    }
    ASSERT_EQ(slots.queued(), 3U);
    slots.refuseQueued(ResultCode::SpillRefused);
    EXPECT_EQ(refusals, std::vector<ResultCode>(3, ResultCode::SpillRefused));
    EXPECT_EQ(slots.queued(), 0U);
    slots.release(granted, TargetResult::Answered, 5ms, now);
    EXPECT_EQ(refusals.size(), 3U) << "no decision is made twice";
}

} // namespace
} // namespace citronloft
