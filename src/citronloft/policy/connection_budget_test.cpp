#include "citronloft/policy/connection_budget.hpp"

#include <memory>
#include <vector>

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto limitBytes = std::size_t { 1000 };
constexpr auto requestBytes = std::size_t { 750 };
constexpr auto start = TimePoint { 1h };

class ConnectionBudgetTest : public testing::Test {
protected:
    struct Connection {
        bool isClosed = false;
        std::unique_ptr<ConnectionBudget::Account> account;
    };

    auto connect(TimePoint now = start) -> Connection&
    {
        auto& connection = *this->connections.emplace_back(std::make_unique<Connection>());
        connection.account = std::make_unique<ConnectionBudget::Account>(
            this->budget, now, [&connection] { connection.isClosed = true; });
        return connection;
    }

    std::shared_ptr<ConnectionBudget> budget = std::make_shared<ConnectionBudget>(limitBytes, 4);
    std::vector<std::unique_ptr<Connection>> connections;
};

TEST_F(ConnectionBudgetTest, MemoryIsReturnedWithTheAccount)
{
    auto& first = this->connect();
    EXPECT_TRUE(first.account->resize(500));
    EXPECT_TRUE(first.account->resize(200));
    EXPECT_EQ(this->budget->usedBytes(), 200U);
    first.account.reset();
    EXPECT_EQ(this->budget->usedBytes(), 0U);
    EXPECT_EQ(this->budget->connections(), 0U);
}

/// Guards against ordinary requests that are refused since incomplete ones hold all memory.
TEST_F(ConnectionBudgetTest, ConnectionSilentForLongestIsClosedToMakeRoom)
{
    auto& first = this->connect();
    auto& second = this->connect();
    EXPECT_TRUE(first.account->resize(350));
    EXPECT_TRUE(second.account->resize(350));
    first.account->recordProgress(ConnectionState::Receiving, start + 10ms);
    auto& ordinary = this->connect(start + 20ms);
    EXPECT_TRUE(ordinary.account->resize(100));
    EXPECT_TRUE(second.isClosed);
    EXPECT_FALSE(first.isClosed);
    EXPECT_FALSE(second.account->resize(400));
}

/// Guards against closing many connections for one request, since their memory is returned only later.
TEST_F(ConnectionBudgetTest, MemoryOfClosedConnectionsCountsAsFree)
{
    auto& first = this->connect();
    auto& second = this->connect();
    EXPECT_TRUE(first.account->resize(300));
    EXPECT_TRUE(second.account->resize(400));
    auto& ordinary = this->connect();
    EXPECT_TRUE(ordinary.account->resize(100));
    EXPECT_TRUE(ordinary.account->resize(300));
    EXPECT_TRUE(first.isClosed);
    EXPECT_FALSE(second.isClosed);
    EXPECT_TRUE(this->budget->isAwaitingReturns());
    first.account.reset();
    EXPECT_FALSE(this->budget->isAwaitingReturns());
    EXPECT_EQ(this->budget->usedBytes(), 700U);
}

TEST_F(ConnectionBudgetTest, ConnectionWhoseRequestRunsIsNotClosed)
{
    auto& running = this->connect();
    EXPECT_TRUE(running.account->resize(requestBytes));
    running.account->setState(ConnectionState::Running, start);
    auto& other = this->connect(start + 1h);
    EXPECT_FALSE(other.account->resize(1));
    EXPECT_FALSE(this->budget->resizeResponseBody(0, limitBytes));
    EXPECT_FALSE(running.isClosed);
}

TEST_F(ConnectionBudgetTest, ConnectionIsNotClosedForItself)
{
    auto& only = this->connect();
    EXPECT_TRUE(only.account->resize(requestBytes));
    EXPECT_FALSE(only.account->resize(requestBytes + 1));
    EXPECT_FALSE(only.isClosed);
    EXPECT_EQ(this->budget->usedBytes(), requestBytes);
}

/// Guards against large requests that close each other so that none is completed.
TEST_F(ConnectionBudgetTest, BodyClosesOnlyConnectionsWithoutProgress)
{
    auto& first = this->connect();
    EXPECT_TRUE(first.account->resize(requestBytes));
    first.account->recordProgress(ConnectionState::Receiving, start + 1s);
    EXPECT_FALSE(this->budget->resizeRequestBody(0, 100));
    auto& second = this->connect(start + 3s);
    second.account->recordProgress(ConnectionState::Receiving, start + 3s);
    EXPECT_TRUE(this->budget->resizeRequestBody(0, 100));
    EXPECT_TRUE(first.isClosed);
    EXPECT_FALSE(second.isClosed);
}

