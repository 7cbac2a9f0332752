#include "citronloft/policy/request_quarantine.hpp"

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class RequestQuarantineTest : public testing::Test {
protected:
    /// @return whether the request is in quarantine from this loss on.
    auto lose(std::uint64_t request, std::uint64_t target) -> bool
    {
        return this->quarantine.record({ request, target, this->now }, this->now);
    }

    auto answer(std::uint64_t request) -> void { this->quarantine.record({ request, 0, this->now }, this->now); }

    auto advance(Duration duration) -> void
    {
        this->now += duration;
        this->quarantine.tick(this->now);
    }

    auto loseThrice(std::uint64_t request) -> void
    {
        for (auto target = 1U; target <= 3; ++target) {
            this->advance(300ms);
            this->lose(request, target);
        }
    }

    TimePoint now { 5s };
    RequestQuarantine quarantine;
};

/// Load pattern: the request comes a few times a second and crashes each target.
TEST_F(RequestQuarantineTest, RequestThatIsLostWithThreeTargetsIsQuarantined)
{
    EXPECT_FALSE(this->lose(7, 1));
    this->advance(300ms);
    EXPECT_TRUE(this->quarantine.allowsRetry(8));
    EXPECT_FALSE(this->lose(7, 2));
    EXPECT_FALSE(this->quarantine.allowsRetry(7)) << "the next loss would be the third";
    this->advance(300ms);
    EXPECT_TRUE(this->lose(7, 3));
    EXPECT_TRUE(this->quarantine.isQuarantined(7, this->now));
    EXPECT_FALSE(this->quarantine.isQuarantined(8, this->now));
}

TEST_F(RequestQuarantineTest, LossThatIsNotYetReportedCountsForRetries)
{
    EXPECT_TRUE(this->quarantine.allowsRetry(7, 1));
    this->lose(7, 1);
    EXPECT_TRUE(this->quarantine.allowsRetry(7));
    EXPECT_FALSE(this->quarantine.allowsRetry(7, 1)) << "the next loss would be the third";
}

/// Load pattern: a popular request is at a target at each of many crashes.
TEST_F(RequestQuarantineTest, RequestThatIsAnsweredElsewhereIsNeverQuarantined)
{
    for (auto crash = 1U; crash <= 50; ++crash) {
        EXPECT_FALSE(this->lose(7, crash));
        this->advance(50ms);
        this->answer(7);
        this->advance(200ms);
    }
}

/// Load pattern: a zone fails, and all requests at its targets are lost at about the same time.
TEST_F(RequestQuarantineTest, TargetsThatFailTogetherCountOnce)
{
    for (auto target = 1U; target <= 20; ++target) {
        EXPECT_FALSE(this->lose(7, target));
        this->advance(4ms);
    }
}

TEST_F(RequestQuarantineTest, ObservationsCountInAnyOrder)
{
    const auto start = this->now;
    this->now += 2s;
    EXPECT_FALSE(this->quarantine.record({ 7, 3, start + 900ms }, this->now));
    EXPECT_FALSE(this->quarantine.record({ 7, 0, start + 500ms }, this->now));
    EXPECT_FALSE(this->quarantine.record({ 7, 1, start + 100ms }, this->now)) << "answered since";
    EXPECT_FALSE(this->quarantine.record({ 7, 4, start + 1200ms }, this->now));
    EXPECT_TRUE(this->quarantine.record({ 7, 2, start + 600ms }, this->now));
}

TEST_F(RequestQuarantineTest, OneCrashThatSeveralHostsObserveCountsOnce)
{
    for (auto host = 0; host < 5; ++host) {
        EXPECT_FALSE(this->lose(7, 1));
        this->advance(150ms);
    }
}

TEST_F(RequestQuarantineTest, TargetThatIsCrashedAgainAfterItsRestartCounts)
{
    EXPECT_FALSE(this->lose(7, 1));
    this->advance(3s);
    EXPECT_FALSE(this->lose(7, 1));
    this->advance(3s);
    EXPECT_TRUE(this->lose(7, 1));
}

TEST_F(RequestQuarantineTest, OneLossAfterTheTermIsEnoughToReturn)
{
    this->loseThrice(7);
    this->advance(RequestQuarantineOption {}.term);
    EXPECT_FALSE(this->quarantine.isQuarantined(7, this->now));
    EXPECT_FALSE(this->quarantine.allowsRetry(7));
    EXPECT_TRUE(this->lose(7, 9));
    EXPECT_TRUE(this->quarantine.isQuarantined(7, this->now));
}

TEST_F(RequestQuarantineTest, AnswerAfterTheTermClearsTheRequest)
{
    this->loseThrice(7);
    this->advance(RequestQuarantineOption {}.term);
    this->answer(7);
    EXPECT_FALSE(this->lose(7, 9));
    EXPECT_TRUE(this->quarantine.allowsRetry(7));
}

TEST_F(RequestQuarantineTest, LiftedRequestStartsAnew)
{
    this->loseThrice(7);
    this->quarantine.lift(7);
    EXPECT_FALSE(this->quarantine.isQuarantined(7, this->now));
    EXPECT_FALSE(this->lose(7, 9));
}

TEST_F(RequestQuarantineTest, OldLossesAreForgotten)
{
    this->lose(7, 1);
    EXPECT_FALSE(this->quarantine.isEmpty());
    this->advance(RequestQuarantineOption {}.memory + 1s);
    EXPECT_TRUE(this->quarantine.isEmpty());
}

/// Load pattern: many different requests are lost in a short time. Findings are kept, and new ones are still made.
TEST_F(RequestQuarantineTest, ManyLostRequestsDoNotDisplaceFindings)
{
    this->loseThrice(7);
    for (auto request = std::uint64_t { 100 }; request < 50'000; ++request)
        this->lose(request, 50);
    EXPECT_TRUE(this->quarantine.isQuarantined(7, this->now));
    this->loseThrice(8);
    EXPECT_TRUE(this->quarantine.isQuarantined(8, this->now));
}

} // namespace
} // namespace citronloft
