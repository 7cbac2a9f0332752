#include <gtest/gtest.h>

#include "citronloft/policy/announced_limit.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class AnnouncedLimitTest : public testing::Test {
protected:
    TimePoint now { 1h };
    AnnouncedLimit limit;
};

TEST_F(AnnouncedLimitTest, ReportsChangesOnly)
{
    EXPECT_EQ(this->limit.record(std::nullopt, this->now, this->now), LimitChange::None);
    EXPECT_EQ(this->limit.record(2.5, this->now, this->now), LimitChange::Announced);
    EXPECT_EQ(this->limit.record(2.5, this->now, this->now), LimitChange::None);
    EXPECT_EQ(this->limit.record(1.5, this->now, this->now), LimitChange::Changed);
    EXPECT_EQ(this->limit.perSecond(), 1.5);
    EXPECT_EQ(this->limit.record(std::nullopt, this->now, this->now), LimitChange::Ended);
    EXPECT_EQ(this->limit.perSecond(), std::nullopt);
}

TEST_F(AnnouncedLimitTest, AnswerToAnEarlierRequestDoesNotEndTheLimit)
{
    this->limit.record(2.5, this->now - 100ms, this->now);
    EXPECT_EQ(this->limit.record(std::nullopt, this->now - 50ms, this->now + 50ms), LimitChange::None);
    EXPECT_EQ(this->limit.perSecond(), 2.5);
}

} // namespace
} // namespace citronloft
