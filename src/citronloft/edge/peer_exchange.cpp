#include "citronloft/edge/peer_exchange.hpp"

#include <algorithm>
#include <array>
#include <list>
#include <variant>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/conversion.hpp>
#include <cereal/types/variant.hpp>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/digest.hpp"
#include "citronloft/edge/coroutine.hpp"
#include "citronloft/edge/listen.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Stream = boost::beast::tcp_stream;
using ErrorCode = boost::system::error_code;

/// Several times the configuration of the largest deployment.
constexpr auto maxFrameBytes = std::uint32_t { 32 * 1024 * 1024 };
/// Memory for a frame is allocated as its bytes arrive, since its length is not authenticated yet.
constexpr auto frameStepBytes = std::size_t { 256 } * 1024;
constexpr auto maxRequestBytes = std::uint32_t { 1024 };
constexpr auto exchangeTimeout = std::chrono::seconds { 10 };
/// Receive buffer of a connection at the peer port, which carries one request of at most maxRequestBytes.
constexpr auto requestBufferBytes = std::size_t { 4096 };
constexpr auto acceptRetryDelay = std::chrono::milliseconds { 50 };

/// Timeout of a feed request. A zone's reader normally answers within milliseconds; after a timeout the store is asked.
constexpr auto feedTimeout = std::chrono::milliseconds { 500 };

/// Response to a feed request: the batch, or the reason why there is none.
struct FeedReply {
    bool isHistoryExpired = false;
    bool hasBatch = false;
    ObjectBatch batch;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->isHistoryExpired, this->hasBatch, this->batch);
    }
};

/// Request with a nonce that the response's authentication code covers, so that old responses cannot be replayed.
struct PeerRequest {
    std::uint64_t nonce = 0;
    std::variant<ConfigRequest, FeedRequest> request;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->nonce, this->request); }
};

auto authenticationCode(
    const std::string& secret, std::string_view purpose, std::uint64_t nonce, const std::string& body) -> std::string
{
    const auto digest
        = hmacSha256(secret, std::string { purpose } + ":" + std::to_string(nonce) + ":" + toHex(sha256(body)));
    return { digest.begin(), digest.end() };
}

auto writeFrame(Stream& stream, const std::string& body, asio::yield_context yield) -> ErrorCode
{
    auto error = ErrorCode {};
    auto length = boost::endian::native_to_big(static_cast<std::uint32_t>(body.size()));
    const auto buffers = std::array<asio::const_buffer, 2> { asio::buffer(&length, sizeof length), asio::buffer(body) };
    asio::async_write(stream, buffers, yield[error]);
    return error;
}

auto readFrame(Stream& stream, std::uint32_t maxBytes, asio::yield_context yield) -> absl::StatusOr<std::string>
{
    auto error = ErrorCode {};
    auto length = std::uint32_t { 0 };
    asio::async_read(stream, asio::buffer(&length, sizeof length), yield[error]);
    boost::endian::big_to_native_inplace(length);
    if (error || length > maxBytes)
        return absl::UnavailableError("peer sent no frame, or a frame longer than the limit");
    auto body = std::string {};
    while (!error && body.size() < length) {
        const auto known = body.size();
        body.resize(std::min<std::size_t>(length, known + frameStepBytes));
        asio::async_read(stream, asio::buffer(body.data() + known, body.size() - known), yield[error]);
    }
    if (error)
        return absl::UnavailableError("connection closed before the complete frame was received");
    return body;
}

/// Verifies the authentication code at the start of a frame and returns the body.
auto verifyFrame(const std::string& secret, std::string_view purpose, std::uint64_t nonce, const std::string& frame)
    -> absl::StatusOr<std::string>
{
    constexpr auto authenticationCodeBytes = std::tuple_size_v<Digest>;
    if (frame.size() < authenticationCodeBytes)
        return absl::InvalidArgumentError("frame is shorter than its authentication code");
    auto body = frame.substr(authenticationCodeBytes);
    if (authenticationCode(secret, purpose, nonce, body) != frame.substr(0, authenticationCodeBytes))
        return absl::PermissionDeniedError("frame authentication failed: code does not match the content");
    return body;
}

