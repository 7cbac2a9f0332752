/// @file
/// @brief One caller's connection: requests are read ahead and handled side by side, answers go out in order.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/edge/http_server.hpp"

namespace citronloft {

/// @brief What all connections of a server share.
struct HttpSessionContext {
    boost::asio::io_context& context;
    HttpServer::Handler handler;
    HttpServerOption option;
    /// True: the next answer that nothing was read behind closes its connection.
    bool closing = false;
};

/// @brief A connection from its acceptance to its end.
///
/// An answer closes the connection only if no request has been read behind it: callers may repeat what stands behind a
/// closing answer, so such a request must not have been handled.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    using Tcp = boost::asio::ip::tcp;

    HttpSession(std::shared_ptr<HttpSessionContext> shared, Tcp::socket socket);

    /// @brief Reads requests until the connection ends.
    auto run(boost::asio::yield_context yield) -> void;

    /// @brief Closes the connection if it carries no request.
    auto closeIfIdle() -> void;

    /// @brief Ends a connection that is past one of its time limits.
    auto closeIfOverdue(TimePoint now) -> void;

    /// @return requests that have been read in part or whole and not yet answered.
    [[nodiscard]] auto busy() const -> std::size_t { return this->pending.size() + (this->isReading ? 1U : 0U); }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// A request whose answer has not been written.
    struct Pending {
        std::shared_ptr<CallerContext> caller;
        std::optional<Response> response;
        bool isLast = false;
        bool asksClose = false;
    };

    auto readOne(boost::asio::yield_context yield) -> bool;
    auto waitForBytes(boost::asio::yield_context yield) -> bool;
    auto waitForRoom(boost::asio::yield_context yield) -> bool;
    auto readRequest(Parser& parser, boost::asio::yield_context yield) -> boost::beast::error_code;
    auto writeContinue(boost::asio::yield_context yield) -> void;
    auto accept(Request&& request) -> bool;
    auto refuse(ResultCode code, boost::asio::yield_context yield) -> void;
    auto callHandler(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> HttpResponse;
    auto writeReady(boost::asio::yield_context yield) -> void;
    auto writeOne(Pending& answer, boost::asio::yield_context yield) -> bool;
    auto discardUntilClosed(boost::asio::yield_context yield) -> void;
    auto end() -> void;

    std::shared_ptr<HttpSessionContext> shared;
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer roomTimer;
    Address peer;
    std::deque<std::shared_ptr<Pending>> pending;
    bool isReading = false;
    bool isWriting = false;
    /// No further request is read.
    bool isStopped = false;
    bool hasEnded = false;
    TimePoint idleUntil = TimePoint::max();
    TimePoint readUntil = TimePoint::max();
    TimePoint writeUntil = TimePoint::max();
    TimePoint lingerUntil = TimePoint::max();
};

} // namespace citronloft
