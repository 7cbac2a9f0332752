#include <gtest/gtest.h>

#include <map>
#include <set>

#include "citronloft/policy/target_pool.hpp"
#include "citronloft/policy/target_weights.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

/// Six zones in three regions, of which the first has few targets. Objects are requested evenly from all zones.
class TargetWeightsTest : public testing::Test {
protected:
    struct ZoneTargets {
        Zone zone;
        int count = 0;
    };

    /// First targets by zone of the caller and object.
    using FirstTargets = std::map<std::pair<std::string, std::uint64_t>, std::string>;

    static constexpr auto slots = 4U;
    static constexpr auto objects = std::uint64_t { 300 };

    [[nodiscard]] auto zones() const -> std::vector<Zone>
    {
        auto list = std::vector<Zone> {};
        for (const auto& item : this->layout)
            list.push_back(item.zone);
        return list;
    }

    [[nodiscard]] auto targetsSeenFrom(const std::string& zone) const -> std::vector<LiveTarget>
    {
        auto targets = std::vector<LiveTarget> {};
        for (const auto& item : this->layout) {
            for (auto number = 0; number < item.count; ++number) {
                auto live = LiveTarget {};
                live.instance = item.zone.name + "-" + std::to_string(number);
                live.startedAtMs = 1;
                live.region = item.zone.region;
                live.target = { live.instance + ":80", item.zone.name, slots, 100, false };
                live.evacuated = this->evacuated.contains(item.zone.name);
                targets.push_back(live);
            }
        }
        assignTargetWeights(targets, this->zones(), zone);
        return targets;
    }

    /// @return the first target of each object for the callers of each zone.
    auto placeAll(Placement placement) -> FirstTargets
    {
        auto placed = FirstTargets {};
        for (const auto& item : this->layout) {
            auto pool = TargetPool(discoveredPoolOption(), 42);
            pool.setLiveTargets(this->targetsSeenFrom(item.zone.name), this->now);
            for (auto object = std::uint64_t { 0 }; object < objects; ++object) {
                auto requirements = TargetRequirements { {}, object, this->regions, placement };
                const auto target = *pool.acquireFor(requirements, this->now + 10ms);
                pool.release(target, TargetResult::Answered, 5ms, this->now + 10ms);
                placed[{ item.zone.name, object }] = target;
            }
        }
        return placed;
    }

    /// @return fraction of the pairs of zone and object whose first target differs.
    static auto movedFraction(const FirstTargets& before, const FirstTargets& after) -> double
    {
        auto moved = 0;
        for (const auto& [caller, target] : before)
            moved += after.at(caller) == target ? 0 : 1;
        return static_cast<double>(moved) / static_cast<double>(before.size());
    }

    auto targetCount() const -> double
    {
        auto sum = 0;
        for (const auto& item : this->layout)
            sum += item.count;
        return sum;
    }

    TimePoint now { 1h };
    std::vector<ZoneTargets> layout { { { "n1", "north", 1, false }, 8 }, { { "n2", "north", 1, false }, 8 },
        { { "m1", "middle", 1, false }, 32 }, { { "m2", "middle", 1, false }, 32 }, { { "s1", "south", 1, false }, 38 },
        { { "s2", "south", 1, false }, 38 } };
    std::set<std::string> evacuated;
    std::vector<std::string> regions;
};

/// Guards against objects that become known at a separate target for each zone: after a start, most requests would
/// then run at targets that have not handled their object.
TEST_F(TargetWeightsTest, FleetPlacementGivesAnObjectOneFirstTarget)
{
    auto targetsOf = std::map<std::uint64_t, std::set<std::string>> {};
    for (const auto& [caller, target] : this->placeAll(Placement::Fleet))
        targetsOf[caller.second].insert(target);
    for (const auto& [object, targets] : targetsOf)
        EXPECT_EQ(targets.size(), 1U) << object;
}

TEST_F(TargetWeightsTest, FleetPlacementFollowsTheTargetsSlots)
{
    auto pool = TargetPool(discoveredPoolOption(), 42);
    auto targets = this->targetsSeenFrom("n1");
    targets.front().target.slots = slots * 8;
    assignTargetWeights(targets, this->zones(), "n1");
    const auto large = targets.front().key();
    pool.setLiveTargets(targets, this->now);
    auto count = 0;
    constexpr auto samples = 40'000;
    for (auto object = std::uint64_t { 0 }; object < samples; ++object) {
        const auto target = *pool.acquireFor({ {}, object, {}, Placement::Fleet }, this->now + 10ms);
        pool.release(target, TargetResult::Answered, 5ms, this->now + 10ms);
        count += target == large ? 1 : 0;
    }
    const auto expected = samples * 8 / (this->targetCount() + 7);
    EXPECT_NEAR(count, expected, expected * 0.1);
}

