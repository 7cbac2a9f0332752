/// @file
/// @brief HTTP/1.1 server with limits on header size, body size and time (Boost.Beast).
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/base/address.hpp"
#include "citronloft/base/config.hpp"
#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/body_memory.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Connection state of the caller of one request, as seen by the handler.
class CallerContext {
public:
    /// Remote address of the connection.
    Address caller;

    /// @return whether the caller is known to have closed its connection.
    [[nodiscard]] auto isDisconnected() const -> bool { return this->isClosed; }

    /// @brief Sets the function that asks the connection whether the caller has closed it; called by the server.
    auto setCloseProbe(std::function<bool()> probe) -> void { this->hasPeerClosed = std::move(probe); }

    /// @return whether the caller has closed its connection, even if the server has not read so far yet.
    [[nodiscard]] auto hasLeft() const -> bool
    {
        return this->isClosed || (this->hasPeerClosed && this->hasPeerClosed());
    }

    /// @brief Sets a callback that runs once when the caller closes its connection; runs it immediately if the
    /// connection is already closed. A null callback removes the previous one.
    auto onDisconnect(std::function<void()> callback) -> void
    {
        this->callback = std::move(callback);
        if (this->isClosed && this->callback)
            this->markDisconnected();
    }

    /// @brief Records that the caller has closed its connection and runs the callback; called by the server.
    auto markDisconnected() -> void
    {
        this->isClosed = true;
        if (const auto run = std::exchange(this->callback, nullptr))
            run();
    }

private:
    bool isClosed = false;
    std::function<void()> callback;
    std::function<bool()> hasPeerClosed;
};

/// @brief Why a server closes a connection, or does not take it, without a request of the caller's.
enum class ConnectionClosure : std::uint8_t {
    /// A header was not complete in time.
    HeaderTimeout,
    /// A body did not go on.
    BodyTimeout,
    /// The caller did not go on reading a response.
    ResponseTimeout,
    /// All connections are in use by requests that run.
    NoRoom,
};

/// @return the name of a reason in logs and metrics.
auto connectionClosureName(ConnectionClosure closure) -> const char*;

/// @brief Limits and timeouts of a server.
struct HttpServerOption {
    std::uint32_t headerLimitBytes = 16 * 1024;
    std::uint64_t bodyLimitBytes = 1024 * 1024;
    /// Memory for the bodies of all requests together; null does not bound it.
    std::shared_ptr<BodyMemory> bodyMemory {};
    /// Budget for what connections hold beside counted bodies, and for their number; null does not bound them.
    std::shared_ptr<ConnectionBudget> connectionBudget {};
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// Maximum time from the first byte of a request to the end of its header, and then for each
    /// ConnectionBudget::progressBytes of its body.
    std::chrono::milliseconds requestTimeout { 10'000 };
    /// Maximum time in which a caller takes ConnectionBudget::progressBytes of a response, or the rest of it.
    std::chrono::milliseconds writeTimeout { 10'000 };
    /// Receive buffer of each connection in bytes; larger ones are used while a body is read and memory is not short.
    /// 0 keeps the system's default, which lets a connection that is not read fill megabytes.
    std::size_t receiveBufferBytes = 0;
    std::uint32_t connectionLimit = 20'000;
    /// Called with the result code of each request that the server refuses before it reaches the handler, or whose
    /// handler throws.
    std::function<void(ResultCode)> onRefusal;
    /// Called for each connection that the server closes or does not take. Idle connections do not count.
    std::function<void(ConnectionClosure)> onClosure {};
};

/// @brief HTTP server. Pipelined requests of a connection are handled concurrently and answered in order.
///
/// Connections stay open until they are closed, by either side or at a time limit, or the server is destroyed.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(HttpRequest&, CallerContext&, boost::asio::yield_context)>;

    virtual ~HttpServer() = default;

    /// @brief Makes every later response close its connection, unless another request was already read after it.
    virtual auto closeAfterAnswers() -> void = 0;

    /// @brief Stops accepting connections and closes those without an unanswered request; the others read no further
    /// request and are closed after their last response.
    virtual auto closeIdle() -> void = 0;

    /// @brief Sets the limits for requests that are read after this call.
    virtual auto setLimits(const CallerLimits& limits) -> void = 0;

    /// @return the number of requests that have been read, partially or completely, and not yet answered.
    [[nodiscard]] virtual auto inFlight() const -> std::size_t = 0;

    /// @return the port on which the server listens.
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;
};

/// @brief Starts a server on `address`; port 0 selects a free port.
/// @return Unavailable if the address cannot be bound.
auto makeHttpServer(boost::asio::io_context& context, const Address& address, HttpServer::Handler handler,
    HttpServerOption option = {}) -> absl::StatusOr<std::shared_ptr<HttpServer>>;

/// @return a problem details response (application/problem+json) for a result code.
auto problemResponse(ResultCode code, std::chrono::milliseconds retryAfter = {}) -> HttpResponse;

} // namespace citronloft
