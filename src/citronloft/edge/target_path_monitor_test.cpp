#include "citronloft/edge/target_path_monitor.hpp"

#include <set>

#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

/// Client whose connections are all opened or all refused at once, but for addresses that always refuse.
class UniformClient final : public HttpClient {
public:
    auto exchange(const Address& address, const HttpRequest& request, const ExchangeOption& /*option*/,
        boost::asio::yield_context /*yield*/) -> Exchange override
    {
        this->requests.emplace_back(address, request);
        return { .error = this->isAnswering ? ExchangeError::None : this->failure, .response = {} };
    }

    auto connect(const Address& address, TimePoint /*deadline*/, boost::asio::yield_context /*yield*/)
        -> ConnectResult override
    {
        ++this->connects;
        return this->isOpen && !this->refusing.contains(address) ? ConnectResult::Open : ConnectResult::Refused;
    }

    auto closeIdle(const Address& /*address*/) -> void override { }
    auto forget(const Address&) -> void override { }

    [[nodiscard]] auto openConnections(const Address& /*address*/) const -> std::size_t override { return 0; }

    bool isOpen = true;
    bool isAnswering = true;
    /// Error of exchanges without an answer.
    ExchangeError failure = ExchangeError::AnswerTimeout;
    std::set<Address> refusing;
    int connects = 0;
    std::vector<std::pair<Address, HttpRequest>> requests;
};

