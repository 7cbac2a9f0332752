/// @file
/// @brief Raw TCP server and client that send the exact bytes that a test specifies.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief Answers the n-th request over all connections with the n-th script; sends nothing when no script is left.
class RawServer {
public:
    struct Script {
        std::string bytes;
        bool close = false;
        /// Closes with a reset instead of an end of stream; has no effect without `close`.
        bool reset = false;
        /// Sent again and again after `bytes`, until the peer closes the connection; empty for none.
        std::string endless {};
    };

    RawServer(boost::asio::io_context& context, std::vector<Script> scripts)
        : context(context)
        , acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , scripts(std::move(scripts))
    {
        this->acceptNext();
    }

    [[nodiscard]] auto address() const -> Address { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    /// Request headers in order of arrival.
    std::vector<std::string> requests;
    /// Number of the connection of each request.
    std::vector<std::size_t> requestConnections;
    std::size_t connections = 0;
    /// Bytes of endless scripts that were sent over all connections.
    std::size_t endlessBytes = 0;
    /// Number of connections that the peer has closed.
    std::size_t closed = 0;

private:
    using Socket = boost::asio::ip::tcp::socket;

    auto acceptNext() -> void
    {
        this->acceptor.async_accept([this](boost::system::error_code error, Socket socket) {
            if (error)
                return;
            const auto number = ++this->connections;
            auto shared = std::make_shared<Socket>(std::move(socket));
            boost::asio::spawn(
                this->context,
                [this, shared, number](boost::asio::yield_context yield) { this->serve(*shared, number, yield); },
                boost::asio::detached);
            this->acceptNext();
        });
    }

    auto serve(Socket& socket, std::size_t number, boost::asio::yield_context yield) -> void
    {
        auto error = boost::system::error_code {};
        while (true) {
            auto text = std::string {};
            boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", yield[error]);
            if (error) {
                ++this->closed;
                return;
            }
            this->requests.push_back(text);
            this->requestConnections.push_back(number);
            const auto index = this->requests.size() - 1;
            if (index >= this->scripts.size())
                continue;
            boost::asio::async_write(socket, boost::asio::buffer(this->scripts[index].bytes), yield[error]);
            while (!error && !this->scripts[index].endless.empty())
                this->endlessBytes += boost::asio::async_write(
                    socket, boost::asio::buffer(this->scripts[index].endless), yield[error]);
            if (error) {
                ++this->closed;
                return;
            }
            if (!this->scripts[index].close)
                continue;
            if (this->scripts[index].reset)
                socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            socket.close(error);
            return;
        }
    }

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<Script> scripts;
};

/// @brief Sends bytes and returns everything received until the peer closes the connection or `limit` expires.
inline auto sendRaw(boost::asio::io_context& context, const Address& address, const std::string& bytes,
    std::chrono::milliseconds limit, boost::asio::yield_context yield) -> std::string
{
    auto socket = boost::asio::ip::tcp::socket(context);
    auto error = boost::system::error_code {};
    socket.async_connect({ boost::asio::ip::make_address(address.ip), address.port }, yield[error]);
    boost::asio::async_write(socket, boost::asio::buffer(bytes), yield[error]);
    auto timer = boost::asio::steady_timer(context, limit);
    timer.async_wait([&socket](boost::system::error_code waited) {
        if (!waited)
            socket.close();
    });
    auto answer = std::string {};
    while (!error) {
        auto part = std::array<char, 4096> {};
        const auto size = socket.async_read_some(boost::asio::buffer(part), yield[error]);
        answer.append(part.data(), size);
    }
    timer.cancel();
    return answer;
}

} // namespace citronloft
