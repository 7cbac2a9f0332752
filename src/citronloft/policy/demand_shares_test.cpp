#include <gtest/gtest.h>

#include "citronloft/policy/demand_shares.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };
constexpr auto bucket = std::uint64_t { 7 };

auto ipOf(int host) -> std::string { return "10.0.0." + std::to_string(host); }

/// Parts of hosts that have heard each other's demands.
auto partsOf(const std::vector<float>& demands, double rate) -> std::vector<double>
{
    auto parts = std::vector<double> {};
    for (auto self = 0; self < static_cast<int>(demands.size()); ++self) {
        auto shares = DemandShares({}, ipOf(self));
        for (auto other = 0; other < static_cast<int>(demands.size()); ++other)
            shares.noteDemands(ipOf(other), { { bucket, demands[other] } }, start);
        parts.push_back(shares.partOf(bucket, rate, demands[self]));
    }
    return parts;
}

TEST(DemandShares, PartsSumToOneAndFollowDemand)
{
    const auto parts = partsOf({ 50, 10, 0, 0 }, 100);
    EXPECT_NEAR(parts[0] + parts[1] + parts[2] + parts[3], 1, 1e-6);
    EXPECT_GT(parts[0], 0.6);
    EXPECT_GT(parts[2], 0);
}

TEST(DemandShares, DemandBelowTheRateIsMetOnEveryHost)
{
    const auto demands = std::vector<float> { 50, 5, 5, 1 };
    const auto parts = partsOf(demands, 100);
    for (auto i = std::size_t { 0 }; i < demands.size(); ++i)
        EXPECT_GT(parts[i] * 100, demands[i]) << i;
}

TEST(DemandShares, FleetThatHasJustStartedDividesEvenly)
{
    auto shares = DemandShares({}, ipOf(0));
    for (auto host = 0; host < 4; ++host)
        shares.noteHost(ipOf(host), start);
    EXPECT_DOUBLE_EQ(shares.partOf(bucket, 100, 0), 0.25);
}

TEST(DemandShares, OtherZonesCountByTheirSums)
{
    auto shares = DemandShares({ .evenPart = 0 }, ipOf(0));
    shares.noteDemands(ipOf(1), { { bucket, 10 } }, start);
    shares.noteZone("other", 5, { { bucket, 60 } }, start);
    EXPECT_EQ(shares.hosts(), 7U);
    EXPECT_DOUBLE_EQ(shares.partOf(bucket, 100, 30), 0.3);
    EXPECT_EQ(shares.zoneDemands({ { bucket, 30 } }), (std::vector<BucketDemand> { { bucket, 40 } }));
}

TEST(DemandShares, SilentHostsKeepTheirPartForAWhile)
{
    auto shares = DemandShares({}, ipOf(0));
    shares.noteDemands(ipOf(1), { { bucket, 30 } }, start);
    shares.forgetSilent(start + 50s);
    EXPECT_LT(shares.partOf(bucket, 100, 30), 0.6);
    shares.forgetSilent(start + 70s);
    EXPECT_DOUBLE_EQ(shares.partOf(bucket, 100, 30), 1);
}

} // namespace
} // namespace citronloft
