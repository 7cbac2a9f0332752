#include "citronloft/edge/http_client.hpp"

#include <map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include "http_read.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// Capacity of an idle connection's receive buffer that is kept.
constexpr auto maxIdleBufferBytes = std::size_t { 8192 };
/// Maximum number of interim responses and responses to other requests before the response to a request.
constexpr auto maxSkippedResponses = 16;
/// Interval at which connections that have been idle for too long are closed.
constexpr auto expiryInterval = std::chrono::seconds { 1 };
constexpr auto firstErrorStatus = 400U;
constexpr auto minStatus = 100U;
constexpr auto maxStatus = 599U;

struct Connection {
    explicit Connection(asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxUnparsedBytes };
    TimePoint openedAt;
    TimePoint lastResponseAt;
    /// Whether a response has been read, so that a copy of it may follow.
    bool hasAnswered = false;
};

struct AddressPool {
    std::vector<std::unique_ptr<Connection>> idle;
    std::size_t open = 0;
    /// Whether the server's last error, or response without id, stated the request's id.
    bool identifiesErrors = false;
    /// Whether connections are closed after their exchange, since the address is no longer in use.
    bool isForgotten = false;
};

using OutgoingRequest = http::request<http::span_body<const char>>;

/// Returns a message that refers to the body of `plain`.
auto toBeast(const Address& address, const HttpRequest& plain) -> OutgoingRequest
{
    auto request = OutgoingRequest {};
    request.method_string(plain.method);
    request.target(plain.target);
    for (const auto& field : plain.fields)
        request.insert(field.name, field.value);
    if (request[http::field::host].empty())
        request.set(http::field::host, formatAddress(address));
    request.body() = { plain.body.data(), plain.body.size() };
    if (!plain.body.empty() || plain.method == "POST" || plain.method == "PUT")
        request.content_length(plain.body.size());
    return request;
}

using ResponseParser = http::response_parser<http::string_body>;

/// Reads the head of a response; the fields of a trailer are not among its fields.
auto readHead(Connection& connection, ResponseParser& parser, HttpResponse& response, asio::yield_context yield)
    -> beast::error_code
{
    if (const auto error = readHeader(connection.stream, connection.buffer, parser, yield))
        return error;
    response.status = parser.get().result_int();
    response.fields = copyFields(parser);
    return {};
}

class BeastHttpClient final : public HttpClient {
public:
    BeastHttpClient(asio::io_context& context, const Clock& clock, HttpClientOption option)
        : context(context)
        , clock(clock)
        , option(option)
    {
    }

    auto exchange(const Address& address, const HttpRequest& request, const ExchangeOption& exchangeOption,
        asio::yield_context yield) -> Exchange override
    {
        auto result = Exchange {};
        this->closeExpired();
        this->addressPools[address].isForgotten = false;
        auto message = toBeast(address, request);
        auto connection = this->needsNewConnection(address, exchangeOption)
            ? nullptr
            : this->acquireIdle(address, exchangeOption.maxIdleTime);
        result.reused = connection != nullptr;
        if (!connection)
            connection = this->openPooled(address, exchangeOption, result, yield);
        if (!connection)
            return result;
        try {
            const auto isReusable
                = this->sendAndReceive(*connection, std::move(message), exchangeOption, result, yield);
            if (result.identifiesErrors)
                this->addressPools[address].identifiesErrors = *result.identifiesErrors;
            this->release(address, std::move(connection), isReusable);
        } catch (const std::exception&) {
            this->release(address, std::move(connection), false);
            throw;
        }
        return result;
    }

    auto connect(const Address& address, TimePoint deadline, asio::yield_context yield) -> ConnectResult override
    {
        auto connection = Connection(this->context);
        const auto error = this->open(connection, address, deadline, yield);
        if (!error)
            return ConnectResult::Open;
        return error == asio::error::connection_refused ? ConnectResult::Refused : ConnectResult::Failed;
    }

    auto closeIdle(const Address& address) -> void override
    {
        auto& addressPool = this->addressPools[address];
        this->recordClosed(addressPool, addressPool.idle.size());
        addressPool.idle.clear();
    }

    auto forget(const Address& address) -> void override
    {
        const auto found = this->addressPools.find(address);
        if (found == this->addressPools.end())
            return;
        this->closeIdle(address);
        found->second.isForgotten = true;
        if (found->second.open == 0)
            this->addressPools.erase(found);
    }

