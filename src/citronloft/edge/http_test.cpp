#include <gtest/gtest.h>

#include <boost/asio/read.hpp>

#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/http_server.hpp"
#include "fakes/raw_peer.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

class HttpTest : public testing::Test {
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

    auto startServer(HttpServerOption option = {}) -> Address
    {
        const auto handler = [this](HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) {
            ++this->handledRequests;
            return this->handle(request, caller, yield);
        };
        this->server = *makeHttpServer(this->context, { "127.0.0.1", 0 }, handler, std::move(option));
        return { "127.0.0.1", this->server->port() };
    }

    auto get(const Address& address, boost::asio::yield_context yield, Duration deadline = 5s,
        Duration maxIdleTime = 10s, const std::string& method = "GET") -> Exchange
    {
        return this->client->exchange(address, { method, "/x", {}, {} },
            { .deadline = this->clock.now() + deadline, .maxIdleTime = maxIdleTime }, yield);
    }

    boost::asio::io_context context;
    SteadyClock clock;
    std::shared_ptr<HttpClient> client = makeHttpClient(context, clock);
    std::shared_ptr<HttpServer> server;
    int handledRequests = 0;
    std::function<HttpResponse(HttpRequest&, CallerContext&, boost::asio::yield_context)> handle
        = [](HttpRequest& request, CallerContext&, boost::asio::yield_context) {
              auto response = HttpResponse {};
              response.body = request.method + " " + request.target + " " + request.body;
              return response;
          };
};

struct BadRequestCase {
    std::string name;
    std::string bytes;
    std::string status;
};

class BadRequestTest : public HttpTest, public testing::WithParamInterface<BadRequestCase> { };

TEST_P(BadRequestTest, IsRefusedAndConnectionIsClosed)
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
        // At most one response: bytes after a malformed request must not be read as another request.
        EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
    });
    EXPECT_EQ(this->handledRequests, 0);
}

auto badRequestCases() -> std::vector<BadRequestCase>
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
        { "LongTrailer",
            "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + std::string(70'000, 'a')
                + "\r\n\r\n",
            "431" },
        { "SlowCaller", "GET /x HTTP/1.1\r\nHost: x\r\n", "" },
    };
}

INSTANTIATE_TEST_SUITE_P(
    All, BadRequestTest, testing::ValuesIn(badRequestCases()), [](const auto& info) { return info.param.name; });

/// Guards against a field of a request that ends the process, where the limit on headers allows it.
TEST_F(HttpTest, LongFieldWithinTheLimitEndsOnlyItsConnection)
{
    auto option = HttpServerOption {};
    option.headerLimitBytes = 200'000;
    const auto address = this->startServer(option);
    this->run([&](boost::asio::yield_context yield) {
        const auto field = "A: " + std::string(70'000, 'a') + "\r\n\r\n";
        const auto answer = sendRaw(this->context, address, "GET /x HTTP/1.1\r\nHost: x\r\n" + field, 5s, yield);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 4")) << answer;
        EXPECT_EQ(this->get(address, yield).error, ExchangeError::None);
    });
}

TEST_F(HttpTest, TrailerIsNoPartOfTheHead)
{
    auto names = std::vector<std::string> {};
    this->handle = [&](HttpRequest& request, CallerContext&, boost::asio::yield_context) {
        for (const auto& field : request.fields)
            names.push_back(field.name);
        auto response = HttpResponse {};
        response.body = request.body;
        return response;
    };
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        const auto answer = sendRaw(this->context, address,
            "POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\nX-Key: forged\r\n\r\n",
            5s, yield);
        EXPECT_TRUE(answer.ends_with("abc")) << answer;
    });
    EXPECT_EQ(names, (std::vector<std::string> { "Host", "Connection", "Transfer-Encoding" }));
}

TEST_F(HttpTest, IdleConnectionIsReused)
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

TEST_F(HttpTest, ZeroReuseAgeOpensNewConnection)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        this->get(address, yield);
        EXPECT_FALSE(this->get(address, yield, 5s, 0s).reused);
    });
}

