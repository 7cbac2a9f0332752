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

TEST_F(AnnouncedLimitTest, LatestObservationOfAnyHostCounts)
{
    EXPECT_EQ(this->limit.merge({ 0, 2.5, this->now }), LimitChange::Announced);
    EXPECT_EQ(this->limit.merge({ 0, std::nullopt, this->now - 1ms }), LimitChange::None);
    EXPECT_EQ(this->limit.merge({ 0, 1.5, this->now + 1ms }), LimitChange::Changed);
    EXPECT_EQ(this->limit.merge({ 0, std::nullopt, this->now + 2ms }), LimitChange::Ended);
    EXPECT_EQ(this->limit.perSecond(), std::nullopt);
}

TEST_F(AnnouncedLimitTest, IsRecentForSeveralRequests)
{
    this->limit.record(1.0, this->now, this->now);
    EXPECT_TRUE(this->limit.isRecent(this->now + 8s));
    EXPECT_FALSE(this->limit.isRecent(this->now + 10s));
    this->limit.record(0.0, this->now, this->now);
    EXPECT_TRUE(this->limit.isRecent(this->now + 59s));
    EXPECT_FALSE(this->limit.isRecent(this->now + 61s));
}

TEST_F(AnnouncedLimitTest, EndIsReportedForSomeTime)
{
    EXPECT_FALSE(this->limit.isEndReported(this->now));
    this->limit.record(1.0, this->now, this->now);
    this->limit.record(std::nullopt, this->now + 1s, this->now + 1s);
    EXPECT_TRUE(this->limit.isEndReported(this->now + 5s));
    EXPECT_FALSE(this->limit.isEndReported(this->now + 12s));
}

} // namespace
} // namespace citronloft