/// Guards against moves between targets that have not changed. With Placement::Zone a new target changes the shares of
/// all zones; the least that can move is the new targets' part.
TEST_F(TargetWeightsTest, NewTargetsMoveOnlyTheirPartWithFleetPlacement)
{
    const auto zoneBefore = this->placeAll(Placement::Zone);
    const auto fleetBefore = this->placeAll(Placement::Fleet);
    const auto countBefore = this->targetCount();
    this->layout[4].count += 24;
    const auto added = 1 - countBefore / this->targetCount();
    const auto zoneMoved = movedFraction(zoneBefore, this->placeAll(Placement::Zone));
    const auto fleetAfter = this->placeAll(Placement::Fleet);
    std::cout << "added " << added << ", moved with zone placement " << zoneMoved << ", with fleet placement "
              << movedFraction(fleetBefore, fleetAfter) << "\n";
    EXPECT_NEAR(movedFraction(fleetBefore, fleetAfter), added, 0.05);
    for (const auto& [caller, target] : fleetBefore) {
        const auto& after = fleetAfter.at(caller);
        EXPECT_TRUE(after == target || after.starts_with("s1-")) << after;
    }
}

TEST_F(TargetWeightsTest, RemovedTargetsMoveOnlyTheirObjectsWithFleetPlacement)
{
    const auto zoneBefore = this->placeAll(Placement::Zone);
    const auto fleetBefore = this->placeAll(Placement::Fleet);
    const auto countBefore = this->targetCount();
    for (auto& item : this->layout)
        item.count -= item.count / 8;
    const auto removed = 1 - this->targetCount() / countBefore;
    const auto zoneMoved = movedFraction(zoneBefore, this->placeAll(Placement::Zone));
    const auto fleetAfter = this->placeAll(Placement::Fleet);
    std::cout << "removed " << removed << ", moved with zone placement " << zoneMoved << ", with fleet placement "
              << movedFraction(fleetBefore, fleetAfter) << "\n";
    EXPECT_NEAR(movedFraction(fleetBefore, fleetAfter), removed, 0.05);
}

TEST_F(TargetWeightsTest, EvacuatedZoneLosesItsObjectsAndNoOthersMove)
{
    const auto before = this->placeAll(Placement::Fleet);
    this->evacuated = { "m1" };
    for (const auto& [caller, target] : this->placeAll(Placement::Fleet)) {
        EXPECT_FALSE(target.starts_with("m1-"));
        EXPECT_TRUE(before.at(caller) == target || before.at(caller).starts_with("m1-"));
    }
}

TEST_F(TargetWeightsTest, HomeRegionsComeBeforePlacement)
{
    this->regions = { "north" };
    for (const auto& [caller, target] : this->placeAll(Placement::Fleet))
        EXPECT_TRUE(target.starts_with("n")) << target;
}

/// Guards against deployments that are placed fleet-wide although their configuration does not call for it.
TEST_F(TargetWeightsTest, FleetPlacementNeedsAConfigurationThatMarksLargeBodies)
{
    auto small = Route {};
    small.objective = 400ms;
    auto large = small;
    large.hasLargeBodies = true;
    auto urgent = small;
    urgent.objective = 250ms;
    auto config = Config {};
    config.routes = { small, urgent };
    EXPECT_FALSE(statesLargeBodies(config));
    config.routes.push_back(large);
    EXPECT_TRUE(statesLargeBodies(config));
    EXPECT_EQ(placementOf(small, true, Placement::Fleet), Placement::Fleet);
    EXPECT_EQ(placementOf(small, false, Placement::Fleet), Placement::Zone);
    EXPECT_EQ(placementOf(large, true, Placement::Fleet), Placement::Zone);
    EXPECT_EQ(placementOf(urgent, true, Placement::Fleet), Placement::Zone);
    EXPECT_EQ(placementOf(small, true, Placement::Zone), Placement::Zone);
}

TEST_F(TargetWeightsTest, NamesOfPlacementsAreParsed)
{
    for (const auto placement : { Placement::Zone, Placement::Fleet })
        EXPECT_EQ(parsePlacement(placementName(placement)), placement);
    EXPECT_EQ(parsePlacement("other"), Placement::Zone);
}

} // namespace
} // namespace citronloft
