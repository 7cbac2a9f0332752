#include <gtest/gtest.h>

#include "citronloft/policy/busy_bucket.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto fleet = FleetSize { .zones = 6, .hosts = 126 };
constexpr auto rate = 1088.0;
constexpr auto even = rate / 6;

TEST(BusyBucket, NeedsALargeRateAndManyHosts)
{
    EXPECT_TRUE(isBusyBucket(rate, fleet, 130ms));
    EXPECT_FALSE(isBusyBucket(20, fleet, 130ms));
    EXPECT_FALSE(isBusyBucket(rate, { .zones = 6, .hosts = 12 }, 130ms));
    EXPECT_FALSE(isBusyBucket(150, { .zones = 4, .hosts = 12 }, 130ms));
}

TEST(BusyBucket, LoansOfAHostStayWithinItsEvenShare)
{
    EXPECT_DOUBLE_EQ(busyLoanTokens(rate, fleet, 5), 2.5);
    EXPECT_DOUBLE_EQ(busyLoanTokens(rate, fleet, 100), rate / 126 / 2);
}

/// If all holders announced a surge, each would make room for the others and the fleet would mint far less than the
/// rate.
TEST(BusyBucket, SurgeInAllZonesRaisesTheSumByAQuarterAtMost)
{
    EXPECT_DOUBLE_EQ(announcedHolderDemand(rate, 6, { even / 2, even, even, 5 * even }), even);
    const auto surge = announcedHolderDemand(rate, 6, { 5 * even, even, even, 5 * even });
    EXPECT_DOUBLE_EQ(surge, even * 1.25);
    // The sum of the others' demands is subtracted, which loses some of the last digits.
    EXPECT_NEAR(announcedHolderDemand(rate, 6, { 5 * even, even, surge, 5 * surge }), even * 1.25, 1e-9);
}

TEST(BusyBucket, ZoneThatNeedsMoreGrowsInSteps)
{
    const auto first = announcedHolderDemand(rate, 6, { 5 * even, even, even, 5 * even });
    const auto second = announcedHolderDemand(rate, 6, { 5 * even, even, first, 5 * even });
    EXPECT_DOUBLE_EQ(second, even * 1.25 * 1.25);
    EXPECT_DOUBLE_EQ(announcedHolderDemand(rate, 6, { 5 * even, even, 3 * even, 5 * even }), rate * 0.25 + even);
}

} // namespace
} // namespace citronloft