class AsioPeerServer final : public PeerServer, public std::enable_shared_from_this<AsioPeerServer> {
public:
    AsioPeerServer(asio::io_context& context, std::string secret, PeerHandlers handlers, PeerServerOption option)
        : context(context)
        , acceptor(context)
        , acceptRetryTimer(context)
        , secret(std::move(secret))
        , handlers(std::move(handlers))
        , option(std::move(option))
    {
    }

    auto listen(const Address& address) -> absl::Status
    {
        if (const auto status = listenOn(this->acceptor, address, requestBufferBytes); !status.ok())
            return status;
        this->acceptNext();
        return absl::OkStatus();
    }

    auto stop() -> void override
    {
        auto ignored = ErrorCode {};
        this->acceptor.close(ignored);
        this->acceptRetryTimer.cancel();
    }

private:
    struct PeerConnection {
        Stream stream;
        /// Whether the other side has proved that it is a host of this fleet.
        bool isVerified = false;
    };
    using Connections = std::list<std::shared_ptr<PeerConnection>>;

    auto acceptNext() -> void
    {
        this->acceptor.async_accept([self = this->shared_from_this()](ErrorCode error, Tcp::socket socket) {
            if (!self->acceptor.is_open())
                return;
            if (error) {
                self->acceptLater();
                return;
            }
            if (self->makeRoom())
                runContained("peer-accept", [&] { self->startConnection(std::move(socket)); });
            self->acceptNext();
        });
    }

    /// Without a free file descriptor, the next attempt would fail at once.
    auto acceptLater() -> void
    {
        this->acceptRetryTimer.expires_after(acceptRetryDelay);
        this->acceptRetryTimer.async_wait([self = this->shared_from_this()](ErrorCode error) {
            if (!error && self->acceptor.is_open())
                self->acceptNext();
        });
    }

    /// At the limit, closes the oldest connection that has not proved to be a host's.
    auto makeRoom() -> bool
    {
        if (this->connections.size() < this->option.connectionLimit)
            return true;
        const auto oldest
            = std::ranges::find_if(this->connections, [](const auto& connection) { return !connection->isVerified; });
        if (this->option.onLimit)
            this->option.onLimit();
        if (oldest == this->connections.end())
            return false;
        (*oldest)->stream.close();
        this->connections.erase(oldest);
        return true;
    }

    auto startConnection(Tcp::socket socket) -> void
    {
        auto connection = std::make_shared<PeerConnection>(PeerConnection { Stream(std::move(socket)) });
        this->connections.push_back(connection);
        startCoroutine(
            this->context, "peer-connection", [self = this->shared_from_this(), connection](asio::yield_context yield) {
                runContained("peer-connection", [&] { self->serveConnection(*connection, yield); });
                self->connections.remove(connection);
            });
    }

    auto serveConnection(PeerConnection& connection, asio::yield_context yield) -> void
    {
        auto& stream = connection.stream;
        stream.expires_after(exchangeTimeout);
        const auto frame = readFrame(stream, maxRequestBytes, yield);
        if (!frame.ok())
            return;
        const auto body = verifyFrame(this->secret, "request", 0, *frame);
        if (!body.ok())
            return;
        connection.isVerified = true;
        const auto request = decode<PeerRequest>(*body);
        if (!request.ok())
            return;
        if (const auto reply = this->handleRequest(request->request))
            writeFrame(stream, authenticationCode(this->secret, "answer", request->nonce, *reply) + *reply, yield);
    }

    auto handleRequest(const std::variant<ConfigRequest, FeedRequest>& request) const -> std::optional<std::string>
    {
        if (const auto* feed = std::get_if<FeedRequest>(&request)) {
            auto batch = this->handlers.feed(*feed);
            auto answer = FeedReply { absl::IsOutOfRange(batch.status()), batch.ok(), {} };
            if (batch.ok())
                answer.batch = *std::move(batch);
            return encode(answer);
        }
        const auto update = this->handlers.config(std::get<ConfigRequest>(request));
        return update.ok() ? std::optional { encode(*update) } : std::nullopt;
    }

