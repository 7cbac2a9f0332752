#include "citronloft/policy/loop_delay.hpp"

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };
constexpr auto interval = 20ms;

TEST(LoopDelayTest, InputOfAnIdleLoopHasNotWaited)
{
    auto delay = LoopDelay {};
    EXPECT_EQ(delay.waitBefore(start), 0ms) << "before the first tick";
    delay.recordTick(start, start + interval, start);
    EXPECT_EQ(delay.waitBefore(start + 15ms), 0ms);
}

TEST(LoopDelayTest, InputThatIsReadBeforeALateTickHasWaitedForAsLong)
{
    auto delay = LoopDelay {};
    delay.recordTick(start, start + interval, start);
    EXPECT_EQ(delay.waitBefore(start + interval + 300ms), 300ms);
}

/// A turn of the loop reads input before and after its tick.
TEST(LoopDelayTest, DelayOfTheLastTickCountsUntilTheNextOne)
{
    auto delay = LoopDelay {};
    delay.recordTick(start, start + 320ms, start + 300ms);
    EXPECT_EQ(delay.waitBefore(start + 310ms), 300ms);
    EXPECT_EQ(delay.waitBefore(start + 800ms), 480ms);
    delay.recordTick(start + 320ms, start + 820ms, start + 800ms);
    EXPECT_EQ(delay.waitBefore(start + 801ms), 480ms);
    delay.recordTick(start + 820ms, start + 840ms, start + 820ms);
    EXPECT_EQ(delay.waitBefore(start + 821ms), 0ms);
}

} // namespace
} // namespace citronloft