/// Guards against responses that are lost for lack of memory after their requests have run.
TEST_F(ConnectionBudgetTest, ResponsesHaveMemoryThatRequestsMayNotUse)
{
    auto& first = this->connect();
    EXPECT_TRUE(first.account->resize(requestBytes));
    first.account->setState(ConnectionState::Running, start);
    EXPECT_FALSE(this->budget->resizeRequestBody(0, 1));
    EXPECT_TRUE(this->budget->resizeResponseBody(0, limitBytes - requestBytes));
    EXPECT_FALSE(this->budget->resizeResponseBody(0, 1));
}

TEST_F(ConnectionBudgetTest, UnreadResponseIsClosedOnlyAfterSomeTime)
{
    auto& slow = this->connect();
    EXPECT_TRUE(slow.account->resize(100));
    slow.account->setState(ConnectionState::Sending, start);
    slow.account->forceResize(limitBytes);
    auto& other = this->connect(start + 1s);
    other.account->recordProgress(ConnectionState::Receiving, start + 1s);
    EXPECT_FALSE(other.account->resize(1));
    other.account->recordProgress(ConnectionState::Receiving, start + 2s);
    EXPECT_TRUE(other.account->resize(1));
    EXPECT_TRUE(slow.isClosed);
}

TEST_F(ConnectionBudgetTest, NewConnectionReplacesTheOneSilentForLongest)
{
    auto reasons = std::vector<EvictionReason> {};
    this->budget->onEviction([&](EvictionReason reason) { reasons.push_back(reason); });
    for (auto i = 0; i < 4; ++i) {
        EXPECT_TRUE(this->budget->makeRoomForConnection(start));
        this->connect();
    }
    EXPECT_TRUE(this->budget->makeRoomForConnection(start));
    EXPECT_TRUE(this->connections.front()->isClosed);
    EXPECT_EQ(this->budget->connections(), 3U);
    EXPECT_EQ(reasons, std::vector<EvictionReason> { EvictionReason::Descriptors });
}

TEST_F(ConnectionBudgetTest, NewConnectionIsRefusedWhileAllOthersRun)
{
    for (auto i = 0; i < 4; ++i)
        this->connect().account->setState(ConnectionState::Running, start);
    EXPECT_FALSE(this->budget->makeRoomForConnection(start + 1h));
}

/// Guards against a process that holds more than its accounts say.
TEST_F(ConnectionBudgetTest, MeasuredMemoryReducesTheLimit)
{
    auto resident = std::size_t { 300 };
    this->budget->setMeter([&] { return resident; });
    this->budget->measure();
    EXPECT_EQ(this->budget->limit(), limitBytes - 300);
    auto& connection = this->connect();
    EXPECT_TRUE(connection.account->resize(200));
    resident = 600;
    this->budget->measure();
    EXPECT_EQ(this->budget->overheadBytes(), 400U);
    EXPECT_FALSE(connection.account->resize(600));
    resident = 500;
    this->budget->measure();
    EXPECT_EQ(this->budget->overheadBytes(), 300U);
    this->budget->setMeter([] { return std::nullopt; });
    this->budget->measure();
    EXPECT_EQ(this->budget->overheadBytes(), 300U);
}

TEST_F(ConnectionBudgetTest, GrowthIsMeasuredBeforeItIsGranted)
{
    auto resident = std::size_t { 0 };
    this->budget->setMeter([&] { return resident; });
    this->budget->measure();
    resident = 700;
    auto& connection = this->connect();
    EXPECT_FALSE(connection.account->resize(400));
    EXPECT_EQ(this->budget->overheadBytes(), 700U);
}

/// Guards against counting the same memory twice, or not at all, when charged bytes are not resident yet.
TEST_F(ConnectionBudgetTest, AbsentBytesAreNotTakenForResident)
{
    this->budget->setMeter([] { return std::size_t { 350 }; });
    auto& connection = this->connect();
    EXPECT_TRUE(connection.account->resize(200));
    connection.account->setAbsentBytes(150);
    this->budget->measure();
    EXPECT_EQ(this->budget->overheadBytes(), 300U);
    connection.account.reset();
    this->budget->measure();
    EXPECT_EQ(this->budget->overheadBytes(), 350U);
}

/// Guards against a host that refuses all requests since its own state has grown.
TEST_F(ConnectionBudgetTest, SomeMemoryIsLeftToConnections)
{
    this->budget->setMeter([] { return 2 * limitBytes; });
    this->budget->measure();
    EXPECT_EQ(this->budget->limit(), limitBytes / ConnectionBudget::minShareDivisor);
}

TEST_F(ConnectionBudgetTest, ReadingAheadStopsAtHalfOfTheMemory)
{
    auto& first = this->connect();
    EXPECT_TRUE(first.account->resize(limitBytes / 2));
    EXPECT_TRUE(this->budget->allowsReadAhead());
    EXPECT_TRUE(first.account->resize(limitBytes / 2 + 1));
    EXPECT_FALSE(this->budget->allowsReadAhead());
}

} // namespace
} // namespace citronloft