class TargetPathMonitorTest : public testing::Test {
protected:
    TargetPathMonitorTest()
    {
        auto targets = std::vector<LiveTarget> {};
        for (const auto* address : { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" })
            targets.emplace_back().target = { address, "a", 10, 100, false };
        this->monitor->setTargets(this->pool, targets, "a");
    }

    auto run(Duration time) -> void
    {
        for (const auto end = this->clock.now() + time; this->clock.now() < end; this->clock.advance(20ms)) {
            const auto update = this->monitor->tick();
            this->confirmed.insert(this->confirmed.end(), update.confirmedLosses.begin(), update.confirmedLosses.end());
            this->context.restart();
            this->context.poll();
        }
    }

    static auto makePool() -> Pool
    {
        auto pool = Pool {};
        pool.name = "pool";
        pool.healthPath = "/health";
        return pool;
    }

    /// Lets requests to all targets end without an answer.
    auto loseRequests() -> void
    {
        for (const auto* target : { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" }) {
            this->monitor->recordStart();
            this->monitor->recordEnd(target,
                { .error = ExchangeError::AnswerTimeout, .response = {}, .sent = true, .reused = true },
                this->clock.now());
        }
    }

    const LostTarget firstTarget { "127.0.0.1:1", { "127.0.0.1", 1 } };
    boost::asio::io_context context { 1 };
    ManualClock clock;
    Metrics metrics;
    std::shared_ptr<UniformClient> client = std::make_shared<UniformClient>();
    const Pool pool = makePool();
    std::unique_ptr<Dialect> dialect = makeDefaultDialect();
    std::shared_ptr<TargetStatementRegistry> statements = std::make_shared<TargetStatementRegistry>();
    std::shared_ptr<TargetPathMonitor> monitor
        = std::make_shared<TargetPathMonitor>(context, clock, metrics, client, *dialect, statements);
    std::vector<HeldLoss> confirmed;
};

/// Guards against probes, or a lost path, because of requests that had no time or no connection left.
TEST_F(TargetPathMonitorTest, ExchangesThatWereGivenUpSayNothingOfThePath)
{
    this->run(20ms);
    this->client->isOpen = false;
    const auto before = this->client->connects;
    for (auto i = 0; i < 100; ++i) {
        const auto now = this->clock.now();
        this->monitor->recordEnd("127.0.0.1:1", { .response = {}, .sent = true, .reused = true }, now);
        for (const auto* target : { "127.0.0.1:2", "127.0.0.1:3" }) {
            this->monitor->recordEnd(
                target, { .error = ExchangeError::ConnectFailed, .response = {}, .limited = true }, now);
            this->monitor->recordEnd(target, { .error = ExchangeError::ConnectTimeout, .response = {} }, now - 50ms);
        }
        this->run(20ms);
    }
    EXPECT_EQ(this->client->connects, before);
    EXPECT_EQ(this->monitor->state(), PathState::Reached);
}

/// Guards against a host that takes connections that open for a path, although nothing is answered on them.
TEST_F(TargetPathMonitorTest, UnansweredRequestsAreFollowedByHealthRequestsThatDecide)
{
    this->run(2s);
    EXPECT_TRUE(this->client->requests.empty());
    this->loseRequests();
    this->run(1s);
    ASSERT_FALSE(this->client->requests.empty());
    EXPECT_EQ(this->client->requests.front().second.method, "GET");
    EXPECT_EQ(this->client->requests.front().second.target, "/health");
    EXPECT_EQ(this->monitor->state(), PathState::Reached);
    this->monitor->recordEnd("127.0.0.1:1", { .response = {}, .sent = true, .reused = true }, this->clock.now());
    this->client->isAnswering = false;
    this->run(2s);
    this->loseRequests();
    this->run(1s);
    EXPECT_EQ(this->monitor->state(), PathState::Lost);
}

/// Guards against a path that is taken as reached because of a health response with a status outside the protocol,
/// which ends its exchange like this.
TEST_F(TargetPathMonitorTest, InvalidHealthResponsesDoNotShowThatThePathIsReached)
{
    for (const auto failure : { ExchangeError::AnswerInvalid, ExchangeError::AnswerCut }) {
        this->client->isAnswering = true;
        this->monitor->recordEnd("127.0.0.1:1", { .response = {}, .sent = true, .reused = true }, this->clock.now());
        this->run(5s);
        ASSERT_EQ(this->monitor->state(), PathState::Reached);
        this->client->isAnswering = false;
        this->client->failure = failure;
        this->client->requests.clear();
        this->loseRequests();
        this->run(2s);
        EXPECT_FALSE(this->client->requests.empty());
        EXPECT_EQ(this->monitor->state(), PathState::Lost);
    }
}

TEST_F(TargetPathMonitorTest, PausedTargetsGetNoHealthRequests)
{
    this->client->isAnswering = false;
    const auto now = this->clock.now();
    for (const auto* target : { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" })
        this->statements->statementsOf(target)->recordPause(now + 1min, now);
    this->run(2s);
    this->loseRequests();
    this->run(3s);
    EXPECT_TRUE(this->client->requests.empty());
    EXPECT_EQ(this->monitor->state(), PathState::Reached);
}

TEST_F(TargetPathMonitorTest, LossIsReportedOnceTheTargetRefusesAndAProbeReachesAnother)
{
    this->run(500ms);
    this->client->refusing = { this->firstTarget.address };
    this->monitor->holdLoss(7, this->firstTarget, this->clock.now());
    EXPECT_TRUE(this->monitor->holdsLoss(7));
    this->run(60ms);
    EXPECT_TRUE(this->confirmed.empty());
    this->run(200ms);
    ASSERT_EQ(this->confirmed.size(), 1U);
    EXPECT_EQ(this->confirmed[0].request, 7U);
}

/// Guards against quarantine for requests whose answers were lost by targets that serve on.
TEST_F(TargetPathMonitorTest, LossWithTargetThatAcceptsConnectionsIsNotReported)
{
    this->run(500ms);
    this->monitor->holdLoss(7, this->firstTarget, this->clock.now());
    this->run(5s);
    EXPECT_TRUE(this->confirmed.empty());
    EXPECT_FALSE(this->monitor->holdsLoss(7));
}

/// Guards against a crash that is missed since the target was back before it was probed.
TEST_F(TargetPathMonitorTest, NewRunOrRefusalAsAnotherInstanceConfirmsTheLoss)
{
    this->run(500ms);
    this->monitor->holdLoss(7, { "i-1@1", { "127.0.0.1", 1 } }, this->clock.now());
    this->monitor->holdLoss(8, { "i-2@1", { "127.0.0.1", 2 } }, this->clock.now());
    this->run(1s);
    EXPECT_TRUE(this->confirmed.empty());
    auto targets = std::vector<LiveTarget>(1);
    targets[0].target = { "127.0.0.1:1", "a", 10, 100, false };
    targets[0].instance = "i-1";
    targets[0].startedAtMs = 2;
    this->monitor->setTargets(this->pool, targets, "a");
    this->monitor->recordTargetEnd("i-2@1", "replaced");
    this->run(100ms);
    EXPECT_EQ(this->confirmed.size(), 2U);
}

/// Guards against a target that is taken for ended since the entry of an earlier run is still listed.
TEST_F(TargetPathMonitorTest, EarlierRunAtTheAddressSaysNothingOfALoss)
{
    auto targets = std::vector<LiveTarget>(2);
    for (auto& live : targets)
        live.target = { "127.0.0.1:1", "a", 10, 100, false };
    targets[0].instance = "i-1";
    targets[1].instance = "i-2";
    this->monitor->setTargets(this->pool, targets, "a");
    this->run(500ms);
    this->monitor->holdLoss(7, { targets[1].key(), { "127.0.0.1", 1 } }, this->clock.now());
    this->monitor->setTargets(this->pool, targets, "a");
    this->run(5s);
    EXPECT_TRUE(this->confirmed.empty());
}

TEST_F(TargetPathMonitorTest, LossOfLostPathIsNotReported)
{
    this->run(500ms);
    this->client->isOpen = false;
    const auto startedAt = this->clock.now();
    this->monitor->holdLoss(7, this->firstTarget, startedAt);
    this->run(2s);
    EXPECT_EQ(this->monitor->state(), PathState::Lost);
    this->client->isOpen = true;
    this->run(5s);
    EXPECT_EQ(this->monitor->state(), PathState::Reached);
    this->client->refusing = { this->firstTarget.address };
    this->monitor->holdLoss(8, this->firstTarget, startedAt);
    this->run(5s);
    EXPECT_TRUE(this->confirmed.empty());
}

TEST(ConnectTest, OpensAndClosesConnectionWithoutRequest)
{
    auto context = boost::asio::io_context { 1 };
    const auto clock = SteadyClock {};
    const auto client = makeHttpClient(context, clock);
    auto closed = std::make_unique<RawServer>(context, std::vector<RawServer::Script> {});
    const auto closedAddress = closed->address();
    closed.reset();
    auto server = RawServer(context, {});
    auto results = std::vector<ConnectResult> {};
    boost::asio::spawn(
        context,
        [&](boost::asio::yield_context yield) {
            results.push_back(client->connect(server.address(), clock.now() + 5s, yield));
            results.push_back(client->connect(closedAddress, clock.now() + 5s, yield));
        },
        boost::asio::detached);
    const auto end = clock.now() + 10s;
    while ((results.size() < 2 || server.closed == 0) && clock.now() < end)
        context.run_one_for(100ms);
    EXPECT_EQ(results, (std::vector { ConnectResult::Open, ConnectResult::Refused }));
    EXPECT_EQ(server.connections, 1U);
    EXPECT_EQ(server.closed, 1U);
    EXPECT_TRUE(server.requests.empty());
    EXPECT_EQ(client->openConnections(server.address()), 0U);
}

} // namespace
} // namespace citronloft
