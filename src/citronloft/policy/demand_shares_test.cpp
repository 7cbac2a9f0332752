#include <gtest/gtest.h>

#include "citronloft/policy/demand_shares.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };
constexpr auto bucket = std::uint64_t { 7 };

auto ipOf(int host) -> std::string { return "10.0.0." + std::to_string(host); }

/// Returns the fractions of hosts that have received each other's reports, including reports sent after their own
/// announcements.
auto fractionsOf(const std::vector<float>& demands, double rate) -> std::vector<double>
{
    auto fractions = std::vector<double> {};
    for (auto self = 0; self < static_cast<int>(demands.size()); ++self) {
        auto shares = DemandShares({}, ipOf(self));
        for (const auto at : { start, start + 300ms }) {
            shares.announce({ { bucket, demands[self] } }, at);
            for (auto other = 0; other < static_cast<int>(demands.size()); ++other)
                shares.recordHostReport(ipOf(other), { { { bucket, demands[other] } } }, at + 200ms);
        }
        shares.announce({ { bucket, demands[self] } }, start + 600ms);
        fractions.push_back(shares.fractionOf(bucket, rate));
    }
    return fractions;
}

TEST(DemandShares, FractionsSumToOneAndFollowDemand)
{
    const auto fractions = fractionsOf({ 50, 10, 0, 0 }, 100);
    EXPECT_NEAR(fractions[0] + fractions[1] + fractions[2] + fractions[3], 1, 1e-6);
    EXPECT_GT(fractions[0], 0.6);
    EXPECT_GT(fractions[2], 0);
}

TEST(DemandShares, DemandBelowTheRateIsMetOnEveryHost)
{
    const auto demands = std::vector<float> { 50, 5, 5, 1 };
    const auto fractions = fractionsOf(demands, 100);
    for (auto i = std::size_t { 0 }; i < demands.size(); ++i)
        EXPECT_GT(fractions[i] * 100, demands[i]) << i;
}

TEST(DemandShares, FleetThatHasJustStartedDividesEvenly)
{
    auto shares = DemandShares({}, ipOf(0));
    for (auto host = 0; host < 4; ++host)
        shares.recordHost(ipOf(host), start);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.25);
}

TEST(DemandShares, OtherZonesCountWithTheirTotalDemand)
{
    auto shares = DemandShares({ .evenFraction = 0 }, ipOf(0));
    shares.announce({ { bucket, 30 } }, start);
    shares.recordHostReport(ipOf(1), { { { bucket, 10 } } }, start + 500ms);
    shares.recordZoneReport("other", 5, { { { bucket, 60 } } }, start + 500ms);
    shares.announce({ { bucket, 30 } }, start + 600ms);
    EXPECT_EQ(shares.hosts(), 7U);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.3);
    EXPECT_EQ(shares.zoneDemands(), (std::vector<BucketDemand> { { bucket, 40 } }));
}

TEST(DemandShares, IncreaseCountsOnceAllOthersHaveReportedAfterIt)
{
    auto shares = DemandShares({ .evenFraction = 0 }, ipOf(0));
    shares.recordHostReport(ipOf(1), { { { bucket, 10 } } }, start);
    shares.recordZoneReport("other", 5, { { { bucket, 60 } } }, start);
    shares.announce({ { bucket, 30 } }, start + 100ms);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0);
    shares.recordHostReport(ipOf(1), { { { bucket, 10 } } }, start + 400ms);
    shares.announce({ { bucket, 30 } }, start + 500ms);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0) << "the other zone has not reported since";
    shares.recordZoneReport("other", 5, { { { bucket, 60 } } }, start + 600ms);
    shares.announce({ { bucket, 30 } }, start + 700ms);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.3);
}

TEST(DemandShares, DecreaseIsAnnouncedWithDelayAndThenCountsImmediately)
{
    auto shares = DemandShares({ .evenFraction = 0 }, ipOf(0));
    const auto announced30 = std::vector<BucketDemand> { { bucket, 30 } };
    EXPECT_EQ(shares.announce({ { bucket, 30 } }, start), announced30);
    EXPECT_EQ(shares.announce({ { bucket, 33 } }, start + 300ms), announced30) << "noise";
    EXPECT_EQ(shares.announce({ { bucket, 25 } }, start + 600ms), announced30) << "noise";
    shares.recordHostReport(ipOf(1), { { { bucket, 30 } } }, start + 700ms);
    EXPECT_EQ(shares.announce({ { bucket, 10 } }, start + 900ms), announced30) << "a short gap";
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.5);
    for (auto at = start + 1200ms; at < start + 7s; at += 300ms)
        shares.announce({ { bucket, 10 } }, at);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.25);
}

TEST(DemandShares, NoIncreaseCountsWhileAnotherHostDoesNotReceiveReports)
{
    auto shares = DemandShares({ .evenFraction = 0 }, ipOf(0));
    shares.recordHostReport(ipOf(1), { { { bucket, 10 } }, false }, start);
    shares.announce({ { bucket, 30 } }, start + 100ms);
    shares.recordHostReport(ipOf(1), { { { bucket, 10 } }, false }, start + 400ms);
    shares.announce({ { bucket, 30 } }, start + 700ms);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0);
    for (const auto at : { start + 800ms, start + 1100ms }) {
        shares.recordHostReport(ipOf(1), { { { bucket, 10 } }, true }, at);
        shares.announce({ { bucket, 30 } }, at + 100ms);
    }
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.75);
}

TEST(DemandShares, KnownZoneThatNeverReportedDelaysIncreasesAtFirst)
{
    auto shares = DemandShares({}, ipOf(0));
    shares.recordZoneHostCount("other", 3, start);
    for (auto at = start; at < start + 59s; at += 300ms) {
        shares.recordZoneHostCount("other", 3, at);
        shares.announce({ { bucket, 30 } }, at);
    }
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.25);
    shares.announce({ { bucket, 30 } }, start + 61s);
    EXPECT_GT(shares.fractionOf(bucket, 100), 0.5);
}

TEST(DemandShares, DemandOfUnresponsiveHostIsRetainedForAWhile)
{
    auto shares = DemandShares({ .evenFraction = 0 }, ipOf(0));
    shares.announce({ { bucket, 30 } }, start);
    shares.recordHostReport(ipOf(1), { { { bucket, 30 } } }, start + 500ms);
    for (auto at = start + 600ms; at < start + 60s; at += 300ms) {
        shares.removeExpired(at);
        shares.announce({ { bucket, 60 } }, at);
    }
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 0.5) << "the unresponsive host does not know of the increase";
    shares.removeExpired(start + 61s);
    shares.announce({ { bucket, 60 } }, start + 61s);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 1);
}

TEST(DemandShares, HostThatAnnouncesItsEndDelaysNothing)
{
    auto shares = DemandShares({ .evenFraction = 0 }, ipOf(0));
    shares.recordHostReport(ipOf(1), { { { bucket, 30 } } }, start);
    shares.removeHost(ipOf(1));
    shares.announce({ { bucket, 60 } }, start + 1s);
    EXPECT_DOUBLE_EQ(shares.fractionOf(bucket, 100), 1);
}

} // namespace
} // namespace citronloft
