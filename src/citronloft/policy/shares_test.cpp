#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "citronloft/policy/shares.hpp"

namespace citronloft {
namespace {

RC_GTEST_PROP(Shares, PartsSumToTheTotal, (std::uint32_t total, std::vector<std::uint16_t> raw))
{
    const auto weights = std::vector<std::uint32_t>(raw.begin(), raw.end());
    const auto parts = divideByWeights(total, weights);
    const auto hasWeight = std::accumulate(weights.begin(), weights.end(), 0ULL) > 0;
    RC_ASSERT(std::accumulate(parts.begin(), parts.end(), 0ULL) == (hasWeight ? total : 0ULL));
    for (auto i = std::size_t { 0 }; i < parts.size(); ++i)
        RC_ASSERT(weights[i] > 0 || parts[i] == 0);
}

RC_GTEST_PROP(
    Shares, SlotsOfAllZonesNeverExceedTheBucket, (std::uint16_t rate, std::uint16_t burst, std::uint8_t zones))
{
    const auto parts = std::vector<std::uint32_t>(1 + zones % 20, 1);
    auto sum = BucketShare {};
    auto units = 0U;
    for (auto zone = std::size_t { 0 }; zone < parts.size(); ++zone) {
        const auto spec = makeBucketSpec("team/x", rate / 7.0, 1 + burst / 3.0, parts, zone);
        const auto all = SlotRange { 1, 0, slotsPerZone };
        const auto share = shareOfSlots(spec, { &all, 1 });
        sum.microTokensPerSecond += share.microTokensPerSecond;
        sum.capMicroTokens += share.capMicroTokens;
        for (auto slot = 0U; slot < slotsPerZone; ++slot)
            units += unitsOfSlot(spec, slot);
        RC_ASSERT(sum.microTokensPerSecond <= spec.fleetShare.microTokensPerSecond);
        RC_ASSERT(sum.capMicroTokens <= spec.fleetShare.capMicroTokens);
    }
    RC_ASSERT(units == makeBucketSpec("team/x", rate / 7.0, 1 + burst / 3.0, parts, 0).units);
}

TEST(Shares, UnitsOfSmallBucketHoldCompleteTokens)
{
    const auto parts = std::vector<std::uint32_t>(6, 1);
    auto owners = 0;
    for (auto zone = std::size_t { 0 }; zone < parts.size(); ++zone) {
        const auto spec = makeBucketSpec("team/small", 2, 2, parts, zone);
        const auto all = SlotRange { 1, 0, slotsPerZone };
        const auto share = shareOfSlots(spec, { &all, 1 });
        EXPECT_EQ(share.capMicroTokens % microTokensPerToken, 0);
        owners += share.capMicroTokens > 0 ? 1 : 0;
    }
    EXPECT_EQ(owners, 2);
}

} // namespace
} // namespace citronloft
