#include "citronloft/policy/held_losses.hpp"

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };

TEST(HeldLossesTest, CrashIsReportedOnceATargetIsReached)
{
    auto held = HeldLosses {};
    held.add({ 1, "t0", start });
    held.add({ 2, "t1", start + 50ms });
    EXPECT_TRUE(held.contains(1));
    EXPECT_TRUE(held.takeConfirmed(start - 1ms, start + 60ms).empty()) << "that attempt began before the losses";
    const auto first = held.takeConfirmed(start + 20ms, start + 60ms);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].request, 1U);
    EXPECT_EQ(first[0].target, "t0");
    EXPECT_EQ(first[0].lostAt, start);
    EXPECT_FALSE(held.contains(1));
    EXPECT_EQ(held.takeConfirmed(start + 51ms, start + 70ms).size(), 1U);
}

/// Guards against requests that are put in quarantine because their connections were cut.
TEST(HeldLossesTest, LossesOfLostPathAreNeverReported)
{
    auto held = HeldLosses {};
    held.add({ 1, "t0", start });
    held.drop();
    EXPECT_TRUE(held.takeConfirmed(start + 1s, start + 5s).empty());
}

/// Guards against requests that are suspected although another target has answered them since.
TEST(HeldLossesTest, LossOfAnsweredRequestIsNotReported)
{
    auto held = HeldLosses {};
    held.add({ 1, "t0", start });
    held.add({ 2, "t0", start });
    held.drop(1);
    const auto reported = held.takeConfirmed(start + 1ms, start + 20ms);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0].request, 2U);
}

TEST(HeldLossesTest, ProbeIsNeededWhileNothingIsReached)
{
    auto held = HeldLosses {};
    EXPECT_FALSE(held.needsProbe(start));
    held.add({ 1, "t0", start });
    EXPECT_FALSE(held.needsProbe(start + 50ms));
    EXPECT_TRUE(held.needsProbe(start + 150ms));
}

TEST(HeldLossesTest, LossIsReportedAfterTheMaximumTime)
{
    auto held = HeldLosses {};
    held.add({ 1, "t0", start });
    EXPECT_TRUE(held.takeConfirmed({}, start + 2s).empty());
    EXPECT_EQ(held.takeConfirmed({}, start + 4s).size(), 1U);
}

TEST(HeldLossesTest, OldestLossesAreReportedBeyondTheMaximumCount)
{
    auto held = HeldLosses { { .maxCount = 2 } };
    for (auto request = std::uint64_t { 1 }; request <= 3; ++request)
        held.add({ request, "t0", start });
    const auto reported = held.takeConfirmed({}, start);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0].request, 1U);
}

} // namespace
} // namespace citronloft
