#include <gtest/gtest.h>

#include <map>
#include <set>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class TargetAffinityTest : public testing::Test {
protected:
    static auto live(int number) -> LiveTarget
    {
        auto target = LiveTarget {};
        target.instance = "i-" + std::to_string(number);
        target.startedAtMs = 1;
        target.region = number % 2 == 0 ? "north" : "south";
        target.target = { "10.0.0." + std::to_string(number) + ":80", "z", 9, 100, false };
        return target;
    }

    auto setTargets(int count) -> void
    {
        auto targets = std::vector<LiveTarget> {};
        for (auto i = 0; i < count; ++i)
            targets.push_back(live(i));
        this->pool.setLiveTargets(targets, this->now);
        this->now += 10ms;
    }

    auto placeRequest(std::uint64_t object, std::vector<std::string> avoid = {}) -> std::optional<std::string>
    {
        return this->pool.acquireFor({ std::move(avoid), object, {} }, this->now);
    }

    TimePoint now { 1h };
    TargetPool pool { discoveredPoolOption(), 42 };
};

TEST_F(TargetAffinityTest, ObjectKeepsItsTargetWhenAnotherIsAdded)
{
    this->setTargets(10);
    auto before = std::map<std::uint64_t, std::string> {};
    for (auto object = std::uint64_t { 0 }; object < 100; ++object) {
        before[object] = *this->placeRequest(object);
        this->pool.release(before[object], TargetResult::Answered, 5ms, this->now);
    }
    this->setTargets(11);
    auto moved = 0;
    for (const auto& [object, target] : before) {
        const auto after = *this->placeRequest(object);
        this->pool.release(after, TargetResult::Answered, 5ms, this->now);
        moved += after == target ? 0 : 1;
        EXPECT_TRUE(after == target || after == "i-10@1");
    }
    EXPECT_LT(moved, 25);
}

TEST_F(TargetAffinityTest, HostsAgreeOnAnObjectsTarget)
{
    auto other = TargetPool(discoveredPoolOption(), 7);
    auto targets = std::vector<LiveTarget> {};
    for (auto i = 9; i >= 0; --i)
        targets.push_back(live(i));
    other.setLiveTargets(targets, this->now);
    this->setTargets(10);
    for (auto object = std::uint64_t { 0 }; object < 50; ++object)
        EXPECT_EQ(*this->placeRequest(object), *other.acquireFor({ {}, object, {} }, this->now));
}

TEST_F(TargetAffinityTest, BusyObjectUsesFewTargetsAndIsThenRefused)
{
    this->setTargets(10);
    auto used = std::map<std::string, int> {};
    const auto first = *this->placeRequest(5);
    ++used[first];
    while (const auto target = this->placeRequest(5))
        ++used[*target];
    // Each target has nine slots: the first one accepts up to 1.8 times as many requests, two others up to 0.7 times.
    EXPECT_EQ(used.size(), 3U);
    for (const auto& [target, count] : used)
        EXPECT_EQ(count, target == first ? 17 : 7) << target;
    EXPECT_TRUE(this->placeRequest(6));
}

/// Load pattern: demand exceeds the capacity of the targets. A request takes several times as long on a target that
/// does not hold its object, so moving it from one busy target to another adds load.
TEST_F(TargetAffinityTest, RequestsDoNotMoveToOtherBusyTargets)
{
    this->setTargets(10);
    // Every target has seven of its nine slots in use.
    auto count = std::map<std::string, int> {};
    for (auto object = std::uint64_t { 100 }; object < 10'000; ++object) {
        const auto target = *this->placeRequest(object);
        if (++count[target] > 7)
            this->pool.release(target, TargetResult::Answered, 5ms, this->now);
    }
    const auto first = *this->placeRequest(5);
    auto placed = 1;
    while (const auto target = this->placeRequest(5)) {
        EXPECT_EQ(*target, first);
        ++placed;
    }
    EXPECT_EQ(placed, 10) << "up to 1.8 times the number of slots";
}

