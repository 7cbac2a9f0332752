#include <gtest/gtest.h>

#include "citronloft/edge/supervisor.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class FakeComponent final : public Component {
public:
    auto start() -> absl::Status override
    {
        ++this->starts;
        return this->starts > this->successfulStarts ? absl::UnavailableError("no") : absl::OkStatus();
    }

    auto stop() -> void override { ++this->stops; }

    int starts = 0;
    int stops = 0;
    int successfulStarts = 1000;
};

class SupervisorTest : public testing::Test {
protected:
    auto SetUp() -> void override
    {
        this->supervisor.add("first", this->first);
        this->supervisor.add("second", this->second);
    }

    boost::asio::io_context context;
    SteadyClock clock;
    absl::Status escalated;
    std::shared_ptr<FakeComponent> first = std::make_shared<FakeComponent>();
    std::shared_ptr<FakeComponent> second = std::make_shared<FakeComponent>();
    Supervisor supervisor { context, clock,
        { .maxRestarts = 3, .failureWindow = 60s, .minBackoff = 1ms, .maxBackoff = 4ms },
        [this](const absl::Status& status) { this->escalated = status; } };
};

TEST_F(SupervisorTest, RestartsOnlyTheFailedComponent)
{
    ASSERT_TRUE(this->supervisor.start().ok());
    this->supervisor.runGuarded("second", [] { throw std::runtime_error("bad"); });
    this->context.run();
    EXPECT_EQ(this->first->starts, 1);
    EXPECT_EQ(this->second->starts, 2);
    EXPECT_EQ(this->second->stops, 1);
    EXPECT_TRUE(this->escalated.ok());
}

TEST_F(SupervisorTest, EscalatesAfterTooManyFailures)
{
    this->second->successfulStarts = 1;
    ASSERT_TRUE(this->supervisor.start().ok());
    this->supervisor.reportFailure("second", absl::InternalError("bad"));
    this->context.run();
    EXPECT_FALSE(this->escalated.ok());
    EXPECT_EQ(this->second->starts, 4);
    EXPECT_EQ(this->first->stops, 1);
}

TEST_F(SupervisorTest, FailedStartStopsRunningComponents)
{
    this->second->successfulStarts = 0;
    EXPECT_FALSE(this->supervisor.start().ok());
    EXPECT_EQ(this->first->stops, 1);
}

} // namespace
} // namespace citronloft
