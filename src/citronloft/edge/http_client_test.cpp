#include "citronloft/edge/http_client.hpp"

#include <gtest/gtest.h>

#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class HttpClientTest : public testing::Test {
protected:
    /// Runs a coroutine, and the event loop until the coroutine has finished.
    auto run(const std::function<void(boost::asio::yield_context)>& action) -> void
    {
        auto isFinished = false;
        boost::asio::spawn(
            this->context,
            [&](boost::asio::yield_context yield) {
                action(yield);
                isFinished = true;
            },
            boost::asio::detached);
        while (!isFinished && this->context.run_one_for(10s) > 0) { }
        EXPECT_TRUE(isFinished);
    }

    auto post(const Address& address, const std::string& id, boost::asio::yield_context yield, Duration timeout = 5s,
        std::function<bool(const HttpResponse&)> acceptsWithoutId = {}) -> Exchange
    {
        auto option = ExchangeOption { .deadline = this->clock.now() + timeout };
        option.idField = "X-Id";
        option.id = id;
        option.acceptsWithoutId = std::move(acceptsWithoutId);
        return this->client->exchange(address, { "POST", "/x", {}, {} }, option, yield);
    }

    static auto response(unsigned status, const std::string& id, const std::string& body) -> std::string
    {
        const auto idLine = id.empty() ? std::string {} : "X-Id: " + id + "\r\n";
        return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + idLine
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    boost::asio::io_context context;
    SteadyClock clock;
    std::shared_ptr<HttpClient> client = makeHttpClient(context, clock);
};

TEST_F(HttpClientTest, LateCopyOfEarlierRefusalIsNotTakenForTheAnswer)
{
    for (const auto* id : { "1", "" }) {
        auto target = RawServer(
            this->context, { { response(503, "1", "") }, { response(503, id, "") + response(200, "2", "own") } });
        this->run([&](boost::asio::yield_context yield) {
            EXPECT_EQ(this->post(target.address(), "1", yield).response.status, 503U);
            const auto second = this->post(target.address(), "2", yield);
            EXPECT_TRUE(second.reused);
            EXPECT_EQ(second.error, ExchangeError::None);
            EXPECT_EQ(second.response.status, 200U) << "id of the refusal: " << id;
            EXPECT_EQ(second.response.body, "own");
            EXPECT_EQ(this->client->openConnections(target.address()), 0U);
        });
    }
}

TEST_F(HttpClientTest, LateCopyOfEarlierRefusalProvesNothingIfNoAnswerFollows)
{
    for (const auto* id : { "1", "" }) {
        auto target = RawServer(this->context, { { response(503, "1", "") }, { response(503, id, ""), true } });
        this->run([&](boost::asio::yield_context yield) {
            this->post(target.address(), "1", yield);
            const auto second = this->post(target.address(), "2", yield);
            EXPECT_TRUE(second.reused);
            EXPECT_TRUE(second.sent);
            EXPECT_EQ(second.error, ExchangeError::ConnectionLost) << "id of the refusal: " << id;
        });
    }
}

TEST_F(HttpClientTest, RequestToServerThatOmitsIdsUsesNewConnection)
{
    auto target = RawServer(this->context, { { response(503, "", "") }, { response(200, "2", "own") } });
    this->run([&](boost::asio::yield_context yield) {
        EXPECT_EQ(this->post(target.address(), "1", yield).response.status, 503U);
        const auto second = this->post(target.address(), "2", yield);
        EXPECT_FALSE(second.reused);
        EXPECT_EQ(second.response.body, "own");
    });
}

TEST_F(HttpClientTest, AcceptedResponseWithoutIdEndsReuse)
{
    const auto isError = [](const HttpResponse& answer) { return answer.status >= 500; };
    auto target = RawServer(this->context,
        { { response(503, "", "") }, { response(200, "", "other") + response(503, "", "") },
            { response(200, "3", "c") } });
    this->run([&](boost::asio::yield_context yield) {
        this->post(target.address(), "1", yield, 5s, isError);
        const auto second = this->post(target.address(), "2", yield, 5s, isError);
        EXPECT_TRUE(second.reused);
        EXPECT_EQ(second.response.status, 503U);
        EXPECT_FALSE(this->post(target.address(), "3", yield, 5s, isError).reused);
    });
}

