#include "citronloft/policy/zone_loads.hpp"

#include <gmock/gmock.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::UnorderedElementsAre;

class ZoneLoadsTest : public testing::Test {
protected:
    TimePoint now { 100s };
    ZoneLoads loads { 1s };
};

TEST_F(ZoneLoadsTest, SumsAllHostsExceptTheReceiver)
{
    this->loads.record(1, { { 10, 2, TargetLoad::noReport }, { 11, 1, TargetLoad::noReport } }, this->now);
    this->loads.record(2, { { 10, 3, TargetLoad::noReport } }, this->now);
    EXPECT_THAT(this->loads.sumExcluding(1), UnorderedElementsAre(TargetLoad { 10, 3, TargetLoad::noReport }));
    EXPECT_THAT(this->loads.sumExcluding(3),
        UnorderedElementsAre(TargetLoad { 10, 5, TargetLoad::noReport }, TargetLoad { 11, 1, TargetLoad::noReport }));
}

TEST_F(ZoneLoadsTest, ForwardsReportsOnce)
{
    this->loads.record(1, { { 10, 0, 7 } }, this->now);
    EXPECT_THAT(this->loads.sumExcluding(2), UnorderedElementsAre(TargetLoad { 10, 0, 7 }));
    EXPECT_THAT(this->loads.sumExcluding(1), UnorderedElementsAre(TargetLoad { 10, 0, 7 }));
    this->loads.clearReports();
    EXPECT_THAT(this->loads.sumExcluding(2), UnorderedElementsAre(TargetLoad { 10, 0, TargetLoad::noReport }));
}

TEST_F(ZoneLoadsTest, RemovesExpiredHostsAndReportsChanges)
{
    const auto load = std::vector<TargetLoad> { { 10, 2, TargetLoad::noReport } };
    this->loads.record(1, load, this->now);
    EXPECT_TRUE(this->loads.takeChanged());
    this->loads.record(1, load, this->now + 500ms);
    EXPECT_FALSE(this->loads.takeChanged());
    this->loads.removeExpired(this->now + 1400ms);
    EXPECT_EQ(this->loads.sumExcluding(2).size(), 1U);
    this->loads.removeExpired(this->now + 1600ms);
    EXPECT_TRUE(this->loads.takeChanged());
    EXPECT_TRUE(this->loads.sumExcluding(2).empty());
}

TEST_F(ZoneLoadsTest, SumsDoNotOverflow)
{
    for (auto sender = std::uint64_t { 1 }; sender <= 3; ++sender)
        this->loads.record(sender, { { 10, 200, TargetLoad::noReport } }, this->now);
    EXPECT_EQ(this->loads.sumExcluding(9).front().inFlight, 254);
}

} // namespace
} // namespace citronloft
