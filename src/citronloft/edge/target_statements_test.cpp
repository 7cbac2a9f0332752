// What the gateway's parts do with a target's request for a pause: reading it and keeping from probes.

#include <gtest/gtest.h>

#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/target_prober.hpp"
#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

TEST(DefaultDialectTest, ReadsPauseBesideRefusalsOfTheTargetOnly)
{
    const auto dialect = makeDefaultDialect();
    auto answer = HttpResponse {};
    answer.status = 503;
    answer.fields.set("Retry-After", "2");
    EXPECT_EQ(dialect->parseResponse(answer).pause.value(), std::nullopt);
    answer.fields.set("Citronloft-Outcome", "not-run");
    EXPECT_EQ(dialect->parseResponse(answer).pause.value(), 2s);
    answer.fields.set("Retry-After", "soon");
    EXPECT_FALSE(dialect->parseResponse(answer).pause.ok());
}

/// Guards against probes within the time for which a target asked to be left alone.
TEST(TargetProberTest, PausedTargetIsNotProbed)
{
    const auto healthy = RawServer::Script { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true };
    auto context = boost::asio::io_context { 1 };
    const auto clock = SteadyClock {};
    auto paused = RawServer(context, { healthy });
    auto other = RawServer(context, { healthy });
    auto admission = PoolAdmission(context, clock, makeFairQueue({}), TargetPool({}, 42));
    auto targets = std::vector<Target> {};
    for (const auto* server : { &paused, &other })
        targets.push_back({ formatAddress(server->address()), "north-a", 4, 100, false });
    admission.targets().setTargets(targets, clock.now());
    admission.targets().recordPause(targets.front().address, clock.now() + 1h, clock.now());
    auto prober = TargetProber(clock, makeHttpClient(context, clock));
    auto isProbed = false;
    boost::asio::spawn(
        context,
        [&](boost::asio::yield_context yield) {
            prober.probe(admission, yield);
            isProbed = true;
        },
        boost::asio::detached);
    while (!isProbed)
        context.run_one();
    EXPECT_EQ(paused.requests.size(), 0U);
    EXPECT_EQ(other.requests.size(), 1U);
}

} // namespace
} // namespace citronloft
