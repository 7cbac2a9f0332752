#include <gtest/gtest.h>

#include "citronloft/policy/zone_shares.hpp"

namespace citronloft {
namespace {

auto sumOf(const std::map<std::string, double>& shares) -> double
{
    auto sum = 0.0;
    for (const auto& [zone, share] : shares)
        sum += share;
    return sum;
}

/// Six zones in three regions; most of the targets are in two of the regions.
auto unevenZones() -> std::vector<ZoneCapacity>
{
    return { { "n1", "north", 9 }, { "n2", "north", 9 }, { "m1", "middle", 36 }, { "m2", "middle", 36 },
        { "s1", "south", 45 }, { "s2", "south", 45 } };
}

TEST(ZoneShares, EvenZonesKeepTheirRequests)
{
    const auto zones = std::vector<ZoneCapacity> { { "a", "r", 10 }, { "b", "r", 10 }, { "c", "q", 10 } };
    EXPECT_DOUBLE_EQ(shareAmongZones(zones, "a").at("a"), 1.0);
}

TEST(ZoneShares, ZoneWithFewTargetsSendsTheRestToZonesWithSpareTargets)
{
    const auto shares = shareAmongZones(unevenZones(), "n1", { .headroom = 1.3 });
    EXPECT_NEAR(shares.at("n1"), 0.39, 0.01);
    EXPECT_DOUBLE_EQ(shares.contains("n2") ? shares.at("n2") : 0, 0);
    EXPECT_GT(shares.at("s1"), shares.at("m1"));
    EXPECT_NEAR(sumOf(shares), 1, 1e-9);
}

TEST(ZoneShares, NoZoneIsPlannedAboveItsHeadroom)
{
    auto planned = std::map<std::string, double> {};
    for (const auto& zone : unevenZones()) {
        for (const auto& [to, share] : shareAmongZones(unevenZones(), zone.zone))
            planned[to] += share;
    }
    for (const auto& zone : unevenZones())
        EXPECT_LE(planned[zone.zone], zone.slots / 180 * 6 * 1.3 + 1e-9) << zone.zone;
}

TEST(ZoneShares, ZoneWithoutTargetsIsServedByItsRegionFirst)
{
    const auto zones = std::vector<ZoneCapacity> { { "a", "r", 0 }, { "b", "r", 30 }, { "c", "q", 30 } };
    const auto shares = shareAmongZones(zones, "a", { .headroom = 1.3 });
    EXPECT_GT(shares.at("b"), shares.at("c") - 0.1);
    EXPECT_NEAR(sumOf(shares), 1, 1e-9);
    EXPECT_TRUE(shareAmongZones({ { "a", "r", 0 } }, "a").empty());
}

} // namespace
} // namespace citronloft
