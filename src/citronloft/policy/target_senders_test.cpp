#include <gtest/gtest.h>

#include "citronloft/policy/recent_maximum.hpp"
#include "citronloft/policy/target_senders.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

auto hostNames(int count) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    for (auto i = 0; i < count; ++i)
        names.push_back("10.1.0." + std::to_string(i));
    return names;
}

TEST(TargetSendersTest, FractionsOfAllHostsSumToTheUsedFraction)
{
    const auto hosts = hostNames(16);
    auto sum = 0.0;
    auto senderCount = 0;
    for (const auto& host : hosts) {
        const auto fraction = senderRateFraction("run-1", host, hosts);
        sum += fraction;
        senderCount += fraction > 0 ? 1 : 0;
    }
    EXPECT_EQ(senderCount, 3);
    EXPECT_NEAR(sum, 0.8, 1e-9);
}

TEST(TargetSendersTest, FewHostsSendNoMoreThanTheirFractions)
{
    EXPECT_NEAR(senderRateFraction("run-1", "10.1.0.0", hostNames(1)), 0.8 / 3, 1e-9);
    EXPECT_EQ(senderRateFraction("run-1", "10.2.0.0", hostNames(2)), 0);
}

TEST(RecentMaximumTest, MaximumExpiresAfterTwoPeriods)
{
    auto hosts = RecentMaximum(10min);
    const auto start = TimePoint {} + 1h;
    EXPECT_EQ(hosts.value(), 1U);
    hosts.record(48, start);
    hosts.record(12, start + 11min);
    EXPECT_EQ(hosts.value(), 48U);
    hosts.record(12, start + 22min);
    EXPECT_EQ(hosts.value(), 12U);
}

} // namespace
} // namespace citronloft
