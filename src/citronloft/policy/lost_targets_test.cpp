#include "citronloft/policy/lost_targets.hpp"

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };
const auto first = LostTarget { "a", { "127.0.0.1", 1 } };
const auto second = LostTarget { "b", { "127.0.0.1", 2 } };

/// @return the number of probes until 3 s after the start, with a tick every 20 ms.
auto countProbes(LostTargets& targets) -> std::size_t
{
    auto count = std::size_t { 0 };
    for (auto now = start; now < start + 3s; now += 20ms)
        count += targets.takeDueProbes(now).size();
    return count;
}

TEST(LostTargetsTest, EachTargetIsProbedTwiceAfterALoss)
{
    auto targets = LostTargets {};
    targets.recordLoss(first, start);
    targets.recordLoss(second, start);
    EXPECT_TRUE(targets.takeDueProbes(start).empty());
    const auto due = targets.takeDueProbes(start + 50ms);
    ASSERT_EQ(due.size(), 2U);
    EXPECT_EQ(due[0].key, "a");
    EXPECT_EQ(due[1].address, second.address);
    EXPECT_EQ(countProbes(targets), 2U);
}

/// Guards against a target that loses requests all the time and is never probed, or with each of them.
TEST(LostTargetsTest, LossesInSeriesShareProbes)
{
    auto targets = LostTargets {};
    auto probes = std::size_t { 0 };
    for (auto now = start; now < start + 1s; now += 5ms) {
        targets.recordLoss(first, now);
        probes += targets.takeDueProbes(now).size();
    }
    EXPECT_GE(probes, 10U);
    EXPECT_LE(probes, 25U);
}

TEST(LostTargetsTest, TargetWhoseEndIsKnownIsNotProbed)
{
    auto targets = LostTargets {};
    targets.recordLoss(first, start);
    targets.recordEnd("a");
    EXPECT_EQ(countProbes(targets), 0U);
}

} // namespace
} // namespace citronloft
