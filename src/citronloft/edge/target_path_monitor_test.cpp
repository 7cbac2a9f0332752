#include "citronloft/edge/target_path_monitor.hpp"

#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

/// Client whose connections are all opened or all refused at once.
class UniformClient final : public HttpClient {
public:
    auto exchange(const Address& /*address*/, const HttpRequest& /*request*/, const ExchangeOption& /*option*/,
        boost::asio::yield_context /*yield*/) -> Exchange override
    {
        return {};
    }

    auto connect(const Address& /*address*/, TimePoint /*deadline*/, boost::asio::yield_context /*yield*/)
        -> bool override
    {
        ++this->connects;
        return this->isOpen;
    }

    auto closeIdle(const Address& /*address*/) -> void override { }

    [[nodiscard]] auto openConnections(const Address& /*address*/) const -> std::size_t override { return 0; }

    bool isOpen = true;
    int connects = 0;
};

class TargetPathMonitorTest : public testing::Test {
protected:
    TargetPathMonitorTest()
    {
        auto targets = std::vector<LiveTarget> {};
        for (const auto* address : { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" })
            targets.emplace_back().target = { address, "a", 10, 100, false };
        this->monitor->setTargets("pool", targets, "a");
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

    boost::asio::io_context context { 1 };
    ManualClock clock;
    Metrics metrics;
    std::shared_ptr<UniformClient> client = std::make_shared<UniformClient>();
    std::shared_ptr<TargetPathMonitor> monitor = std::make_shared<TargetPathMonitor>(context, clock, metrics, client);
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

TEST_F(TargetPathMonitorTest, LossIsReportedOnceAProbeReachesATarget)
{
    this->run(500ms);
    this->monitor->holdLoss(7, "127.0.0.1:1", this->clock.now());
    EXPECT_TRUE(this->monitor->holdsLoss(7));
    this->run(60ms);
    EXPECT_TRUE(this->confirmed.empty());
    this->run(200ms);
    ASSERT_EQ(this->confirmed.size(), 1U);
    EXPECT_EQ(this->confirmed[0].request, 7U);
}

TEST_F(TargetPathMonitorTest, LossOfLostPathIsNotReported)
{
    this->run(500ms);
    this->client->isOpen = false;
    const auto startedAt = this->clock.now();
    this->monitor->holdLoss(7, "127.0.0.1:1", startedAt);
    this->run(2s);
    EXPECT_EQ(this->monitor->state(), PathState::Lost);
    this->client->isOpen = true;
    this->run(5s);
    EXPECT_EQ(this->monitor->state(), PathState::Reached);
    this->monitor->holdLoss(8, "127.0.0.1:1", startedAt);
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
    auto results = std::vector<bool> {};
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
    EXPECT_EQ(results, (std::vector<bool> { true, false }));
    EXPECT_EQ(server.connections, 1U);
    EXPECT_EQ(server.closed, 1U);
    EXPECT_TRUE(server.requests.empty());
    EXPECT_EQ(client->openConnections(server.address()), 0U);
}

} // namespace
} // namespace citronloft
