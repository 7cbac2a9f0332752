/// @file
/// @brief HTTP/1.1 client with pooled connections; a connection with an outstanding response is never reused.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/base/address.hpp"
#include "citronloft/base/clock.hpp"
#include "citronloft/edge/body_memory.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Reason why an exchange has no complete response.
enum class ExchangeError : std::uint8_t {
    None,
    /// The connection could not be opened; no byte was sent.
    ConnectFailed,
    /// The connection was not established in time; no byte was sent.
    ConnectTimeout,
    /// The deadline passed before the request could be sent; no byte was sent.
    TooLate,
    /// The server was withdrawn before the request could be sent; no byte was sent.
    Withdrawn,
    /// The deadline passed after the request was sent.
    AnswerTimeout,
    /// The connection was closed before the response began.
    ConnectionLost,
    /// The connection was closed before the response was complete.
    AnswerCut,
    AnswerTooLarge,
    /// This host has no memory for the response.
    NoMemory,
    /// The response is none that the server can have sent for the request.
    AnswerInvalid,
    /// The exchange was cancelled through its ExchangeCancel.
    Cancelled,
};

/// @brief Result of opening a connection.
enum class ConnectResult : std::uint8_t {
    Open,
    /// Nothing listens at the address.
    Refused,
    /// The connection was not opened in time, or for another reason.
    Failed,
};

/// @brief Result of one request and response.
struct Exchange {
    ExchangeError error = ExchangeError::None;
    HttpResponse response;
    /// False guarantees that no byte of the request was sent.
    bool sent = false;
    /// Whether the request was sent on a pooled connection.
    bool reused = false;
    /// Whether the connection limit was reached, so that the address was not contacted.
    bool limited = false;
    /// Whether the last error, or response without id, that was read stated an id; nothing if there was none.
    std::optional<bool> identifiesErrors {};
};

/// @brief Cancels the exchange that it is passed to; must outlive the exchange.
class ExchangeCancel {
public:
    /// @brief Cancels the exchange by closing its connection.
    auto cancel() -> void
    {
        this->isRequested = true;
        if (this->action)
            this->action();
    }

    /// @return whether the exchange is cancelled, or would be if its caller were asked.
    [[nodiscard]] auto isCancelled() const -> bool
    {
        return this->isRequested || (this->isAbandoned && this->isAbandoned());
    }

    /// @brief Closes the connection; set by the client while the exchange is in progress.
    std::function<void()> action;
    bool isRequested = false;
    /// @brief Asks, right before the request is sent, whether anybody still waits for the response; may be empty.
    std::function<bool()> isAbandoned;
};

/// @brief Deadline and connection use of one exchange.
struct ExchangeOption {
    TimePoint deadline;
    /// Pooled connections whose last response is older than this are not used; zero always opens a new connection.
    Duration maxIdleTime = std::chrono::seconds { 20 };
    ExchangeCancel* cancel = nullptr;
    /// Response field that echoes the request id; responses with an id other than `id` are discarded. Empty disables
    /// the check. A request without an id is sent on a new connection.
    std::string idField {};
    std::string id {};
    /// Decides whether a response without id counts if it is not the first one of its connection, so that it may be the
    /// copy of an earlier one; other responses without id are discarded. Empty accepts none, and pooled connections are
    /// used only to servers whose errors state the id.
    std::function<bool(const HttpResponse&)> acceptsWithoutId {};
    /// Decides whether the server can have sent a response for this request; others end the exchange with
    /// AnswerInvalid. Empty accepts all.
    std::function<bool(const HttpResponse&)> isValid {};
    /// Asks, right before the request is sent, whether the server must not get it any more; empty never withdraws it.
    std::function<bool()> isWithdrawn {};
    /// Maximum number of open connections to the address, idle ones included; at the limit an idle one is closed first.
    std::size_t connectionLimit = 1000;
};

/// @brief Limits and timeouts of an HTTP client.
struct HttpClientOption {
    std::uint64_t bodyLimitBytes = 8 * 1024 * 1024;
    /// Memory for the bodies of all responses together; null does not bound it.
    std::shared_ptr<BodyMemory> bodyMemory {};
    std::size_t maxIdlePerAddress = 64;
    /// Maximum number of open connections to all addresses together, idle ones included; at the limit the one that has
    /// been idle for longest is closed first.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    /// Time after which an idle connection is closed.
    std::chrono::seconds maxIdleAge { 20 };
    /// Maximum age of a connection that is reused.
    std::chrono::seconds maxConnectionAge { 120 };
    std::chrono::milliseconds connectTimeout { 1000 };
    /// Time after which a connection with unacknowledged sent bytes is closed (TCP_USER_TIMEOUT); 0 keeps the system's
    /// default.
    std::chrono::milliseconds tcpUserTimeout { 0 };
    /// Whether TCP keep-alive probes detect connections whose peer is no longer reachable.
    bool usesTcpKeepAlive = false;
};

/// @brief Sends HTTP requests; each connection carries at most one request at a time.
class HttpClient {
public:
    virtual ~HttpClient() = default;

    /// @brief Sends one request and reads the complete response.
    virtual auto exchange(const Address& address, const HttpRequest& request, const ExchangeOption& option,
        boost::asio::yield_context yield) -> Exchange = 0;

    /// @brief Opens a connection and closes it without having sent anything. It counts towards no limit.
    /// @param deadline the connect timeout of the client's options applies as well.
    virtual auto connect(const Address& address, TimePoint deadline, boost::asio::yield_context yield)
        -> ConnectResult = 0;

    /// @brief Closes every idle connection to `address`.
    virtual auto closeIdle(const Address& address) -> void = 0;

    /// @brief Closes every idle connection to an address that is no longer in use, and the others after their exchange.
    /// A later exchange uses the address again.
    virtual auto forget(const Address& address) -> void = 0;

    /// @return the number of open connections to `address`, including idle ones.
    [[nodiscard]] virtual auto openConnections(const Address& address) const -> std::size_t = 0;
};

/// @brief Creates a client that runs on `context`.
auto makeHttpClient(boost::asio::io_context& context, const Clock& clock, HttpClientOption option = {})
    -> std::shared_ptr<HttpClient>;

} // namespace citronloft
