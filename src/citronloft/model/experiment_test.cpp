#include <gtest/gtest.h>

#include "citronloft/model/experiment.hpp"

namespace citronloft {
namespace {

constexpr auto seeds = std::uint64_t { 2 };

/// Mean earned fraction over the seeds.
auto earned(const LoadPattern& pattern, const Strategy& strategy) -> double
{
    auto sum = 0.0;
    for (auto seed = std::uint64_t { 1 }; seed <= seeds; ++seed)
        sum += runExperiment(pattern, strategy, seed).all.earned();
    return sum / seeds;
}

TEST(Experiment, SameSeedSameResult)
{
    const auto& pattern = *findLoadPattern("surge");
    const auto first = runExperiment(pattern, *findStrategy("product"), 5);
    const auto second = runExperiment(pattern, *findStrategy("product"), 5);
    EXPECT_EQ(first.all.asked, second.all.asked);
    EXPECT_EQ(first.all.inObjective, second.all.inObjective);
    EXPECT_EQ(first.all.latenciesMs, second.all.latenciesMs);
}

TEST(Experiment, StrategiesMeetTheSameArrivals)
{
    const auto& pattern = *findLoadPattern("surge");
    const auto product = runExperiment(pattern, *findStrategy("product"), 3);
    const auto fifo = runExperiment(pattern, *findStrategy("fifo"), 3);
    EXPECT_EQ(product.all.asked, fifo.all.asked);
    EXPECT_EQ(product.all.worthAsked, fifo.all.worthAsked);
    EXPECT_EQ(product.byKind.at("pay").asked, fifo.byKind.at("pay").asked);
}

TEST(Experiment, EveryCallerIsCountedOnce)
{
    const auto result = runExperiment(*findLoadPattern("insistent"), *findStrategy("product"), 1);
    const auto& all = result.all;
    EXPECT_EQ(all.asked, all.inObjective + all.late + all.refused + all.failed);
    auto sum = std::uint64_t { 0 };
    for (const auto& [second, tally] : result.bySecond)
        sum += tally.asked;
    EXPECT_EQ(sum, all.asked);
}

/// A design decision of the product, the baseline that it replaced, and the load pattern that it addresses.
struct DecisionCase {
    std::string pattern;
    std::string baseline;
    /// Minimum margin of the product over the baseline: half the margin at the time of the decision.
    double margin = 0;
};

class DecisionTest : public testing::TestWithParam<DecisionCase> { };

TEST_P(DecisionTest, EarnsMoreThanItsBaseline)
{
    const auto& param = GetParam();
    const auto& pattern = *findLoadPattern(param.pattern);
    const auto product = earned(pattern, *findStrategy("product"));
    const auto baseline = earned(pattern, *findStrategy(param.baseline));
    std::cout << param.pattern << ": product " << product << ", " << param.baseline << " " << baseline << "\n";
    EXPECT_GE(product, baseline + param.margin);
}

INSTANTIATE_TEST_SUITE_P(Loads, DecisionTest,
    testing::Values(DecisionCase { "steady", "two-choices", 0.3 }, DecisionCase { "surge", "pass-any", 0.025 },
        DecisionCase { "hot-object", "one-target", 0.08 }, DecisionCase { "uneven-zones", "own-zone", 0.2 },
        DecisionCase { "lost-targets", "pass-any", 0.045 }, DecisionCase { "slow-targets", "no-notices", 0.0 }),
    [](const auto& info) {
        auto name = info.param.pattern + "_" + info.param.baseline;
        std::ranges::replace(name, '-', '_');
        return name;
    });

} // namespace
} // namespace citronloft
