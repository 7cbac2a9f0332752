#include <gtest/gtest.h>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class TargetPoolTest : public testing::Test {
protected:
    auto setTargets(std::size_t count, std::size_t draining = 99) -> void
    {
        auto targets = std::vector<Target> {};
        for (auto i = std::size_t { 0 }; i < count; ++i)
            targets.push_back({ "t" + std::to_string(i), "z", 10, 100, i == draining });
        this->pool.setTargets(targets, this->now);
    }

    /// Runs requests whose results the callback determines, and returns the number of requests per target.
    auto run(int count, const std::function<TargetResult(const std::string&)>& judge) -> std::map<std::string, int>
    {
        auto runs = std::map<std::string, int> {};
        for (auto i = 0; i < count; ++i) {
            this->now += 10ms;
            const auto target = this->pool.acquire({}, this->now);
            if (!target)
                continue;
            ++runs[*target];
            this->pool.release(*target, judge(*target), 5ms, this->now);
        }
        return runs;
    }

    auto stateOf(const std::string& address) -> TargetState
    {
        for (const auto& view : this->pool.views(this->now)) {
            if (view.address == address)
                return view.state;
        }
        return TargetState::Draining;
    }

    TimePoint now { 1h };
    TargetPool pool { {}, 42 };
};

TEST_F(TargetPoolTest, DrainingTargetReceivesNoRequests)
{
    this->setTargets(3, 1);
    const auto runs = this->run(300, [](const auto&) { return TargetResult::Answered; });
    EXPECT_FALSE(runs.contains("t1"));
    EXPECT_EQ(runs.size(), 2U);
}

TEST_F(TargetPoolTest, TargetsOwnDrainReportIsApplied)
{
    this->setTargets(2);
    this->pool.report("t0", { 0, true }, this->now);
    EXPECT_EQ(this->run(50, [](const auto&) { return TargetResult::Answered; }).size(), 1U);
    this->pool.report("t0", { 0, false }, this->now);
    EXPECT_EQ(this->run(50, [](const auto&) { return TargetResult::Answered; }).size(), 2U);
}

TEST_F(TargetPoolTest, FailingTargetThatReportsHealthIsEjected)
{
    this->setTargets(4);
    const auto judge
        = [](const auto& target) { return target == "t0" ? TargetResult::Failed : TargetResult::Answered; };
    this->run(100, judge);
    EXPECT_EQ(this->stateOf("t0"), TargetState::Ejected);
    this->pool.recordProbe("t0", true, this->now);
    this->pool.report("t0", { 0, false }, this->now);
    EXPECT_EQ(this->stateOf("t0"), TargetState::Ejected);
    EXPECT_FALSE(this->run(50, judge).contains("t0"));
}

TEST_F(TargetPoolTest, EjectionLeavesTheMinimumFractionInUse)
{
    this->setTargets(4);
    this->run(400, [](const auto&) { return TargetResult::Failed; });
    auto usable = 0;
    for (const auto& view : this->pool.views(this->now))
        usable += view.state != TargetState::Ejected ? 1 : 0;
    EXPECT_EQ(usable, 2);
}

/// Guards against targets that stay out of use after a cut of this host's path to all of them.
TEST_F(TargetPoolTest, RevokedEjectionsLeaveTargetsAsTheyWere)
{
    this->setTargets(4);
    const auto failsAtFirst
        = [](const auto& target) { return target == "t0" ? TargetResult::Failed : TargetResult::Answered; };
    this->run(1000, failsAtFirst);
    ASSERT_EQ(this->stateOf("t0"), TargetState::Ejected);
    const auto cutAt = this->now;
    const auto healthy = this->pool.totalSlots(this->now);
    this->run(1, [](const auto&) { return TargetResult::Unreachable; });
    ASSERT_LT(this->pool.totalSlots(this->now), healthy);
    this->pool.revokeEjections(cutAt);
    EXPECT_EQ(this->stateOf("t0"), TargetState::Ejected) << "ejected before the cut";
    const auto runs = this->run(100, [](const auto&) { return TargetResult::Answered; });
    EXPECT_EQ(runs.size(), 3U);
    EXPECT_EQ(this->pool.totalSlots(this->now), healthy);
}

TEST_F(TargetPoolTest, RevokedFailuresDoNotCountTowardsNextEjection)
{
    this->setTargets(2);
    const auto cutAt = this->now;
    this->run(4, [](const auto&) { return TargetResult::Failed; });
    this->pool.revokeEjections(cutAt);
    const auto runs = this->run(2, [](const auto&) { return TargetResult::Failed; });
    for (const auto& [target, count] : runs)
        EXPECT_NE(this->stateOf(target), TargetState::Ejected);
}

TEST_F(TargetPoolTest, SheddingTargetThatReportsNoLoadIsAvoided)
{
    this->setTargets(2);
    this->run(2000, [](const auto&) { return TargetResult::Answered; });
    const auto runs = this->run(200, [&](const auto& target) {
        this->pool.report("t0", { 0, false }, this->now);
        return target == "t0" ? TargetResult::Shed : TargetResult::Answered;
    });
    EXPECT_LT(runs.contains("t0") ? runs.at("t0") : 0, 70);
}

TEST_F(TargetPoolTest, NewTargetRampsUp)
{
    this->setTargets(1);
    EXPECT_EQ(this->pool.totalSlots(this->now), 1U);
    this->run(10, [](const auto&) { return TargetResult::Answered; });
    EXPECT_LT(this->pool.totalSlots(this->now), 10U);
    this->run(1000, [](const auto&) { return TargetResult::Answered; });
    EXPECT_EQ(this->pool.totalSlots(this->now), 10U);
}

TEST_F(TargetPoolTest, ConnectionLimitFollowsTheHostsFraction)
{
    this->setTargets(1);
    this->pool.setHostFraction(0.25);
    EXPECT_EQ(this->pool.connectionLimit("t0"), 25U);
}

} // namespace
} // namespace citronloft
