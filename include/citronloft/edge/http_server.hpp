/// @file
/// @brief HTTP/1.1 server with limits on headers, bodies and slow callers (Boost.Beast).
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
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief What a handler knows of the caller of one request.
class CallerContext {
public:
    /// The caller's address.
    Address caller;

    /// @return whether the caller has closed its connection.
    [[nodiscard]] auto gone() const -> bool { return this->closed; }

    /// @brief Sets what runs once when the caller closes its connection; runs it now if that has happened already.
    auto onGone(std::function<void()> action) -> void
    {
        this->action = std::move(action);
        if (this->closed && this->action)
            this->markGone();
    }

    /// @brief Called by the server when the caller has closed its connection.
    auto markGone() -> void
    {
        this->closed = true;
        if (const auto run = std::exchange(this->action, nullptr))
            run();
    }

private:
    bool closed = false;
    std::function<void()> action;
};

/// @brief Limits and timeouts of a server.
struct HttpServerOption {
    std::uint32_t headerLimitBytes = 16 * 1024;
    std::uint64_t bodyLimitBytes = 1024 * 1024;
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// From a request's first byte to its last.
    std::chrono::milliseconds requestTimeout { 10'000 };
    std::chrono::milliseconds writeTimeout { 10'000 };
    std::uint32_t connectionLimit = 20'000;
    /// Called with the reason of each request that the server refuses itself.
    std::function<void(ResultCode)> onRefusal;
};

/// @brief An HTTP server. Requests of one connection are handled side by side and answered in their order.
///
/// Its connections live until they close or the server is destroyed.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(HttpRequest&, CallerContext&, boost::asio::yield_context)>;

    virtual ~HttpServer() = default;

    /// @brief From now on every answer closes its connection.
    virtual auto closeAfterAnswers() -> void = 0;

    /// @brief Stops accepting and closes connections that carry no request.
    virtual auto closeIdle() -> void = 0;

    /// @brief Puts other limits in force for requests that are read from now on.
    virtual auto setLimits(const CallerLimits& limits) -> void = 0;

    /// @return requests that have been read in part or whole and not yet answered.
    [[nodiscard]] virtual auto inFlight() const -> std::size_t = 0;

    /// @return the port that the server listens on.
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;
};

/// @brief Listens on `address`; port 0 picks a free one.
auto makeHttpServer(boost::asio::io_context& context, const Address& address, HttpServer::Handler handler,
    HttpServerOption option = {}) -> absl::StatusOr<std::shared_ptr<HttpServer>>;

/// @return problem details (application/problem+json) for a result of the system itself.
auto problemResponse(ResultCode code, std::chrono::milliseconds retryAfter = {}) -> HttpResponse;

} // namespace citronloft
