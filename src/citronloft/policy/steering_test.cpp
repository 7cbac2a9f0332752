#include <gtest/gtest.h>
#include <pcg_random.hpp>
#include <rapidcheck/gtest.h>

#include "citronloft/policy/lookup_planner.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

RC_GTEST_PROP(BlockTable, FindsTheLongestPrefix, (std::uint64_t seed))
{
    auto random = pcg32(seed);
    auto entries = std::vector<BlockEntry> {};
    for (auto i = 0; i < 60; ++i) {
        const auto text = "10." + std::to_string(random(4)) + "." + std::to_string(random(4) * 64) + "."
            + std::to_string(random(4) * 64) + "/" + std::to_string(8 + random(25));
        const auto prefix = *parsePrefix(text);
        const auto isKnown = std::ranges::any_of(entries, [&](const auto& entry) { return entry.prefix == prefix; });
        if (!isKnown)
            entries.push_back({ prefix, static_cast<std::uint16_t>(i) });
    }
    const auto table = BlockTable(entries);
    for (auto i = 0; i < 200; ++i) {
        const auto ip = *parseIp(
            "10." + std::to_string(random(5)) + "." + std::to_string(random(256)) + "." + std::to_string(random(256)));
        const BlockEntry* longest = nullptr;
        for (const auto& entry : entries) {
            auto masked = Prefix { ip, entry.prefix.length };
            for (auto bit = unsigned { masked.length }; bit < 128; ++bit)
                masked.bits[bit / 8] &= static_cast<std::uint8_t>(~(0x80U >> (bit % 8)));
            if (masked == entry.prefix && (longest == nullptr || entry.prefix.length > longest->prefix.length))
                longest = &entry;
        }
        RC_ASSERT(table.find(ip) == (longest == nullptr ? std::nullopt : std::optional { longest->zone }));
    }
}

class LookupPlannerTest : public testing::Test {
protected:
    auto SetUp() -> void override
    {
        for (const auto* zone : { "a1", "a2", "b1", "b2" })
            this->config.zones.push_back({ zone, std::string(1, zone[0]), 1, false });
        for (auto i = 0; i < 4; ++i)
            this->config.blocks.push_back({ "10." + std::to_string(i) + ".0.0/16", this->config.zones[i].name });
        this->config.shifts.push_back({ "a", "b", 10, 10, 1e6, 30 });
        this->planner.setConfig(this->config, "a1");
    }

    /// Returns the fraction of the callers of block 10.`block`.0.0/16 that are sent to `zone`.
    auto fractionIn(int block, const std::string& zone) -> double
    {
        auto count = 0;
        constexpr auto callers = 2000;
        for (auto i = 0; i < callers; ++i) {
            const auto ip
                = "10." + std::to_string(block) + "." + std::to_string(i / 200) + "." + std::to_string(i % 200);
            count += this->planner.zoneFor(ip, this->isUp) == zone ? 1 : 0;
        }
        return count / static_cast<double>(callers);
    }

    auto run(Duration duration) -> void
    {
        for (auto t = Duration {}; t < duration; t += 100ms) {
            this->planner.tick(this->isUp, this->now);
            this->now += 100ms;
        }
    }

    Config config;
    LookupPlanner planner;
    TimePoint now { 1h };
    std::set<std::string> down;
    LookupPlanner::ZoneIsUp isUp = [this](const std::string& zone) { return !this->down.contains(zone); };
};

TEST_F(LookupPlannerTest, CallersGetTheirOwnZone)
{
    this->run(1s);
    for (auto block = 0; block < 4; ++block)
        EXPECT_EQ(this->fractionIn(block, this->config.zones[block].name), 1);
}

TEST_F(LookupPlannerTest, CallersOfDrainedZoneMoveInsideItsRegionFirst)
{
    this->config.zones[0].draining = true;
    this->planner.setConfig(this->config, "a1");
    this->run(1s);
    EXPECT_EQ(this->fractionIn(0, "a2"), 1);
}

TEST_F(LookupPlannerTest, CallersOfDrainedRegionMoveNoFasterThanItsLimit)
{
    this->config.zones[0].draining = true;
    this->config.zones[1].draining = true;
    this->planner.setConfig(this->config, "a1");
    this->run(60s);
    const auto moved = 1 - this->fractionIn(0, "a1");
    EXPECT_NEAR(moved, 0.30, 0.03);
    this->run(180s);
    EXPECT_EQ(this->fractionIn(0, "a1"), 0);
}

TEST_F(LookupPlannerTest, CallersOfUnreachableRegionMoveAtItsLimitAndOthersAreRefused)
{
    this->run(1s);
    this->down = { "a1", "a2" };
    this->run(60s);
    EXPECT_NEAR(this->fractionIn(0, "b1") + this->fractionIn(0, "b2"), 0.30, 0.03);
    EXPECT_EQ(this->fractionIn(0, "a1") + this->fractionIn(0, "a2"), 0);
}

TEST_F(LookupPlannerTest, RegionWithoutShiftLimitMovesNoCallers)
{
    this->config.zones[2].draining = true;
    this->config.zones[3].draining = true;
    this->planner.setConfig(this->config, "a1");
    this->run(300s);
    EXPECT_EQ(this->fractionIn(2, "b1"), 1);
}

TEST_F(LookupPlannerTest, NewConfigurationKeepsTheBoundary)
{
    this->config.zones[0].draining = true;
    this->config.zones[1].draining = true;
    this->planner.setConfig(this->config, "a1");
    this->run(60s);
    const auto before = this->fractionIn(0, "a1");
    this->config.teams.push_back({ "new", 1, 1, 1, {} });
    this->planner.setConfig(this->config, "a1");
    this->run(100ms);
    EXPECT_NEAR(this->fractionIn(0, "a1"), before, 0.01);
}

} // namespace
} // namespace citronloft
