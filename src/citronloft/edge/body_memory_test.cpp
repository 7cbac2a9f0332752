// Bounds on the bodies that a host holds: answers and requests without end, or too many large ones at once.

#include <gtest/gtest.h>

#include <boost/asio/detached.hpp>

#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/http_server.hpp"
#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto limitBytes = std::size_t { 1'000'000 };
constexpr auto chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr auto plainHead = "HTTP/1.1 200 OK\r\n\r\n";

TEST(BodyReservationTest, LargeBodiesShareTheLimitAndSmallOnesPass)
{
    const auto memory = std::make_shared<BodyMemory>(limitBytes);
    auto first = std::make_unique<BodyReservation>(memory);
    auto second = BodyReservation(memory);
    EXPECT_TRUE(first->resize(limitBytes));
    EXPECT_FALSE(second.resize(200'000));
    EXPECT_TRUE(second.resize(BodyReservation::uncountedBytes));
    EXPECT_TRUE(first->resize(700'000));
    EXPECT_TRUE(second.resize(200'000));
    EXPECT_FALSE(first->resize(limitBytes));
    EXPECT_LE(memory->usedBytes(), limitBytes);
    first.reset();
    EXPECT_TRUE(second.resize(limitBytes));
    EXPECT_TRUE(second.resize(0));
    EXPECT_EQ(memory->usedBytes(), 0U);
    EXPECT_TRUE(BodyReservation(nullptr).resize(10 * limitBytes));
}

class BodyMemoryTest : public testing::Test {
protected:
    auto spawn(std::function<void(boost::asio::yield_context)> action) -> void
    {
        ++this->running;
        boost::asio::spawn(
            this->context,
            [this, action = std::move(action)](boost::asio::yield_context yield) {
                action(yield);
                --this->running;
            },
            boost::asio::detached);
    }

    /// Runs all actions to their end and records the most memory that was in use.
    auto runAll() -> void
    {
        while (this->running > 0 && this->context.run_one_for(10s) > 0)
            this->peakBytes = std::max(this->peakBytes, this->memory->usedBytes());
        EXPECT_EQ(this->running, 0);
    }

    auto get(const Address& address, boost::asio::yield_context yield, bool isValid = true) -> Exchange
    {
        auto option = ExchangeOption { .deadline = this->clock.now() + 5s };
        option.isValid = [isValid](const HttpResponse&) { return isValid; };
        return this->client->exchange(address, { "GET", "/x", {}, {} }, option, yield);
    }

    boost::asio::io_context context { 1 };
    SteadyClock clock;
    std::shared_ptr<BodyMemory> memory = std::make_shared<BodyMemory>(limitBytes);
    std::shared_ptr<HttpClient> client = makeHttpClient(context, clock, { .bodyMemory = memory });
    int running = 0;
    std::size_t peakBytes = 0;
};

/// Guards against a host that runs out of memory since several targets send without end.
TEST_F(BodyMemoryTest, AnswersWithoutEndShareTheLimitWhileOthersAreServed)
{
    constexpr auto count = 8;
    const auto chunk = "1000\r\n" + std::string(0x1000, 'a') + "\r\n";
    auto scripts = std::vector<RawServer::Script> {};
    for (auto i = 0; i < count; ++i)
        scripts.push_back(i % 2 == 0 ? RawServer::Script { chunkedHead, false, false, chunk }
                                     : RawServer::Script { plainHead, false, false, std::string(5000, 'a') });
    auto faulty = RawServer(this->context, scripts);
    auto sound = RawServer(
        this->context, std::vector<RawServer::Script>(20, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }));
    auto held = std::vector<Exchange>(count);
    for (auto i = 0; i < count; ++i)
        this->spawn([&, i](auto yield) { held[static_cast<std::size_t>(i)] = this->get(faulty.address(), yield); });
    auto served = 0;
    this->spawn([&](auto yield) {
        for (auto i = 0; i < 20; ++i)
            served += this->get(sound.address(), yield).response.body == "ok" ? 1 : 0;
    });
    this->runAll();
    for (const auto& exchange : held)
        EXPECT_EQ(exchange.error, ExchangeError::NoMemory);
    EXPECT_EQ(served, 20);
    EXPECT_GT(this->peakBytes, limitBytes / 2);
    EXPECT_LE(this->peakBytes, limitBytes);
    EXPECT_EQ(this->memory->usedBytes(), 0U);
    EXPECT_EQ(this->client->openConnections(faulty.address()), 0U);
}

/// The head shows that the bytes are no answer, so that their end is not waited for.
TEST_F(BodyMemoryTest, BodyOfWhatIsNoAnswerIsNotRead)
{
    auto faulty = RawServer(this->context, { { plainHead, false, false, std::string(5000, 'a') } });
    auto exchange = Exchange {};
    this->spawn([&](auto yield) { exchange = this->get(faulty.address(), yield, false); });
    this->runAll();
    EXPECT_EQ(exchange.error, ExchangeError::AnswerInvalid);
    EXPECT_EQ(this->peakBytes, 0U);
}

TEST_F(BodyMemoryTest, AnswerHoldsItsMemoryForAsLongAsItLives)
{
    const auto body = std::string(500'000, 'a');
    auto target = RawServer(this->context, { { "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + body } });
    auto exchange = Exchange {};
    this->spawn([&](auto yield) { exchange = this->get(target.address(), yield); });
    this->runAll();
    EXPECT_EQ(exchange.response.body, body);
    EXPECT_GT(this->memory->usedBytes(), 400'000U);
    exchange = Exchange {};
    EXPECT_EQ(this->memory->usedBytes(), 0U);
}

/// Guards against copies of a large body while its request is forwarded.
TEST(ForwardedRequestTest, HoldsTheOnlyCopyOfTheBodyAndReturnsIt)
{
    auto request = HttpRequest { "POST", "/x", {}, std::string(limitBytes, 'a') };
    const auto* bytes = request.body.data();
    auto call = Call {};
    call.request = &request;
    const auto dialect = makeDefaultDialect();
    {
        const auto forwarded = ForwardedRequest(*dialect, call, {}, TimePoint {});
        EXPECT_EQ(forwarded.request.body.data(), bytes);
        EXPECT_TRUE(request.body.empty());
    }
    EXPECT_EQ(request.body.data(), bytes);
    EXPECT_EQ(request.body.size(), limitBytes);
}

/// Guards against bodies of requests that take a host over its memory, each of them within its limit.
TEST_F(BodyMemoryTest, RequestsWhoseBodiesDoNotFitAreRefusedAsNotRun)
{
    auto option = HttpServerOption {};
    option.bodyLimitBytes = 10 * limitBytes;
    option.bodyMemory = this->memory;
    auto handled = 0;
    const auto server = *makeHttpServer(
        this->context, { "127.0.0.1", 0 },
        [&](HttpRequest&, CallerContext&, boost::asio::yield_context) {
            ++handled;
            return HttpResponse {};
        },
        option);
    const auto address = Address { "127.0.0.1", server->port() };
    auto answers = std::vector<std::string> {};
    this->spawn([&](auto yield) {
        for (const auto size : { 2 * limitBytes, limitBytes / 2, 2 * limitBytes }) {
            const auto text = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
                + std::to_string(size) + "\r\n\r\n" + std::string(size, 'a');
            answers.push_back(sendRaw(this->context, address, text, 5s, yield));
        }
    });
    this->runAll();
    EXPECT_EQ(handled, 1);
    ASSERT_EQ(answers.size(), 3U);
    for (const auto index : { 0U, 2U }) {
        EXPECT_TRUE(answers[index].starts_with("HTTP/1.1 503")) << answers[index];
        EXPECT_NE(answers[index].find("Retry-After: 1"), std::string::npos);
        EXPECT_NE(answers[index].find("memory-full"), std::string::npos);
    }
    EXPECT_TRUE(answers[1].starts_with("HTTP/1.1 200"));
    EXPECT_EQ(this->memory->usedBytes(), 0U);
}

} // namespace
} // namespace citronloft
