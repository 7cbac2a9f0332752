/// @file
/// @brief HTTP/1.1 client with pooled connections that are never reused while an answer is outstanding.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/base/address.hpp"
#include "citronloft/base/clock.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Why an exchange has no whole answer.
enum class ExchangeError : std::uint8_t {
    None,
    /// No connection was opened; no byte was sent.
    ConnectFailed,
    /// The deadline passed before a connection was open; no byte was sent.
    ConnectTimeout,
    /// The deadline passed after the request was sent.
    AnswerTimeout,
    /// The connection was lost before an answer began.
    ConnectionLost,
    /// The answer ended before it was whole.
    AnswerCut,
    AnswerTooLarge,
    /// The caller of the exchange cancelled it after the request was sent.
    Cancelled,
};

/// @brief Result of one exchange.
struct Exchange {
    ExchangeError error = ExchangeError::None;
    HttpResponse response;
    /// False: proved that no byte of the request left this host.
    bool sent = false;
    /// True: the request went out on a connection that had carried an answer before.
    bool reused = false;
};

/// @brief Cancels the exchange that it is passed to; valid until the exchange returns.
class ExchangeCancel {
public:
    /// @brief Closes the exchange's connection.
    auto cancel() -> void
    {
        this->requested = true;
        if (this->action)
            this->action();
    }

    /// @brief Set by the client while an exchange is under way.
    std::function<void()> action;
    bool requested = false;
};

/// @brief How one exchange treats pooled connections and time.
struct ExchangeOption {
    TimePoint deadline;
    /// Pooled connections whose last answer is older than this are not used; zero: always a fresh connection.
    Duration reuseWithin = std::chrono::seconds { 20 };
    ExchangeCancel* cancel = nullptr;
    /// Field by which an answer names its request; answers that name another one are skipped. Empty: not checked.
    std::string idField {};
    std::string id {};
    /// Connections to the address that may be open, idle ones included; at the limit an idle one is closed first.
    std::size_t connectionLimit = 1000;
};

/// @brief Limits of the pool.
struct HttpClientOption {
    std::uint64_t bodyLimitBytes = 8 * 1024 * 1024;
    std::size_t idlePerAddress = 64;
    /// Greatest age of a connection.
    std::chrono::seconds connectionAge { 120 };
    std::chrono::milliseconds connectTimeout { 1000 };
    /// Time after which sent bytes that the peer does not acknowledge end the connection; 0: the system's default.
    std::chrono::milliseconds acknowledgeTimeout { 0 };
    /// True: idle and waiting connections are probed, so that one whose path has gone silent ends.
    bool keepsAlive = false;
};

/// @brief Sends requests; every connection carries at most one request at a time.
class HttpClient {
public:
    virtual ~HttpClient() = default;

    /// @brief Sends one request and reads its whole answer.
    virtual auto exchange(const Address& address, const HttpRequest& request, const ExchangeOption& option,
        boost::asio::yield_context yield) -> Exchange = 0;

    /// @brief Closes every idle connection to `address`.
    virtual auto closeIdle(const Address& address) -> void = 0;

    /// @return open connections to `address`, idle ones included.
    [[nodiscard]] virtual auto openConnections(const Address& address) const -> std::size_t = 0;
};

/// @brief A client on `context`.
auto makeHttpClient(boost::asio::io_context& context, const Clock& clock, HttpClientOption option = {})
    -> std::shared_ptr<HttpClient>;

} // namespace citronloft
