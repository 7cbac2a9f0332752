#include "citronloft/policy/held_losses.hpp"

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };

/// Losses of two targets that have both ended.
auto holdCrashes() -> HeldLosses
{
    auto held = HeldLosses {};
    held.add({ 1, "t0", "a0", start });
    held.add({ 2, "t1", "a1", start + 50ms });
    EXPECT_TRUE(held.recordTargetEnd("t0"));
    EXPECT_TRUE(held.recordTargetEnd("t1"));
    return held;
}

TEST(HeldLossesTest, CrashIsReportedOnceATargetIsReached)
{
    auto held = holdCrashes();
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

/// Guards against requests that are put in quarantine because their answers were lost.
TEST(HeldLossesTest, LossWithTargetThatServesOnIsNeverReported)
{
    auto held = HeldLosses {};
    held.add({ 1, "t0", "a0", start });
    held.add({ 2, "t1", "a1", start });
    held.recordTargetEnd("t1");
    EXPECT_FALSE(held.recordTargetEnd("t1")) << "known already";
    for (auto now = start; now < start + 5s; now += 100ms) {
        for (const auto& loss : held.takeConfirmed(start + 1ms, now))
            EXPECT_EQ(loss.request, 2U);
    }
    EXPECT_TRUE(held.isEmpty());
}

TEST(HeldLossesTest, OtherRunAtTheAddressShowsThatTheTargetHasEnded)
{
    auto held = HeldLosses {};
    held.add({ 1, "t0@1", "a0", start });
    held.add({ 2, "t1@1", "a1", start });
    EXPECT_TRUE(held.recordRun("a0", "t0@1").empty()) << "the same run";
    EXPECT_EQ(held.recordRun("a0", "t0@2"), (std::vector<std::string> { "t0@1" }));
    const auto reported = held.takeConfirmed(start + 1ms, start + 20ms);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0].request, 1U);
}

/// Guards against requests that are put in quarantine because their connections were cut.
TEST(HeldLossesTest, LossesOfLostPathAreNeverReported)
{
    auto held = holdCrashes();
    held.drop();
    EXPECT_TRUE(held.takeConfirmed(start + 1s, start + 5s).empty());
}

/// Guards against requests that are suspected although another target has answered them since.
TEST(HeldLossesTest, LossOfAnsweredRequestIsNotReported)
{
    auto held = holdCrashes();
    held.drop(1);
    const auto reported = held.takeConfirmed(start + 51ms, start + 60ms);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0].request, 2U);
}

TEST(HeldLossesTest, ProbeIsNeededWhileNothingIsReached)
{
    auto held = HeldLosses {};
    EXPECT_FALSE(held.needsProbe({}, start));
    held.add({ 1, "t0", "a0", start });
    EXPECT_FALSE(held.needsProbe({}, start + 50ms));
    EXPECT_TRUE(held.needsProbe({}, start + 150ms));
    EXPECT_FALSE(held.needsProbe(start + 1ms, start + 150ms)) << "a target was reached since";
}

TEST(HeldLossesTest, CrashIsReportedAfterTheMaximumTime)
{
    auto held = holdCrashes();
    EXPECT_TRUE(held.takeConfirmed({}, start + 2s).empty());
    EXPECT_EQ(held.takeConfirmed({}, start + 4s).size(), 2U);
}

TEST(HeldLossesTest, OldestCrashesAreReportedBeyondTheMaximumCount)
{
    auto held = HeldLosses { { .maxCount = 2 } };
    for (auto request = std::uint64_t { 1 }; request <= 3; ++request)
        held.add({ request, "t0", "a0", start });
    held.recordTargetEnd("t0");
    const auto reported = held.takeConfirmed({}, start);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0].request, 1U);
}

} // namespace
} // namespace citronloft