TEST_F(HttpClientTest, CopyOfRefusalOnIdleConnectionClosesIt)
{
    for (const auto* id : { "1", "" }) {
        const auto refusal = response(503, id, "");
        auto target = RawServer(this->context, { { refusal + refusal }, { response(200, "2", "own") } });
        this->run([&](boost::asio::yield_context yield) {
            EXPECT_EQ(this->post(target.address(), "1", yield).response.status, 503U);
            const auto second = this->post(target.address(), "2", yield);
            EXPECT_FALSE(second.reused);
            EXPECT_EQ(second.response.body, "own");
        });
    }
}

TEST_F(HttpClientTest, FirstAnswerOfAConnectionNeedsNoId)
{
    auto target = RawServer(this->context, { { response(503, "", "") } });
    this->run([&](boost::asio::yield_context yield) {
        const auto exchange = this->post(target.address(), "1", yield);
        EXPECT_EQ(exchange.error, ExchangeError::None);
        EXPECT_EQ(exchange.response.status, 503U);
    });
}

TEST_F(HttpClientTest, RequestWithoutIdUsesNewConnection)
{
    auto target = RawServer(this->context, { { response(200, "1", "a") }, { response(400, "", "") } });
    this->run([&](boost::asio::yield_context yield) {
        this->post(target.address(), "1", yield);
        const auto second = this->post(target.address(), "", yield);
        EXPECT_FALSE(second.reused);
        EXPECT_EQ(second.response.status, 400U);
    });
}

/// Guards against a page that is no response of the server and reaches the caller as the success of its request.
TEST_F(HttpClientTest, ResponseThatServerCannotHaveSentEndsExchange)
{
    for (const auto* id : { "1", "" }) {
        auto target = RawServer(this->context, { { response(200, id, "<html>") } });
        this->run([&](boost::asio::yield_context yield) {
            auto option = ExchangeOption { .deadline = this->clock.now() + 5s, .idField = "X-Id", .id = "1" };
            option.isValid = [](const HttpResponse& answer) { return answer.fields.has("X-Stamp"); };
            const auto exchange = this->client->exchange(target.address(), { "POST", "/x", {}, {} }, option, yield);
            EXPECT_EQ(exchange.error, ExchangeError::AnswerInvalid) << "id of the page: " << id;
            EXPECT_TRUE(exchange.response.body.empty());
            EXPECT_EQ(this->client->openConnections(target.address()), 0U);
        });
    }
}

TEST_F(HttpClientTest, StatusOutsideTheProtocolEndsExchange)
{
    for (const auto* status : { "000", "099", "600", "999" }) {
        auto target = RawServer(
            this->context, { { std::string { "HTTP/1.1 " } + status + " S\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n" } });
        this->run([&](boost::asio::yield_context yield) {
            EXPECT_EQ(this->post(target.address(), "1", yield).error, ExchangeError::AnswerInvalid) << status;
        });
    }
}

