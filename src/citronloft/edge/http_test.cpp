#include <gtest/gtest.h>

#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/http_server.hpp"
#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class HttpTest : public testing::Test {
protected:
    /// Runs a coroutine and the event loop until it has ended.
    auto run(const std::function<void(boost::asio::yield_context)>& action) -> void
    {
        auto isOver = false;
        boost::asio::spawn(
            this->context,
            [&](boost::asio::yield_context yield) {
                action(yield);
                isOver = true;
            },
            boost::asio::detached);
        while (!isOver && this->context.run_one_for(10s) > 0) { }
        EXPECT_TRUE(isOver);
    }

    auto startServer(HttpServerOption option = {}) -> Address
    {
        const auto handler = [this](HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) {
            ++this->handled;
            return this->handle(request, caller, yield);
        };
        this->server = *makeHttpServer(this->context, { "127.0.0.1", 0 }, handler, std::move(option));
        return { "127.0.0.1", this->server->port() };
    }

    auto get(const Address& address, boost::asio::yield_context yield, Duration deadline = 5s,
        Duration reuseWithin = 10s, const std::string& method = "GET") -> Exchange
    {
        return this->client->exchange(address, { method, "/x", {}, {} },
            { .deadline = this->clock.now() + deadline, .reuseWithin = reuseWithin }, yield);
    }

    boost::asio::io_context context;
    SteadyClock clock;
    std::shared_ptr<HttpClient> client = makeHttpClient(context, clock);
    std::shared_ptr<HttpServer> server;
    int handled = 0;
    std::function<HttpResponse(HttpRequest&, CallerContext&, boost::asio::yield_context)> handle
        = [](HttpRequest& request, CallerContext&, boost::asio::yield_context) {
              auto response = HttpResponse {};
              response.body = request.method + " " + request.target + " " + request.body;
              return response;
          };
};

struct BadRequest {
    std::string name;
    std::string bytes;
    std::string status;
};

class BadRequestTest : public HttpTest, public testing::WithParamInterface<BadRequest> { };

TEST_P(BadRequestTest, GetsAnErrorAndAClosedConnection)
{
    auto option = HttpServerOption {};
    option.bodyLimitBytes = 1000;
    option.headerLimitBytes = 4000;
    option.requestTimeout = 300ms;
    const auto address = this->startServer(option);
    this->run([&](boost::asio::yield_context yield) {
        const auto answer = sendRaw(this->context, address, GetParam().bytes, 5s, yield);
        EXPECT_TRUE(
            answer.starts_with("HTTP/1.1 " + GetParam().status) || (GetParam().status.empty() && answer.empty()))
            << answer;
        // One answer at most: nothing behind a malformed request is taken for another one.
        EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
    });
    EXPECT_EQ(this->handled, 0);
}

auto badRequests() -> std::vector<BadRequest>
{
    const auto smuggled = std::string { "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n" };
    return {
        { "LengthAndChunked",
            "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                + smuggled,
            "400" },
        { "ChunkedAndLength",
            "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"
                + smuggled,
            "400" },
        { "TwoLengths",
            "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef" + smuggled, "400" },
        { "BadLength", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: +5\r\n\r\nabcde" + smuggled, "400" },
        { "BadChunk", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n" + smuggled,
            "400" },
        { "UnknownCoding",
            "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" + smuggled, "400" },
        { "CodingThatIsNotChunked",
            "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled, "400" },
        { "TwoHosts", "GET /x HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n" + smuggled, "400" },
        { "SpaceBeforeColon", "GET /x HTTP/1.1\r\nHost : x\r\n\r\n" + smuggled, "400" },
        { "NotHttp", "hello\r\n\r\n", "400" },
        { "LongHeader", "GET /x HTTP/1.1\r\nHost: x\r\nA: " + std::string(5000, 'a') + "\r\n\r\n", "431" },
        { "LongBody", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n", "413" },
        { "SlowCaller", "GET /x HTTP/1.1\r\nHost: x\r\n", "" },
    };
}

INSTANTIATE_TEST_SUITE_P(
    All, BadRequestTest, testing::ValuesIn(badRequests()), [](const auto& info) { return info.param.name; });

TEST_F(HttpTest, ConnectionIsReusedForTheNextRequest)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        EXPECT_FALSE(this->get(address, yield).reused);
        const auto second = this->get(address, yield);
        EXPECT_TRUE(second.reused);
        EXPECT_EQ(second.response.body, "GET /x ");
        EXPECT_EQ(this->client->openConnections(address), 1U);
    });
}

