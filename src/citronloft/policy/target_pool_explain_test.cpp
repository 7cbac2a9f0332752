#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "citronloft/policy/target_pool.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class TargetPoolExplainTest : public testing::Test {
protected:
    static auto live(int number) -> LiveTarget
    {
        auto target = LiveTarget {};
        target.instance = "i-" + std::to_string(number);
        target.startedAtMs = 1;
        target.region = number % 2 == 0 ? "north" : "south";
        target.target = { "10.0.0." + std::to_string(number) + ":80", "z", 2, 100, false };
        return target;
    }

    static auto keyOf(int number) -> std::string { return live(number).key(); }

    auto setTargets(int count) -> void
    {
        this->targets.clear();
        for (auto i = 0; i < count; ++i)
            this->targets.push_back(live(i));
        this->applyTargets();
    }

    auto applyTargets() -> void
    {
        this->pool.setLiveTargets(this->targets, this->now);
        this->now += 10ms;
    }

    [[nodiscard]] auto explain(const TargetRequirements& requirements) const -> TargetChoice
    {
        return this->pool.explain(requirements, TargetOrder::RandomByWeight, this->now);
    }

    [[nodiscard]] auto reasonsOf(const TargetRequirements& requirements) const -> std::map<std::string, SkipReason>
    {
        auto reasons = std::map<std::string, SkipReason> {};
        for (const auto& target : this->explain(requirements).targets)
            reasons[target.key] = target.skipped;
        return reasons;
    }

    TimePoint now { 1h };
    std::vector<LiveTarget> targets;
    TargetPool pool { discoveredPoolOption(), 42 };
};

/// Guards against an explanation that differs from the choice, from the first request until the pool is full.
TEST_F(TargetPoolExplainTest, NamesTheTargetThatTheNextRequestGets)
{
    this->setTargets(9);
    auto refused = 0;
    for (auto request = 0; request < 300; ++request) {
        const auto object = static_cast<std::uint64_t>(request % 7);
        const auto requirements = TargetRequirements { { keyOf(request % 9) }, object, {} };
        const auto choice = this->explain(requirements);
        const auto actual = this->pool.acquireFor(requirements, this->now);
        EXPECT_EQ(choice.chosen, actual.value_or("")) << request;
        EXPECT_EQ(choice.isSent(), actual.has_value()) << request;
        refused += actual ? 0 : 1;
        if (request % 3 == 0 && actual)
            this->pool.release(*actual, TargetResult::Answered, 5ms, this->now);
        this->now += 1ms;
    }
    EXPECT_GT(refused, 0);
}

/// Guards against an explanation that takes a slot, a token or a random number, or ends an ejection.
TEST_F(TargetPoolExplainTest, ChangesNoLaterChoice)
{
    auto other = TargetPool { discoveredPoolOption(), 42 };
    this->setTargets(6);
    this->targets[1].coldUntil = this->now + 1h;
    this->targets[1].coldRate = 50;
    this->pool.setLiveTargets(this->targets, this->now);
    other.setLiveTargets(this->targets, this->now);
    for (auto* one : { &this->pool, &other }) {
        one->release(keyOf(2), TargetResult::Unreachable, {}, this->now);
        one->recordRateLimit(keyOf(3), 20, this->now, this->now);
    }
    for (auto request = 0; request < 400; ++request) {
        auto requirements = TargetRequirements {};
        if (request % 2 == 0)
            requirements.object = static_cast<std::uint64_t>(request);
        for (auto i = 0; i < 3; ++i)
            static_cast<void>(this->explain(requirements));
        const auto left = this->pool.acquireFor(requirements, this->now);
        const auto right = other.acquireFor(requirements, this->now);
        ASSERT_EQ(left, right) << request;
        if (left) {
            this->pool.release(*left, TargetResult::Answered, 5ms, this->now);
            other.release(*right, TargetResult::Answered, 5ms, this->now);
        }
        this->now += 10ms;
    }
}

TEST_F(TargetPoolExplainTest, EverySkippedTargetHasItsReason)
{
    this->setTargets(10);
    this->targets[0].evacuated = true;
    this->targets[2].target.draining = true;
    this->targets[4].coldUntil = this->now + 1h;
    this->targets[4].coldRate = 1;
    this->applyTargets();
    this->pool.release(keyOf(6), TargetResult::Unreachable, {}, this->now);
    this->pool.recordPause(keyOf(8), this->now + 1s, this->now);
    this->pool.recordLeaving(keyOf(1), this->now);
    this->pool.release(keyOf(3), TargetResult::Misdirected, {}, this->now);
    this->pool.recordRateLimit(keyOf(5), 1, this->now, this->now);
    const auto reasons = this->reasonsOf({ { keyOf(7) }, 1, {} });
    const auto expected = std::map<std::string, SkipReason> { { keyOf(0), SkipReason::Evacuated },
        { keyOf(1), SkipReason::Leaving }, { keyOf(2), SkipReason::Draining }, { keyOf(3), SkipReason::Misdirected },
        { keyOf(4), SkipReason::Cold }, { keyOf(5), SkipReason::RateLimited }, { keyOf(6), SkipReason::Ejected },
        { keyOf(7), SkipReason::Avoided }, { keyOf(8), SkipReason::Paused }, { keyOf(9), SkipReason::None } };
    EXPECT_EQ(reasons, expected);
    EXPECT_EQ(this->reasonsOf({ {}, 1, { "north" } }).at(keyOf(9)), SkipReason::RegionNotAllowed);
}

TEST_F(TargetPoolExplainTest, FullTargetsAreNamedAndTheRequestIsNotSent)
{
    this->setTargets(3);
    while (this->pool.acquireFor({ {}, 1, {} }, this->now)) { }
    const auto choice = this->explain({ {}, 1, {} });
    EXPECT_FALSE(choice.isSent());
    EXPECT_TRUE(choice.hasUsableTarget);
    for (const auto& target : choice.targets)
        EXPECT_EQ(target.skipped, SkipReason::Full) << target.key;
}

TEST_F(TargetPoolExplainTest, RequestWithoutObjectHasCandidates)
{
    this->setTargets(3);
    for (const auto order : { TargetOrder::RandomByWeight, TargetOrder::LessLoadedOfTwo }) {
        const auto choice = this->pool.explain({}, order, this->now);
        EXPECT_TRUE(choice.isRandom);
        EXPECT_TRUE(choice.isSent());
        EXPECT_TRUE(choice.chosen.empty());
        EXPECT_TRUE(std::ranges::all_of(
            choice.targets, [](const ExplainedTarget& target) { return target.skipped == SkipReason::None; }));
    }
}

TEST_F(TargetPoolExplainTest, PoolWithoutTargetsSendsNothing)
{
    const auto choice = this->explain({ {}, 1, {} });
    EXPECT_FALSE(choice.isSent());
    EXPECT_FALSE(choice.hasUsableTarget);
}

} // namespace
} // namespace citronloft