    [[nodiscard]] auto openConnections(const Address& address) const -> std::size_t override
    {
        const auto found = this->addressPools.find(address);
        return found == this->addressPools.end() ? 0 : found->second.open;
    }

private:
    /// Returns whether the response can be recognized only as the first one of a connection.
    auto needsNewConnection(const Address& address, const ExchangeOption& exchangeOption) -> bool
    {
        if (exchangeOption.idField.empty())
            return false;
        return exchangeOption.id.empty()
            || (!exchangeOption.acceptsWithoutId && !this->addressPools[address].identifiesErrors);
    }

    /// Returns whether an idle connection is open and has no pending input. A readable connection was closed by the
    /// peer or holds a response without a request.
    static auto isIdleAndOpen(Connection& connection) -> bool
    {
        auto& socket = connection.stream.socket();
        auto error = beast::error_code {};
        auto byte = char {};
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    auto acquireIdle(const Address& address, Duration maxIdleTime) -> std::unique_ptr<Connection>
    {
        auto& addressPool = this->addressPools[address];
        const auto now = this->clock.now();
        while (!addressPool.idle.empty()) {
            auto connection = std::move(addressPool.idle.back());
            addressPool.idle.pop_back();
            const auto isWithinMaxAge = now - connection->openedAt < this->option.maxConnectionAge;
            if (!isWithinMaxAge || !isIdleAndOpen(*connection)) {
                this->recordClosed(addressPool, 1);
                continue;
            }
            if (now - connection->lastResponseAt < maxIdleTime)
                return connection;
            addressPool.idle.push_back(std::move(connection));
            return nullptr;
        }
        return nullptr;
    }

    /// Closes the oldest idle connection if the limit of the address, or of all addresses, is reached.
    /// @return whether another connection can be opened.
    auto makeRoom(const Address& address, std::size_t limit) -> bool
    {
        auto& addressPool = this->addressPools[address];
        if (addressPool.open >= limit)
            this->closeOldestIdle(addressPool);
        if (addressPool.open >= limit)
            return false;
        if (this->openConnectionCount >= this->option.maxConnections)
            this->closeOldestIdle();
        return this->openConnectionCount < this->option.maxConnections;
    }

    auto closeOldestIdle(AddressPool& addressPool) -> void
    {
        if (addressPool.idle.empty())
            return;
        addressPool.idle.erase(addressPool.idle.begin());
        this->recordClosed(addressPool, 1);
    }

    auto closeOldestIdle() -> void
    {
        AddressPool* oldest = nullptr;
        for (auto& [address, addressPool] : this->addressPools) {
            if (addressPool.idle.empty())
                continue;
            if (oldest == nullptr || addressPool.idle.front()->lastResponseAt < oldest->idle.front()->lastResponseAt)
                oldest = &addressPool;
        }
        if (oldest != nullptr)
            this->closeOldestIdle(*oldest);
    }

    /// Closes connections that have been idle for too long, at most once per interval.
    auto closeExpired() -> void
    {
        const auto now = this->clock.now();
        if (now < this->nextExpiryAt)
            return;
        this->nextExpiryAt = now + expiryInterval;
        for (auto& [address, addressPool] : this->addressPools) {
            while (
                !addressPool.idle.empty() && now - addressPool.idle.front()->lastResponseAt >= this->option.maxIdleAge)
                this->closeOldestIdle(addressPool);
        }
    }

    auto recordOpened(AddressPool& addressPool) -> void
    {
        ++addressPool.open;
        ++this->openConnectionCount;
    }

    auto recordClosed(AddressPool& addressPool, std::size_t count) -> void
    {
        addressPool.open -= count;
        this->openConnectionCount -= count;
    }

    auto open(Connection& connection, const Address& address, TimePoint deadline, asio::yield_context yield)
        -> beast::error_code
    {
        auto error = beast::error_code {};
        const auto ip = asio::ip::make_address(address.ip, error);
        connection.stream.expires_at(std::min(deadline, this->clock.now() + this->option.connectTimeout));
        if (!error)
            connection.stream.async_connect(Tcp::endpoint(ip, address.port), yield[error]);
        return error;
    }

    auto openPooled(const Address& address, const ExchangeOption& exchangeOption, Exchange& result,
        asio::yield_context yield) -> std::unique_ptr<Connection>
    {
        if (!this->makeRoom(address, exchangeOption.connectionLimit)) {
            result.error = ExchangeError::ConnectFailed;
            result.limited = true;
            return nullptr;
        }
        this->recordOpened(this->addressPools[address]);
        auto connection = std::make_unique<Connection>(this->context);
        if (auto error = this->open(*connection, address, exchangeOption.deadline, yield)) {
            const auto isTimeout = error == beast::error::timeout;
            result.error = isTimeout ? ExchangeError::ConnectTimeout : ExchangeError::ConnectFailed;
            this->recordClosed(this->addressPools[address], 1);
            this->eraseIfForgotten(address);
            return nullptr;
        }
        auto error = beast::error_code {};
        connection->stream.socket().set_option(Tcp::no_delay(true), error);
        // Closing the stream resets the connection and discards what was not delivered, so that a request that was
        // given up cannot arrive later. Idle connections are destroyed instead, which closes them in the usual way.
        connection->stream.socket().set_option(asio::socket_base::linger(true, 0), error);
        this->enableDeadPeerDetection(*connection);
        connection->openedAt = this->clock.now();
        return connection;
    }

    /// Makes the system close connections to an unreachable peer with an error, before the deadline of the exchange.
    auto enableDeadPeerDetection(Connection& connection) const -> void
    {
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
        using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
        auto error = beast::error_code {};
        if (this->option.tcpUserTimeout.count() > 0)
            connection.stream.socket().set_option(
                UserTimeout(static_cast<int>(this->option.tcpUserTimeout.count())), error);
        if (!this->option.usesTcpKeepAlive)
            return;
        // Probes after 1 s without traffic and each second after that. Two lost probes close the connection; with a
        // user timeout, Linux ignores the count and closes it at the first probe that is due after that time, if the
        // one before was lost.
        connection.stream.socket().set_option(Tcp::socket::keep_alive(true), error);
        connection.stream.socket().set_option(KeepAliveIdle(1), error);
        connection.stream.socket().set_option(KeepAliveInterval(1), error);
        connection.stream.socket().set_option(KeepAliveCount(2), error);
    }

    /// @return whether the connection can be reused.
    auto sendAndReceive(Connection& connection, OutgoingRequest request, const ExchangeOption& exchangeOption,
        Exchange& result, asio::yield_context yield) -> bool
    {
        auto* cancel = exchangeOption.cancel;
        // Opening the connection, or a busy event loop, may have taken all the time that was left.
        if (this->clock.now() >= exchangeOption.deadline)
            result.error = ExchangeError::TooLate;
        if (exchangeOption.isWithdrawn && exchangeOption.isWithdrawn())
            result.error = ExchangeError::Withdrawn;
        if (cancel != nullptr && cancel->isCancelled())
            result.error = ExchangeError::Cancelled;
        if (result.error != ExchangeError::None)
            return true;
        if (cancel != nullptr)
            cancel->action = [&connection] { connection.stream.close(); };
        result.sent = true;
        connection.stream.expires_at(exchangeOption.deadline);
        auto error = beast::error_code {};
        http::async_write(connection.stream, request, yield[error]);
        auto isReusable = false;
        if (error)
            result.error = exchangeErrorOf(error, false);
        else
            isReusable
                = this->readResponse(connection, request.method() == http::verb::head, exchangeOption, result, yield);
        if (cancel != nullptr)
            cancel->action = nullptr;
        if (cancel != nullptr && cancel->isRequested && result.error != ExchangeError::None)
            result.error = ExchangeError::Cancelled;
        return isReusable;
    }

    /// How a response relates to the request.
    enum class Relation : std::uint8_t {
        Answer,
        /// It may answer another request, so that the connection is not reused.
        UncertainAnswer,
        /// It is discarded, and the connection is not reused.
        Other,
        /// It is no response of the server.
        Invalid,
    };

    static auto isValid(const HttpResponse& response, const ExchangeOption& option) -> bool
    {
        return !option.isValid || option.isValid(response);
    }

    /// A status outside the protocol is checked first: neither the id nor the length of such a response can be
    /// believed, so it is neither an answer without id nor skipped as the answer to another request.
    static auto relationOf(const HttpResponse& response, bool isFirst, const ExchangeOption& option) -> Relation
    {
        if (response.status < minStatus || response.status > maxStatus)
            return Relation::Invalid;
        const auto responseId = response.fields.get(option.idField);
        const auto isFirstOfUnknownRequest = isFirst && (responseId.empty() || option.id.empty());
        if (option.idField.empty() || isFirstOfUnknownRequest || (!responseId.empty() && responseId == option.id))
            return isValid(response, option) ? Relation::Answer : Relation::Invalid;
        if (!responseId.empty())
            return Relation::Other;
        return option.acceptsWithoutId && option.acceptsWithoutId(response) ? Relation::UncertainAnswer
                                                                            : Relation::Other;
    }

    auto readResponse(Connection& connection, bool isHead, const ExchangeOption& exchangeOption, Exchange& result,
        asio::yield_context yield) -> bool
    {
        auto skippedResponse = false;
        for (auto skipped = 0; skipped < maxSkippedResponses; ++skipped) {
            auto parser = ResponseParser {};
            parser.body_limit(this->option.bodyLimitBytes);
            parser.skip(isHead);
            auto response = HttpResponse {};
            if (const auto error = readHead(connection, parser, response, yield)) {
                result.error = exchangeErrorOf(error, parser.got_some());
                return false;
            }
            if (response.status / 100 == 1)
                continue;
            const auto isFirst = !std::exchange(connection.hasAnswered, true);
            const auto relation = relationOf(response, isFirst, exchangeOption);
            // The body of what is no response may have no end.
            if (relation == Relation::Invalid) {
                result.error = ExchangeError::AnswerInvalid;
                return false;
            }
            if (const auto error = this->readBodyOf(connection, parser, response, relation, yield)) {
                result.error = exchangeErrorOf(error, true);
                return false;
            }
            const auto hasId = response.fields.has(exchangeOption.idField);
            if (!hasId || response.status >= firstErrorStatus)
                result.identifiesErrors = hasId;
            if (relation == Relation::Other) {
                skippedResponse = true;
                continue;
            }
            // Bytes after the response belong to no request, so the connection cannot be reused.
            const auto isReusable = parser.get().keep_alive() && !parser.get().need_eof()
                && connection.buffer.size() == 0 && !skippedResponse;
            connection.lastResponseAt = this->clock.now();
            result.response = std::move(response);
            return isReusable && relation == Relation::Answer;
        }
        result.error = ExchangeError::AnswerCut;
        return false;
    }

    /// Reads the body of a response, or discards it if the response belongs to another request.
    auto readBodyOf(Connection& connection, ResponseParser& parser, HttpResponse& response, Relation relation,
        asio::yield_context yield) -> beast::error_code
    {
        if (relation == Relation::Other)
            return discardBody(connection.stream, connection.buffer, parser, yield);
        response.reservation = std::make_shared<BodyReservation>(this->option.bodyMemory);
        if (const auto error = readBody(connection.stream, connection.buffer, parser, *response.reservation,
                this->option.bodyLimitBytes, yield))
            return error;
        response.body = std::move(parser.get().body());
        return {};
    }

    static auto exchangeErrorOf(const beast::error_code& error, bool gotSome) -> ExchangeError
    {
        if (error == beast::error::timeout)
            return ExchangeError::AnswerTimeout;
        if (error == http::error::body_limit)
            return ExchangeError::AnswerTooLarge;
        if (error == asio::error::no_memory)
            return ExchangeError::NoMemory;
        if (gotSome)
            return ExchangeError::AnswerCut;
        return ExchangeError::ConnectionLost;
    }

    auto release(const Address& address, std::unique_ptr<Connection> connection, bool isReusable) -> void
    {
        auto& addressPool = this->addressPools[address];
        // A large response has made the buffer grow; many idle connections would keep that memory.
        if (isReusable && connection->buffer.capacity() > maxIdleBufferBytes)
            connection->buffer.shrink_to_fit();
        const auto isKept
            = isReusable && !addressPool.isForgotten && addressPool.idle.size() < this->option.maxIdlePerAddress;
        if (isKept)
            addressPool.idle.push_back(std::move(connection));
        else
            this->recordClosed(addressPool, 1);
        this->eraseIfForgotten(address);
    }

    auto eraseIfForgotten(const Address& address) -> void
    {
        const auto found = this->addressPools.find(address);
        if (found != this->addressPools.end() && found->second.isForgotten && found->second.open == 0)
            this->addressPools.erase(found);
    }

    asio::io_context& context;
    const Clock& clock;
    HttpClientOption option;
    std::map<Address, AddressPool> addressPools;
    std::size_t openConnectionCount = 0;
    TimePoint nextExpiryAt {};
};

} // namespace

auto makeHttpClient(boost::asio::io_context& context, const Clock& clock, HttpClientOption option)
    -> std::shared_ptr<HttpClient>
{
    return std::make_shared<BeastHttpClient>(context, clock, option);
}

} // namespace citronloft