TEST_F(HttpTest, RequestThatNeedsAProvedConnectionTakesAFreshOne)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        this->get(address, yield);
        EXPECT_FALSE(this->get(address, yield, 5s, 0s).reused);
    });
}

TEST_F(HttpTest, ConnectionWithAnAnswerOutstandingIsNeverReused)
{
    // The first answer comes only after its request was given up; it must reach nobody.
    auto target
        = RawServer(this->context, { { "", false }, { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew", false } });
    this->run([&](boost::asio::yield_context yield) {
        const auto first = this->get(target.address(), yield, 100ms);
        EXPECT_EQ(first.error, ExchangeError::AnswerTimeout);
        EXPECT_TRUE(first.sent);
        const auto second = this->get(target.address(), yield);
        EXPECT_FALSE(second.reused);
        EXPECT_EQ(second.response.body, "new");
        EXPECT_EQ(target.connections, 2U);
    });
}

TEST_F(HttpTest, BytesBehindAnAnswerPoisonTheConnection)
{
    auto target = RawServer(this->context,
        { { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb", false },
            { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc", false } });
    this->run([&](boost::asio::yield_context yield) {
        EXPECT_EQ(this->get(target.address(), yield).response.body, "a");
        const auto second = this->get(target.address(), yield);
        EXPECT_FALSE(second.reused);
        EXPECT_EQ(second.response.body, "c");
    });
}

TEST_F(HttpTest, AnswerThatNamesAnotherRequestBelongsToNobody)
{
    auto target = RawServer(this->context,
        { { "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 1\r\n\r\na"
            "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 1\r\n\r\nb",
            false } });
    this->run([&](boost::asio::yield_context yield) {
        auto option = ExchangeOption {};
        option.deadline = this->clock.now() + 5s;
        option.idField = "X-Id";
        option.id = "7";
        const auto exchange = this->client->exchange(target.address(), { "GET", "/x", {}, {} }, option, yield);
        EXPECT_EQ(exchange.response.body, "b");
        EXPECT_EQ(this->client->openConnections(target.address()), 0U);
    });
}

TEST_F(HttpTest, PipelinedRequestsAreHandledSideBySideAndAnsweredInOrder)
{
    this->handle = [this](HttpRequest& request, CallerContext&, boost::asio::yield_context yield) {
        auto timer = boost::asio::steady_timer(this->context);
        timer.expires_after(request.target == "/slow" ? 300ms : 0ms);
        timer.async_wait(yield);
        auto response = HttpResponse {};
        response.body = request.target;
        return response;
    };
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        const auto bytes = std::string { "GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /fast HTTP/1.1\r\nHost: x\r\n\r\n"
                                         "GET /slow HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" };
        const auto answer = sendRaw(this->context, address, bytes, 5s, yield);
        const auto first = answer.find("/slow");
        const auto second = answer.find("/fast");
        EXPECT_LT(first, second);
        EXPECT_LT(second, answer.rfind("/slow"));
    });
    EXPECT_EQ(this->handled, 3);
}

TEST_F(HttpTest, NothingIsHandledBehindARequestThatClosesTheConnection)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        const auto bytes = std::string { "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                         "GET /b HTTP/1.1\r\nHost: x\r\n\r\n" };
        sendRaw(this->context, address, bytes, 2s, yield);
    });
    EXPECT_EQ(this->handled, 1);
}

TEST_F(HttpTest, ClosingServerNamesTheCloseInTheLastOfSeveralAnswers)
{
    this->handle = [this](HttpRequest&, CallerContext&, boost::asio::yield_context yield) {
        auto timer = boost::asio::steady_timer(this->context, 200ms);
        timer.async_wait(yield);
        this->server->closeAfterAnswers();
        return HttpResponse {};
    };
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        const auto bytes = std::string { "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n" };
        const auto answer = sendRaw(this->context, address, bytes, 5s, yield);
        const auto second = answer.find("HTTP/1.1", 1);
        ASSERT_NE(second, std::string::npos);
        EXPECT_GT(answer.find("Connection: close"), second);
    });
    EXPECT_EQ(this->handled, 2);
}

struct Answer {
    std::string name;
    std::string method;
    std::string bytes;
    bool close = false;
    ExchangeError error = ExchangeError::None;
    unsigned status = 0;
    std::string body;
};

class AnswerTest : public HttpTest, public testing::WithParamInterface<Answer> { };

TEST_P(AnswerTest, IsReadWholeOrReportedAsCut)
{
    auto target = RawServer(this->context, { { GetParam().bytes, GetParam().close } });
    this->run([&](boost::asio::yield_context yield) {
        const auto exchange = this->get(target.address(), yield, 2s, 10s, GetParam().method);
        EXPECT_EQ(exchange.error, GetParam().error);
        if (GetParam().error != ExchangeError::None)
            return;
        EXPECT_EQ(exchange.response.status, GetParam().status);
        EXPECT_EQ(exchange.response.body, GetParam().body);
    });
}

auto answers() -> std::vector<Answer>
{
    return {
        { "Head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", false, ExchangeError::None, 200, "" },
        { "NoContent", "GET", "HTTP/1.1 204 No Content\r\n\r\n", false, ExchangeError::None, 204, "" },
        { "NotModified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", false, ExchangeError::None,
            304, "" },
        { "Interim", "GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
            ExchangeError::None, 200, "ok" },
        { "Chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            false, ExchangeError::None, 200, "abc" },
        { "CloseDelimited", "GET", "HTTP/1.1 200 OK\r\n\r\nall of it", true, ExchangeError::None, 200, "all of it" },
        { "Large", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + std::string(300000, 'x'), false,
            ExchangeError::None, 200, std::string(300000, 'x') },
        { "CutLength", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", true, ExchangeError::AnswerCut, 0,
            "" },
        { "CutChunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true,
            ExchangeError::AnswerCut, 0, "" },
        { "CutHeader", "GET", "HTTP/1.1 200 OK\r\nContent-Le", true, ExchangeError::AnswerCut, 0, "" },
        { "ClosedAtOnce", "GET", "", true, ExchangeError::ConnectionLost, 0, "" },
        { "TooLarge", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n", false,
            ExchangeError::AnswerTooLarge, 0, "" },
    };
}

INSTANTIATE_TEST_SUITE_P(
    All, AnswerTest, testing::ValuesIn(answers()), [](const auto& info) { return info.param.name; });

TEST_F(HttpTest, NoConnectionIsProvedNotSent)
{
    auto address = Address {};
    {
        auto closed = RawServer(this->context, {});
        address = closed.address();
    }
    this->run([&](boost::asio::yield_context yield) {
        const auto exchange = this->get(address, yield);
        EXPECT_EQ(exchange.error, ExchangeError::ConnectFailed);
        EXPECT_FALSE(exchange.sent);
    });
}

TEST_F(HttpTest, CallerThatGoesCancelsTheExchange)
{
    auto target = RawServer(this->context, {});
    auto wasGone = false;
    this->handle = [&](HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) {
        auto cancel = ExchangeCancel {};
        caller.onGone([&cancel] { cancel.cancel(); });
        const auto exchange = this->client->exchange(
            target.address(), request, { .deadline = this->clock.now() + 30s, .cancel = &cancel }, yield);
        wasGone = exchange.error == ExchangeError::Cancelled && caller.gone();
        return HttpResponse {};
    };
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        sendRaw(this->context, address, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n", 200ms, yield);
        auto timer = boost::asio::steady_timer(this->context);
        while (!wasGone || target.closed == 0) {
            timer.expires_after(10ms);
            timer.async_wait(yield);
        }
    });
    EXPECT_TRUE(wasGone);
}

TEST(CallerContext, ActionThatIsSetAfterTheCallerLeftRunsAtOnce)
{
    auto caller = CallerContext {};
    auto runs = 0;
    caller.onGone(nullptr);
    caller.markGone();
    caller.onGone([&] { ++runs; });
    EXPECT_EQ(runs, 1);
    caller.onGone(nullptr);
    EXPECT_EQ(runs, 1);
}

TEST_F(HttpTest, HandlerThatThrowsCostsItsOwnRequestOnly)
{
    this->handle = [](HttpRequest& request, CallerContext&, boost::asio::yield_context) -> HttpResponse {
        if (request.method == "HEAD")
            throw std::runtime_error("bad");
        return {};
    };
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        EXPECT_EQ(this->get(address, yield, 5s, 10s, "HEAD").response.status, 500U);
        EXPECT_EQ(this->get(address, yield).response.status, 200U);
    });
}