/// Guards against requests that are sent on when nobody waits for them any more: the deadline has passed, or the caller
/// has left without the event loop having noticed.
TEST_F(HttpClientTest, RequestThatNobodyWaitsForIsNotSent)
{
    auto target = RawServer(this->context, { { response(200, "", "") } });
    this->run([&](boost::asio::yield_context yield) {
        const auto request = HttpRequest { "GET", "/x", {}, {} };
        const auto later = this->clock.now() + 5s;
        EXPECT_EQ(
            this->client->exchange(target.address(), request, { .deadline = later }, yield).error, ExchangeError::None);
        const auto late = this->client->exchange(target.address(), request, { .deadline = this->clock.now() }, yield);
        EXPECT_EQ(late.error, ExchangeError::TooLate);
        auto cancel = ExchangeCancel {};
        cancel.isAbandoned = [] { return true; };
        const auto abandoned
            = this->client->exchange(target.address(), request, { .deadline = later, .cancel = &cancel }, yield);
        EXPECT_EQ(abandoned.error, ExchangeError::Cancelled);
        const auto withdrawn = this->client->exchange(
            target.address(), request, { .deadline = later, .isWithdrawn = [] { return true; } }, yield);
        EXPECT_EQ(withdrawn.error, ExchangeError::Withdrawn);
        for (const auto* exchange : { &late, &abandoned, &withdrawn }) {
            EXPECT_TRUE(exchange->reused);
            EXPECT_FALSE(exchange->sent);
        }
        EXPECT_EQ(this->client->openConnections(target.address()), 1U) << "the connection stays usable";
    });
    EXPECT_EQ(target.requests.size(), 1U);
}