TEST_F(HttpTest, ConnectionWithOutstandingResponseIsNotReused)
{
    // The first response arrives after its exchange has timed out; it must not be returned for the second request.
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

TEST_F(HttpTest, RequestThatWasGivenUpIsNotDeliveredLater)
{
    // The server's receive window holds only a part of the request, as if the rest were held up by the network.
    constexpr auto receiveBufferBytes = 4096;
    constexpr auto bodyBytes = std::size_t { 64 } * 1024;
    using Tcp = boost::asio::ip::tcp;
    auto acceptor = Tcp::acceptor(this->context);
    acceptor.open(Tcp::v4());
    acceptor.set_option(Tcp::acceptor::receive_buffer_size(receiveBufferBytes));
    acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.listen();
    this->run([&](boost::asio::yield_context yield) {
        const auto exchange = this->client->exchange({ "127.0.0.1", acceptor.local_endpoint().port() },
            { "POST", "/x", {}, std::string(bodyBytes, 'x') }, { .deadline = this->clock.now() + 200ms }, yield);
        EXPECT_EQ(exchange.error, ExchangeError::AnswerTimeout);
        auto peer = acceptor.accept();
        auto received = std::string {};
        auto error = boost::system::error_code {};
        boost::asio::async_read(peer, boost::asio::dynamic_buffer(received), yield[error]);
        EXPECT_EQ(error, boost::asio::error::connection_reset);
        EXPECT_LT(received.size(), bodyBytes);
    });
}

TEST_F(HttpTest, ConnectionWithBytesAfterResponseIsNotReused)
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

TEST_F(HttpTest, ResponseWithOtherRequestIdIsDiscarded)
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

TEST_F(HttpTest, PipelinedRequestsAreHandledConcurrentlyAndAnsweredInOrder)
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
    EXPECT_EQ(this->handledRequests, 3);
}

TEST_F(HttpTest, RequestsAfterConnectionCloseAreNotHandled)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        const auto bytes = std::string { "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                         "GET /b HTTP/1.1\r\nHost: x\r\n\r\n" };
        sendRaw(this->context, address, bytes, 2s, yield);
    });
    EXPECT_EQ(this->handledRequests, 1);
}

TEST_F(HttpTest, ClosingServerSendsConnectionCloseOnlyInLastPipelinedResponse)
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
    EXPECT_EQ(this->handledRequests, 2);
}

struct ResponseCase {
    std::string name;
    std::string method;
    std::string bytes;
    bool close = false;
    ExchangeError error = ExchangeError::None;
    unsigned status = 0;
    std::string body;
};

class ResponseTest : public HttpTest, public testing::WithParamInterface<ResponseCase> { };

TEST_P(ResponseTest, IsReadCompletelyOrReportedAsFailed)
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

auto responseCases() -> std::vector<ResponseCase>
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
        { "ClosedWithoutResponse", "GET", "", true, ExchangeError::ConnectionLost, 0, "" },
        { "TooLarge", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n", false,
            ExchangeError::AnswerTooLarge, 0, "" },
    };
}

INSTANTIATE_TEST_SUITE_P(
    All, ResponseTest, testing::ValuesIn(responseCases()), [](const auto& info) { return info.param.name; });

TEST_F(HttpTest, FailedConnectReportsRequestNotSent)
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

TEST_F(HttpTest, CallerDisconnectCancelsExchange)
{
    auto target = RawServer(this->context, {});
    auto wasCancelled = false;
    this->handle = [&](HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) {
        auto cancel = ExchangeCancel {};
        caller.onDisconnect([&cancel] { cancel.cancel(); });
        const auto exchange = this->client->exchange(
            target.address(), request, { .deadline = this->clock.now() + 30s, .cancel = &cancel }, yield);
        wasCancelled = exchange.error == ExchangeError::Cancelled && caller.isDisconnected();
        return HttpResponse {};
    };
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        sendRaw(this->context, address, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n", 200ms, yield);
        auto timer = boost::asio::steady_timer(this->context);
        while (!wasCancelled || target.closed == 0) {
            timer.expires_after(10ms);
            timer.async_wait(yield);
        }
    });
    EXPECT_TRUE(wasCancelled);
}

TEST(CallerContext, CallbackSetAfterDisconnectRunsImmediately)
{
    auto caller = CallerContext {};
    auto runs = 0;
    caller.onDisconnect(nullptr);
    caller.markDisconnected();
    caller.onDisconnect([&] { ++runs; });
    EXPECT_EQ(runs, 1);
    caller.onDisconnect(nullptr);
    EXPECT_EQ(runs, 1);
}

