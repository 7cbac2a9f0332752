#include "citronloft/policy/stop_window.hpp"

#include <gtest/gtest.h>

namespace citronloft {

namespace {

using std::chrono::milliseconds;

constexpr auto start = TimePoint { std::chrono::hours { 1 } };

auto makeWindow() -> StopWindow { return StopWindow({ start, milliseconds { 2000 }, milliseconds { 20'000 } }); }

TEST(StopWindowTest, StaysOpenUntilCachedLookupsHaveExpired)
{
    const auto window = makeWindow();
    EXPECT_FALSE(window.canClose(start + milliseconds { 2900 }, start));
    EXPECT_TRUE(window.canClose(start + milliseconds { 3000 }, start));
}

TEST(StopWindowTest, StaysOpenWhileRequestsStillArrive)
{
    const auto window = makeWindow();
    // A caller with an outdated look-up result sends a request every 500 ms until 5 s after the stop began.
    for (auto at = milliseconds { 0 }; at <= milliseconds { 5000 }; at += milliseconds { 500 })
        EXPECT_FALSE(window.canClose(start + at + milliseconds { 400 }, start + at)) << at.count();
    EXPECT_TRUE(window.canClose(start + milliseconds { 6000 }, start + milliseconds { 5000 }));
}

TEST(StopWindowTest, ClosesAtHalfOfTheStopTimeDespiteRequests)
{
    const auto window = makeWindow();
    EXPECT_FALSE(window.canClose(start + milliseconds { 9999 }, start + milliseconds { 9990 }));
    EXPECT_TRUE(window.canClose(start + milliseconds { 10'000 }, start + milliseconds { 9990 }));
}

TEST(StopWindowTest, ShortStopTimeBoundsTheWaitForLookups)
{
    const auto window = StopWindow({ start, milliseconds { 2000 }, milliseconds { 1000 } });
    EXPECT_TRUE(window.canClose(start + milliseconds { 500 }, start + milliseconds { 499 }));
}

TEST(StopWindowTest, RefusesUnsentRequestsBeforeItIsOverdue)
{
    const auto window = makeWindow();
    EXPECT_FALSE(window.refusesUnsent(start + milliseconds { 17'999 }));
    EXPECT_TRUE(window.refusesUnsent(start + milliseconds { 18'000 }));
}

TEST(StopWindowTest, IsOverdueNearTheEndOfItsTime)
{
    const auto window = makeWindow();
    EXPECT_EQ(window.latestExitAt(), start + milliseconds { 19'000 });
    EXPECT_FALSE(window.isOverdue(start + milliseconds { 19'000 }));
    EXPECT_TRUE(window.isOverdue(start + milliseconds { 19'001 }));
}

} // namespace

} // namespace citronloft
