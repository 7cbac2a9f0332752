#include <gtest/gtest.h>

#include "citronloft/policy/slot_allocator.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

/// Guards against queued requests that wait behind attempts on connections that are lost.
TEST(SlotAllocator, RefusesAllQueuedRequestsAtOnce)
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