TEST_F(HttpTest, HandlerExceptionFailsOnlyItsRequest)
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

TEST_F(HttpTest, ConnectionLimitClosesIdleConnectionForNewOne)
{
    const auto address = this->startServer();
    this->run([&](boost::asio::yield_context yield) {
        this->get(address, yield);
        const auto option = ExchangeOption {
            .deadline = this->clock.now() + 5s, .maxIdleTime = 0s, .cancel = nullptr, .connectionLimit = 1
        };
        EXPECT_EQ(this->client->exchange(address, { "GET", "/x", {}, {} }, option, yield).error, ExchangeError::None);
        EXPECT_EQ(this->client->openConnections(address), 1U);
    });
}

TEST_F(HttpTest, ClosingServerAnswersRequestsAndClosesIdleConnections)
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

/// Its bytes are in the socket's buffer when the server closes the idle connection, so it can no longer be answered.
TEST_F(HttpTest, RequestThatArrivesAsServerClosesIsNotHandled)
{
    const auto address = this->startServer();
    const auto request = std::string { "GET /x HTTP/1.1\r\nHost: x\r\n\r\n" };
    this->run([&](boost::asio::yield_context yield) {
        auto error = boost::system::error_code {};
        auto socket = boost::asio::ip::tcp::socket(this->context);
        socket.async_connect({ boost::asio::ip::make_address(address.ip), address.port }, yield[error]);
        auto bytes = std::array<char, 4096> {};
        boost::asio::write(socket, boost::asio::buffer(request), error);
        socket.async_read_some(boost::asio::buffer(bytes), yield[error]);
        EXPECT_EQ(this->handledRequests, 1);
        boost::asio::write(socket, boost::asio::buffer(request), error);
        this->server->closeIdle();
        EXPECT_EQ(socket.async_read_some(boost::asio::buffer(bytes), yield[error]), 0U);
        auto timer = boost::asio::steady_timer(this->context, 50ms);
        timer.async_wait(yield[error]);
    });
    EXPECT_EQ(this->handledRequests, 1);
}

/// Guards against requests that begin late in a planned stop, since they come behind a slow one.
TEST_F(HttpTest, RequestBehindAnotherIsNotReadAfterServerCloses)
{
    this->handle = [this](HttpRequest&, CallerContext&, boost::asio::yield_context yield) {
        auto error = boost::system::error_code {};
        auto timer = boost::asio::steady_timer(this->context, 100ms);
        timer.async_wait(yield[error]);
        return HttpResponse {};
    };
    const auto address = this->startServer();
    const auto request = std::string { "GET /x HTTP/1.1\r\nHost: x\r\n\r\n" };
    this->run([&](boost::asio::yield_context yield) {
        auto error = boost::system::error_code {};
        auto socket = boost::asio::ip::tcp::socket(this->context);
        socket.async_connect({ boost::asio::ip::make_address(address.ip), address.port }, yield);
        boost::asio::async_write(socket, boost::asio::buffer(request), yield);
        auto timer = boost::asio::steady_timer(this->context);
        while (this->server->inFlight() == 0) {
            timer.expires_after(1ms);
            timer.async_wait(yield);
        }
        this->server->closeIdle();
        boost::asio::async_write(socket, boost::asio::buffer(request), yield);
        auto answers = std::string {};
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(answers), yield[error]);
        EXPECT_EQ(error, boost::asio::error::eof);
        EXPECT_TRUE(answers.starts_with("HTTP/1.1 200")) << answers;
        EXPECT_NE(answers.find("Connection: close"), std::string::npos) << answers;
        EXPECT_EQ(answers.find("HTTP/1.1", 1), std::string::npos) << answers;
    });
    EXPECT_EQ(this->handledRequests, 1);
}

TEST_F(HttpTest, PartiallyReadRequestIsAnsweredWhenServerCloses)
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

TEST_F(HttpTest, ProblemResponseContainsStatusOutcomeAndRetryAfter)
{
    const auto problem = problemResponse(ResultCode::RateExceeded, 1500ms);
    EXPECT_EQ(problem.status, 429U);
    EXPECT_EQ(problem.fields.get("Content-Type"), "application/problem+json");
    EXPECT_EQ(problem.fields.get("Citronloft-Outcome"), "not-run");
    EXPECT_EQ(problem.fields.get("Retry-After"), "2");
}

} // namespace
} // namespace citronloft