TEST_F(TargetAffinityTest, WeightsDivideTheObjects)
{
    auto heavy = live(0);
    heavy.weight = 3;
    this->pool.setLiveTargets({ heavy, live(1) }, this->now);
    this->now += 10ms;
    auto count = 0;
    for (auto object = std::uint64_t { 0 }; object < 4000; ++object) {
        const auto target = *this->placeRequest(object);
        this->pool.release(target, TargetResult::Answered, 5ms, this->now);
        count += target == "i-0@1" ? 1 : 0;
    }
    EXPECT_NEAR(count / 4000.0, 0.75, 0.03);
}

TEST_F(TargetAffinityTest, NewIncarnationStartsWithNewState)
{
    this->setTargets(1);
    const auto old = *this->placeRequest(1);
    for (auto i = 0; i < 3; ++i)
        this->pool.release(old, TargetResult::Failed, 5ms, this->now);
    auto restarted = live(0);
    restarted.startedAtMs = 2;
    this->pool.setLiveTargets({ restarted }, this->now);
    EXPECT_EQ(this->pool.inFlight(), 0U);
    this->now += 10ms;
    EXPECT_EQ(*this->placeRequest(1), "i-0@2");
    this->pool.release(old, TargetResult::Answered, 5ms, this->now);
    EXPECT_EQ(this->pool.inFlight(), 1U);
}

TEST_F(TargetAffinityTest, MisdirectedAndEvacuatedTargetsReceiveNoRequests)
{
    this->setTargets(2);
    const auto first = *this->placeRequest(1);
    this->pool.release(first, TargetResult::Misdirected, 1ms, this->now);
    const auto second = *this->placeRequest(1);
    EXPECT_NE(first, second);
    auto targets = std::vector<LiveTarget> { live(0), live(1) };
    for (auto& target : targets)
        target.evacuated = true;
    this->pool.setLiveTargets(targets, this->now);
    EXPECT_FALSE(this->placeRequest(1));
}

TEST_F(TargetAffinityTest, RequestsStayInTheirRegions)
{
    this->setTargets(10);
    for (auto object = std::uint64_t { 0 }; object < 40; ++object) {
        const auto target = this->pool.acquireFor({ {}, object, { "north" } }, this->now);
        ASSERT_TRUE(target);
        EXPECT_EQ(this->pool.target(*target)->region, "north");
    }
    EXPECT_FALSE(this->pool.acquireFor({ {}, 1, { "west" } }, this->now));
}

TEST_F(TargetAffinityTest, ColdTargetReceivesThisHostsShareOfItsRate)
{
    auto cold = live(0);
    cold.coldUntil = this->now + 10s;
    cold.coldRate = 16;
    this->pool.setColdRateShare([](const LiveTarget& target) { return target.coldRate / 4; });
    this->pool.setLiveTargets({ cold }, this->now);
    auto taken = 0;
    for (auto i = 0; i < 500; ++i) {
        this->now += 10ms;
        const auto target = this->placeRequest(1);
        taken += target ? 1 : 0;
        if (target)
            this->pool.release(*target, TargetResult::Answered, 5ms, this->now);
    }
    EXPECT_NEAR(taken, 5 * 4, 2);
    this->now += 10s;
    EXPECT_TRUE(this->placeRequest(1) && this->placeRequest(1));
}

TEST_F(TargetAffinityTest, LoadOfTheZoneCountsAndExpires)
{
    this->setTargets(3);
    const auto primary = *this->placeRequest(1);
    const auto loads = this->pool.takeLoads();
    ASSERT_EQ(loads.size(), 1U);
    auto full = loads;
    full[0].inFlight = 14;
    this->pool.setZoneLoads(full, this->now);
    EXPECT_NE(*this->placeRequest(1), primary);
    this->now += 2s;
    EXPECT_EQ(*this->placeRequest(1), primary);
}

} // namespace
} // namespace citronloft