/// Guards against an answer whose trailer ends the process that reads it.
TEST_F(HttpClientTest, LongTrailerEndsOnlyItsExchange)
{
    const auto chunked = std::string { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" };
    for (const auto size : { 63'000, 66'000, 70'000, 1'000'000 }) {
        auto target = RawServer(this->context,
            { { chunked + "0\r\nX: " + std::string(static_cast<std::size_t>(size), 'a') + "\r\n\r\n" },
                { response(200, "2", "own") } });
        this->run([&](boost::asio::yield_context yield) {
            const auto first = this->post(target.address(), "1", yield).error;
            EXPECT_EQ(first, size < 64'000 ? ExchangeError::None : ExchangeError::AnswerCut) << size;
            EXPECT_EQ(this->post(target.address(), "2", yield).response.body, "own") << size;
        });
    }
}

TEST_F(HttpClientTest, TrailerIsNoPartOfTheHead)
{
    auto target = RawServer(this->context,
        { { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Stamp: 1\r\n\r\n" } });
    this->run([&](boost::asio::yield_context yield) {
        const auto exchange = this->post(target.address(), "1", yield);
        EXPECT_EQ(exchange.error, ExchangeError::None);
        EXPECT_EQ(exchange.response.body, "a");
        EXPECT_FALSE(exchange.response.fields.has("X-Stamp"));
    });
}

struct CutCase {
    std::string name;
    std::string bytes;
};

auto operator<<(std::ostream& stream, const CutCase& cut) -> std::ostream& { return stream << cut.name; }

class CutAnswerTest : public HttpClientTest, public testing::WithParamInterface<CutCase> { };

TEST_P(CutAnswerTest, IsReportedAsCut)
{
    for (const auto isReset : { false, true }) {
        auto target = RawServer(this->context, { { GetParam().bytes, true, isReset } });
        this->run([&](boost::asio::yield_context yield) {
            const auto exchange = this->post(target.address(), "1", yield);
            // A reset can overtake the bytes before it.
            const auto isOvertaken = isReset && exchange.error == ExchangeError::ConnectionLost;
            EXPECT_TRUE(isOvertaken || exchange.error == ExchangeError::AnswerCut) << "reset: " << isReset;
            EXPECT_TRUE(exchange.response.body.empty());
            EXPECT_TRUE(exchange.sent);
        });
    }
}

auto cutCases() -> std::vector<CutCase>
{
    const auto line = std::string { "HTTP/1.1 200 OK\r\n" };
    const auto chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "InVersion", "HTTP/1" },
        { "InStatus", "HTTP/1.1 20" },
        { "InReason", "HTTP/1.1 200 O" },
        { "AfterStatusLine", line },
        { "InFieldName", line + "X-Sta" },
        { "InFieldValue", line + "X-Stamp: 12" },
        { "InLength", line + "Content-Length: 1" },
        { "InEndOfField", line + "Content-Length: 12\r" },
        { "AfterLength", line + "Content-Length: 12\r\n" },
        { "AfterLastField", line + "Content-Length: 12\r\nX-Stamp: 1\r\n" },
        { "InEmptyLine", line + "Content-Length: 0\r\n\r" },
        { "InInterimHead", "HTTP/1.1 103 Early Hints\r\nLink: a" },
        { "InHeadAfterInterim", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX" },
        { "BeforeBody", line + "Content-Length: 12\r\n\r\n" },
        { "InBody", line + "Content-Length: 12\r\n\r\nshort" },
        { "BeforeChunkSize", chunked },
        { "InChunkSize", chunked + "1" },
        { "AfterChunkSize", chunked + "a\r\n" },
        { "InChunk", chunked + "a\r\nabc" },
        { "AfterChunk", chunked + "3\r\nabc\r\n" },
        { "AfterLastChunkSize", chunked + "3\r\nabc\r\n0\r\n" },
        { "InTrailer", chunked + "3\r\nabc\r\n0\r\nX-Stamp: 1" },
        { "AfterTrailer", chunked + "3\r\nabc\r\n0\r\nX-Stamp: 1\r\n" },
        { "NoAnswer", "these bytes are no answer\r\n\r\n" },
    };
}

INSTANTIATE_TEST_SUITE_P(
    All, CutAnswerTest, testing::ValuesIn(cutCases()), [](const auto& info) { return info.param.name; });

TEST_F(HttpClientTest, InterimHeadIsNoAnswer)
{
    auto target = RawServer(this->context, { { "HTTP/1.1 103 Early Hints\r\n\r\n", true } });
    this->run([&](boost::asio::yield_context yield) {
        EXPECT_EQ(this->post(target.address(), "1", yield).error, ExchangeError::ConnectionLost);
    });
}

TEST_F(HttpClientTest, ResetEndsNoAnswerWithoutLength)
{
    auto target = RawServer(this->context, { { "HTTP/1.1 200 OK\r\n\r\npart", true, true } });
    this->run([&](boost::asio::yield_context yield) {
        EXPECT_NE(this->post(target.address(), "1", yield).error, ExchangeError::None);
    });
}

class ConnectionCountTest : public HttpClientTest {
protected:
    static auto script() -> RawServer::Script { return { response(200, "1", "x") }; }
    static auto scripts() -> std::vector<RawServer::Script> { return std::vector<RawServer::Script>(8, script()); }

    /// Sends a request on a new connection, which is idle afterwards.
    auto open(const Address& address, boost::asio::yield_context yield) -> ExchangeError
    {
        auto option = ExchangeOption { .deadline = this->clock.now() + 5s, .maxIdleTime = {} };
        return this->client->exchange(address, { "GET", "/x", {}, {} }, option, yield).error;
    }

    RawServer first { context, scripts() };
    RawServer second { context, scripts() };
};

/// Guards against a process without file descriptors: each address alone is within its limit.
TEST_F(ConnectionCountTest, LongestIdleIsClosedAtTheLimitOfAllAddresses)
{
    auto option = HttpClientOption {};
    option.maxConnections = 3;
    this->client = makeHttpClient(this->context, this->clock, option);
    this->run([&](boost::asio::yield_context yield) {
        EXPECT_EQ(this->open(this->first.address(), yield), ExchangeError::None);
        for (auto i = 0; i < 4; ++i)
            EXPECT_EQ(this->open(this->second.address(), yield), ExchangeError::None);
        EXPECT_EQ(this->client->openConnections(this->first.address()), 0U);
        EXPECT_EQ(this->client->openConnections(this->second.address()), 3U);
    });
}

TEST_F(ConnectionCountTest, NoneIsOpenedWhileAllAreInUse)
{
    auto option = HttpClientOption {};
    option.maxConnections = 1;
    this->client = makeHttpClient(this->context, this->clock, option);
    auto silent = RawServer(this->context, {});
    this->run([&](boost::asio::yield_context yield) {
        auto cancel = ExchangeCancel {};
        boost::asio::spawn(
            this->context,
            [&](boost::asio::yield_context other) {
                const auto exchangeOption = ExchangeOption { .deadline = this->clock.now() + 5s, .cancel = &cancel };
                this->client->exchange(silent.address(), { "GET", "/x", {}, {} }, exchangeOption, other);
            },
            boost::asio::detached);
        while (silent.requests.empty())
            boost::asio::post(this->context, yield);
        EXPECT_EQ(this->open(this->first.address(), yield), ExchangeError::ConnectFailed);
        cancel.cancel();
        while (this->client->openConnections(silent.address()) > 0)
            boost::asio::post(this->context, yield);
        EXPECT_EQ(this->open(this->first.address(), yield), ExchangeError::None);
    });
}

/// Guards against connections to targets that have left, which nothing would ever close.
TEST_F(ConnectionCountTest, ConnectionsToAForgottenAddressAreClosed)
{
    this->run([&](boost::asio::yield_context yield) {
        this->open(this->first.address(), yield);
        this->open(this->first.address(), yield);
        this->client->forget(this->first.address());
        EXPECT_EQ(this->client->openConnections(this->first.address()), 0U);
        EXPECT_EQ(this->open(this->first.address(), yield), ExchangeError::None);
        EXPECT_EQ(this->client->openConnections(this->first.address()), 1U) << "the address is in use again";
    });
}

TEST_F(ConnectionCountTest, IdleConnectionIsClosedAfterSomeTime)
{
    auto option = HttpClientOption {};
    option.maxIdleAge = 1s;
    this->client = makeHttpClient(this->context, this->clock, option);
    this->run([&](boost::asio::yield_context yield) {
        this->open(this->first.address(), yield);
        auto timer = boost::asio::steady_timer(this->context, 1100ms);
        timer.async_wait(yield);
        this->open(this->second.address(), yield);
        EXPECT_EQ(this->client->openConnections(this->first.address()), 0U);
    });
}

class EndlessAnswerTest : public HttpClientTest, public testing::WithParamInterface<CutCase> { };

/// The peer sends many bytes and then keeps the connection open.
TEST_P(EndlessAnswerTest, IsDroppedBeforeTheDeadline)
{
    auto target = RawServer(this->context, { { GetParam().bytes } });
    this->run([&](boost::asio::yield_context yield) {
        const auto exchange = this->post(target.address(), "1", yield);
        EXPECT_TRUE(exchange.error == ExchangeError::AnswerCut || exchange.error == ExchangeError::AnswerTooLarge)
            << static_cast<int>(exchange.error);
        EXPECT_EQ(this->client->openConnections(target.address()), 0U);
    });
}

auto endlessCases() -> std::vector<CutCase>
{
    constexpr auto manyBytes = std::size_t { 20'000'000 };
    constexpr auto manyHeads = 100;
    const auto repeat = [](const std::string& text) {
        auto repeated = std::string {};
        for (auto i = 0; i < manyHeads; ++i)
            repeated += text;
        return repeated;
    };
    const auto line = std::string { "HTTP/1.1 200 OK\r\n" };
    const auto chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "StatusLine", "HTTP/1.1 200 " + std::string(manyBytes, 'a') },
        { "NoAnswer", std::string(manyBytes, 'a') },
        { "EmptyLines", std::string(manyBytes, '\n') },
        { "Field", line + "X: " + std::string(manyBytes, 'a') },
        { "Body", line + "\r\n" + std::string(manyBytes, 'a') },
        { "ChunkSize", chunked + std::string(manyBytes, '0') },
        { "ChunkExtension", chunked + "1;" + std::string(manyBytes, 'a') },
        { "Trailer", chunked + "0\r\nX: " + std::string(manyBytes, 'a') },
        { "InterimHeads", repeat("HTTP/1.1 103 Early Hints\r\n\r\n") },
        { "AnswersToOthers", repeat("HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 1\r\n\r\na") },
    };
}

INSTANTIATE_TEST_SUITE_P(
    All, EndlessAnswerTest, testing::ValuesIn(endlessCases()), [](const auto& info) { return info.param.name; });

} // namespace
} // namespace citronloft
