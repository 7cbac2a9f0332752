// Callers that send or read slowly: those that go on are served however long it takes, those that have stopped, or
// transfer single bytes, are closed.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "citronloft/edge/http_server.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr auto timeout = std::chrono::milliseconds { 800 };
constexpr auto pause = std::chrono::milliseconds { 50 };

class SlowCallerTest : public testing::Test {
protected:
    using Socket = asio::ip::tcp::socket;

    auto run(const std::function<void(Socket&, asio::yield_context)>& act) -> void
    {
        auto isFinished = false;
        asio::spawn(
            this->context,
            [&](asio::yield_context yield) {
                auto socket = Socket(this->context);
                // A small receive buffer leaves unread bytes with the server.
                socket.open(asio::ip::tcp::v4());
                socket.set_option(asio::socket_base::receive_buffer_size(32 * 1024));
                socket.async_connect({ asio::ip::make_address("127.0.0.1"), this->server->port() }, yield);
                act(socket, yield);
                isFinished = true;
            },
            asio::detached);
        while (!isFinished && this->context.run_one_for(10s) > 0) { }
        EXPECT_TRUE(isFinished);
    }

    auto wait(asio::yield_context yield) -> void
    {
        auto error = boost::system::error_code {};
        auto timer = asio::steady_timer(this->context, pause);
        timer.async_wait(yield[error]);
    }

    /// Sends a text in pieces with pauses until all is sent or the connection is closed.
    auto sendSlowly(Socket& socket, const std::string& text, std::size_t pieceBytes, asio::yield_context yield) -> void
    {
        auto error = boost::system::error_code {};
        for (auto sent = std::size_t { 0 }; sent < text.size() && !error; sent += pieceBytes) {
            const auto size = std::min(pieceBytes, text.size() - sent);
            asio::async_write(socket, asio::buffer(text.data() + sent, size), yield[error]);
            this->wait(yield);
        }
    }

    auto option() -> HttpServerOption
    {
        auto option = HttpServerOption {};
        option.bodyLimitBytes = std::size_t { 64 } * 1024 * 1024;
        option.requestTimeout = timeout;
        option.writeTimeout = timeout;
        option.connectionBudget = std::make_shared<ConnectionBudget>(std::size_t { 64 } * 1024 * 1024);
        option.receiveBufferBytes = 8192;
        option.onClosure = [this](ConnectionClosure closure) { this->closures.push_back(closure); };
        return option;
    }

    asio::io_context context;
    std::string responseBody;
    std::vector<ConnectionClosure> closures;
    std::size_t receivedBodyBytes = 0;
    std::shared_ptr<HttpServer> server = *makeHttpServer(
        context, { "127.0.0.1", 0 },
        [this](HttpRequest& request, CallerContext&, const asio::yield_context&) {
            this->receivedBodyBytes = request.body.size();
            auto response = HttpResponse {};
            response.body = this->responseBody;
            return response;
        },
        option());
};

TEST_F(SlowCallerTest, SteadyReaderGetsTheWholeAnswer)
{
    constexpr auto pieceBytes = std::size_t { 150'000 };
    this->responseBody = std::string(8'000'000, 'r');
    this->run([&](Socket& socket, asio::yield_context yield) {
        asio::async_write(socket, asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: x\r\n\r\n" }), yield);
        auto text = std::string {};
        const auto headBytes = asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", yield);
        auto error = boost::system::error_code {};
        while (!error && text.size() < headBytes + this->responseBody.size()) {
            const auto wanted = std::min(pieceBytes, headBytes + this->responseBody.size() - text.size());
            asio::async_read(socket, asio::dynamic_buffer(text), asio::transfer_exactly(wanted), yield[error]);
            this->wait(yield);
        }
        EXPECT_EQ(text.size(), headBytes + this->responseBody.size());
    });
}

TEST_F(SlowCallerTest, ReaderThatStopsIsClosed)
{
    this->responseBody = std::string(20'000'000, 'r');
    this->run([&](Socket& socket, asio::yield_context yield) {
        asio::async_write(socket, asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: x\r\n\r\n" }), yield);
        while (this->server->inFlight() == 0)
            this->wait(yield);
        for (auto waits = 0; waits < 100 && this->server->inFlight() > 0; ++waits)
            this->wait(yield);
        EXPECT_EQ(this->server->inFlight(), 0U);
    });
    EXPECT_EQ(this->closures, std::vector { ConnectionClosure::ResponseTimeout });
}

TEST_F(SlowCallerTest, SteadySenderIsServed)
{
    const auto body = std::string(400'000, 'b');
    for (const auto isChunked : { false, true }) {
        this->run([&](Socket& socket, asio::yield_context yield) {
            const auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            const auto chunked = "Transfer-Encoding: chunked\r\n\r\n61a80\r\n" + body + "\r\n0\r\n\r\n";
            const auto request = "POST / HTTP/1.1\r\nHost: x\r\n" + (isChunked ? chunked : length);
            this->sendSlowly(socket, request, 8'000, yield);
            auto text = std::string {};
            auto error = boost::system::error_code {};
            asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", yield[error]);
            EXPECT_TRUE(text.starts_with("HTTP/1.1 200")) << text;
            EXPECT_EQ(std::exchange(this->receivedBodyBytes, 0), body.size());
        });
    }
}

/// Guards against connections that stay open for ever with a few bytes now and then.
TEST_F(SlowCallerTest, SenderOfSingleBytesIsClosed)
{
    for (const auto* head : { "GET / HTTP/1.1\r\nHost: x\r\nA: ", "POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" }) {
        this->run([&](Socket& socket, asio::yield_context yield) {
            const auto request = head + std::string(100, 'b');
            this->sendSlowly(socket, request, request.size() - 100, yield);
            auto error = boost::system::error_code {};
            for (auto sent = 0; sent < 200 && !error; ++sent) {
                asio::async_write(socket, asio::buffer("b", 1), yield[error]);
                this->wait(yield);
            }
            EXPECT_TRUE(error);
        });
    }
    EXPECT_EQ(this->closures, (std::vector { ConnectionClosure::HeaderTimeout, ConnectionClosure::BodyTimeout }));
}

} // namespace
} // namespace citronloft
