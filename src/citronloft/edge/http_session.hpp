/// @file
/// @brief One caller's connection: pipelined requests are handled concurrently and answered in order.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/edge/coroutine.hpp"
#include "citronloft/edge/http_server.hpp"
#include "session_account.hpp"
#include "session_deadlines.hpp"

namespace citronloft {

/// @brief State shared by all connections of a server.
struct HttpSessionContext {
    boost::asio::io_context& context;
    HttpServer::Handler handler;
    HttpServerOption option;
    /// Whether the next response closes its connection, unless another request was already read after it.
    bool closesConnections = false;
};

/// @brief An accepted connection.
///
/// A response closes the connection only if no later request has been read: callers may resend requests that follow a
/// closing response, so these must not have been handled.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    using Tcp = boost::asio::ip::tcp;

    HttpSession(std::shared_ptr<HttpSessionContext> sessionContext, Tcp::socket socket);

    /// @brief Counts the connection in the server's budget, if there is one; to be called once, before it runs.
    auto openAccount() -> void;

    /// @brief Reads and handles requests until the connection is closed; an exception closes it.
    auto runUntilClosed(boost::asio::yield_context yield) -> void;

    /// @brief Reads no further request, and closes the connection if it has no unanswered one.
    auto stopReading() -> void;

    /// @brief Closes the connection if one of its time limits has passed.
    auto closeIfOverdue(TimePoint now) -> void;

    /// @return the number of requests that have been read, partially or completely, and not yet answered.
    [[nodiscard]] auto unansweredRequests() const -> std::size_t
    {
        return this->pendingRequests.size() + (this->isReading ? 1U : 0U);
    }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// A request whose response has not been written yet.
    struct PendingRequest {
        std::shared_ptr<CallerContext> caller;
        std::optional<Response> response;
        /// Memory that the response's body takes until it is written.
        std::shared_ptr<BodyReservation> reservation;
        SessionAccount::Pending held;
        bool isLast = false;
        bool requestsClose = false;
    };

    auto run(boost::asio::yield_context yield) -> void;
    auto handleNextRequest(boost::asio::yield_context yield) -> bool;
    [[nodiscard]] auto mayReadAhead() const -> bool;
    auto waitForBytes(boost::asio::yield_context yield) -> bool;
    auto waitForPendingLimit(boost::asio::yield_context yield) -> bool;
    auto readRequest(Parser& parser, HttpRequest& request, boost::asio::yield_context yield)
        -> boost::beast::error_code;
    auto recordHeader(const Parser& parser, boost::asio::yield_context yield) -> bool;
    auto recordBody(const Parser& parser, std::size_t reservedBytes, boost::asio::yield_context yield) -> bool;
    auto waitForReturns(boost::asio::yield_context yield) -> void;
    auto recordResponse(PendingRequest& pendingRequest) -> void;
    auto updateState() -> void;
    auto shrinkBuffer() -> void;
    auto enlargeReceiveBuffer(const Parser& parser) -> void;
    auto restoreReceiveBuffer() -> void;
    auto setReceiveBuffer(std::size_t bytes) -> void;
    auto recordTaken(TimePoint now) -> void;
    [[nodiscard]] auto takenBytes() -> std::size_t;
    auto writeContinue(boost::asio::yield_context yield) -> void;
    auto startHandler(HttpRequest&& request, SessionAccount::Pending held, bool keepsAlive) -> bool;
    auto sendRefusal(ResultCode code, boost::asio::yield_context yield) -> void;
    auto callHandler(HttpRequest& request, PendingRequest& pendingRequest, boost::asio::yield_context yield) -> void;
    auto writeReadyResponses(boost::asio::yield_context yield) -> void;
    auto writeResponse(PendingRequest& pendingRequest, boost::asio::yield_context yield) -> bool;
    auto discardUntilClosed(boost::asio::yield_context yield) -> void;
    [[nodiscard]] auto hasPeerClosed() -> bool;
    auto closeConnection() -> void;

    std::shared_ptr<HttpSessionContext> sessionContext;
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer pendingLimitTimer;
    Address peer;
    std::deque<std::shared_ptr<PendingRequest>> pendingRequests;
    SessionAccount account;
    SessionDeadlines deadlines;
    /// Bytes that have been passed to the socket.
    std::size_t writtenBytes = 0;
    /// The receive buffer is larger than the server's, for a body.
    bool isReceiveBufferEnlarged = false;
    bool isReading = false;
    bool isWriting = false;
    /// No further request is read from this connection.
    bool isReadingStopped = false;
    bool isClosed = false;
};

} // namespace citronloft
