#include <gtest/gtest.h>

#include "citronloft/check/rate_window.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

TEST(RateWindow, AcceptsBurstFollowedByRate)
{
    auto window = RateWindow(10, 5);
    const auto start = TimePoint { 1h };
    for (auto i = 0; i < 5; ++i)
        window.add(start);
    for (auto i = 1; i <= 20; ++i)
        window.add(start + 100ms * i);
    EXPECT_LE(window.excess(), 1e-6);
    EXPECT_EQ(window.total(), 25);
}

TEST(RateWindow, DetectsExcessInTheMiddle)
{
    auto window = RateWindow(10, 5);
    const auto start = TimePoint { 1h };
    window.add(start);
    for (auto i = 0; i < 6; ++i)
        window.add(start + 10s);
    window.add(start + 20s);
    EXPECT_NEAR(window.excess(), 1, 1e-6);
}

} // namespace
} // namespace citronloft