TEST_F(HttpTest, FullPeerGivesAnIdleConnectionUpForAFreshOne)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        this->get(address, yield);
        const auto option = ExchangeOption {
            .deadline = this->clock.now() + 5s, .reuseWithin = 0s, .cancel = nullptr, .connectionLimit = 1
        };
        EXPECT_EQ(this->client->exchange(address, { "GET", "/x", {}, {} }, option, yield).error, ExchangeError::None);
        EXPECT_EQ(this->client->openConnections(address), 1U);
    });
}

TEST_F(HttpTest, ClosingServerFinishesRequestsAndClosesIdleConnections)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        this->get(address, yield);
        this->server->closeAfterAnswers();
        const auto last = this->get(address, yield);
        EXPECT_EQ(last.error, ExchangeError::None);
        EXPECT_EQ(this->client->openConnections(address), 0U);
        this->server->closeIdle();
        EXPECT_EQ(this->get(address, yield).error, ExchangeError::ConnectFailed);
    });
}

TEST_F(HttpTest, RequestInTheMiddleOfItsBodyIsAnsweredWhenTheServerCloses)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        auto socket = boost::asio::ip::tcp::socket(this->context);
        socket.async_connect({ boost::asio::ip::make_address(address.ip), address.port }, yield);
        const auto head = std::string { "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc" };
        boost::asio::async_write(socket, boost::asio::buffer(head), yield);
        auto timer = boost::asio::steady_timer(this->context);
        while (this->server->inFlight() == 0) {
            timer.expires_after(1ms);
            timer.async_wait(yield);
        }
        this->server->closeIdle();
        boost::asio::async_write(socket, boost::asio::buffer(std::string { "def" }), yield);
        auto answer = std::string {};
        auto error = boost::system::error_code {};
        boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(answer), "abcdef", yield[error]);
        EXPECT_TRUE(answer.ends_with("POST /x abcdef")) << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    });
}

TEST_F(HttpTest, ProblemNamesCodeAndOutcome)
{
    const auto problem = problemResponse(ResultCode::RateExceeded, 1500ms);
    EXPECT_EQ(problem.status, 429U);
    EXPECT_EQ(problem.fields.get("Content-Type"), "application/problem+json");
    EXPECT_EQ(problem.fields.get("Citronloft-Outcome"), "not-run");
    EXPECT_EQ(problem.fields.get("Retry-After"), "2");
}

} // namespace
} // namespace citronloft