    asio::io_context& context;
    Tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    std::string secret;
    PeerHandlers handlers;
    PeerServerOption option;
    /// Open connections in the order in which they were accepted.
    Connections connections;
};

class AsioPeerFetcher final : public ConfigFetcher,
                              public FeedFetcher,
                              public std::enable_shared_from_this<AsioPeerFetcher> {
public:
    AsioPeerFetcher(asio::io_context& context, std::string secret)
        : context(context)
        , secret(std::move(secret))
    {
    }

    auto fetch(const Address& peer, const ConfigRequest& request, ConfigFetcher::Done done) -> void override
    {
        startCoroutine(this->context, "config-fetch",
            [self = this->shared_from_this(), peer, request, done = std::move(done)](asio::yield_context yield) {
                done(self->sendRequest<ConfigUpdate>(peer, request, exchangeTimeout, yield));
            });
    }

    auto fetchFeed(const Address& peer, const FeedRequest& request, FeedFetcher::Done done) -> void override
    {
        startCoroutine(this->context, "feed-fetch",
            [self = this->shared_from_this(), peer, request, done = std::move(done)](asio::yield_context yield) {
                auto answer = self->sendRequest<FeedReply>(peer, request, feedTimeout, yield);
                if (!answer.ok())
                    done(answer.status());
                else if (answer->isHistoryExpired)
                    done(absl::OutOfRangeError("peer no longer has the history since the requested revision"));
                else if (!answer->hasBatch)
                    done(absl::UnavailableError("peer has no connection to the store"));
                else
                    done(std::move(answer->batch));
            });
    }

private:
    /// Turns an exception into an error, so that each request is answered.
    template <typename Answer, typename Request>
    auto sendRequest(const Address& peer, const Request& request, Duration timeout, asio::yield_context yield)
        -> absl::StatusOr<Answer>
    {
        try {
            return this->exchange<Answer>(peer, request, timeout, yield);
        } catch (const std::exception& exception) {
            logException("peer-request", std::current_exception());
            return absl::InternalError(exception.what());
        }
    }

    template <typename Answer, typename Request>
    auto exchange(const Address& peer, const Request& request, Duration timeout, asio::yield_context yield)
        -> absl::StatusOr<Answer>
    {
        auto stream = Stream(this->context);
        auto error = ErrorCode {};
        stream.expires_after(timeout);
        const auto ip = asio::ip::make_address(peer.ip, error);
        if (!error)
            stream.async_connect(Tcp::endpoint(ip, peer.port), yield[error]);
        if (error)
            return absl::UnavailableError("cannot connect to the peer");
        const auto nonce = randomId();
        const auto body = encode(PeerRequest { nonce, request });
        if (writeFrame(stream, authenticationCode(this->secret, "request", 0, body) + body, yield))
            return absl::UnavailableError("cannot send the request to the peer");
        const auto frame = readFrame(stream, maxFrameBytes, yield);
        if (!frame.ok())
            return frame.status();
        const auto reply = verifyFrame(this->secret, "answer", nonce, *frame);
        return reply.ok() ? decode<Answer>(*reply) : reply.status();
    }

    asio::io_context& context;
    std::string secret;
};

} // namespace

auto makePeerServer(boost::asio::io_context& context, const Address& address, std::string secret, PeerHandlers handlers,
    PeerServerOption option) -> absl::StatusOr<std::shared_ptr<PeerServer>>
{
    auto server = std::make_shared<AsioPeerServer>(context, std::move(secret), std::move(handlers), std::move(option));
    if (const auto status = server->listen(address); !status.ok())
        return status;
    return server;
}

auto makeConfigFetcher(boost::asio::io_context& context, std::string secret) -> std::shared_ptr<ConfigFetcher>
{
    return std::make_shared<AsioPeerFetcher>(context, std::move(secret));
}

auto makeFeedFetcher(boost::asio::io_context& context, std::string secret) -> std::shared_ptr<FeedFetcher>
{
    return std::make_shared<AsioPeerFetcher>(context, std::move(secret));
}

} // namespace citronloft
