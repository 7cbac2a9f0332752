#include "citronloft/edge/http_server.hpp"

#include <algorithm>
#include <array>
#include <list>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "citronloft/base/log.hpp"
#include "citronloft/edge/coroutine.hpp"
#include "citronloft/edge/listen.hpp"
#include "http_session.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr auto acceptRetryDelay = std::chrono::milliseconds { 50 };
constexpr auto minSweepInterval = std::chrono::milliseconds { 50 };
constexpr auto maxSweepInterval = std::chrono::milliseconds { 1000 };
/// Sweeps per shortest timeout; bounds by how much a timeout can be exceeded.
constexpr auto sweepsPerTimeout = 4;

class BeastHttpServer final : public HttpServer, public std::enable_shared_from_this<BeastHttpServer> {
public:
    BeastHttpServer(asio::io_context& context, Handler handler, HttpServerOption option)
        : sessionContext(
            std::make_shared<HttpSessionContext>(HttpSessionContext { context, std::move(handler), std::move(option) }))
        , acceptor(context)
        , sweepTimer(context)
    {
    }

    ~BeastHttpServer() override { this->sweepTimer.cancel(); }

    auto listen(const Address& address) -> absl::Status
    {
        if (const auto status = listenOn(this->acceptor, address, this->sessionContext->option.receiveBufferBytes);
            !status.ok())
            return status;
        startCoroutine(this->sessionContext->context, "http-accept",
            [self = this->shared_from_this()](asio::yield_context yield) { self->accept(yield); });
        this->scheduleSweep();
        return absl::OkStatus();
    }

    auto closeAfterAnswers() -> void override { this->sessionContext->closesConnections = true; }

    auto closeIdle() -> void override
    {
        this->sessionContext->closesConnections = true;
        auto ignored = boost::system::error_code {};
        this->acceptor.close(ignored);
        for (const auto& session : this->sessions)
            session->stopReading();
    }

    auto setLimits(const CallerLimits& limits) -> void override
    {
        this->sessionContext->option.headerLimitBytes = limits.headerBytes;
        this->sessionContext->option.bodyLimitBytes = limits.bodyBytes;
        this->sessionContext->option.idleTimeout = limits.idleTimeout;
        this->sessionContext->option.requestTimeout = limits.headerTimeout + bodyTimeout;
    }

    [[nodiscard]] auto inFlight() const -> std::size_t override
    {
        auto sum = std::size_t { 0 };
        for (const auto& session : this->sessions)
            sum += session->unansweredRequests();
        return sum;
    }

    [[nodiscard]] auto port() const -> std::uint16_t override { return this->acceptor.local_endpoint().port(); }

private:
    /// Time allowed for the body, in addition to the header timeout.
    static constexpr auto bodyTimeout = std::chrono::milliseconds { 10'000 };

    auto accept(asio::yield_context yield) -> void
    {
        while (this->acceptor.is_open()) {
            auto error = boost::system::error_code {};
            auto socket = Tcp::socket(this->sessionContext->context);
            this->acceptor.async_accept(socket, yield[error]);
            if (error == asio::error::operation_aborted)
                return;
            if (error || this->sessions.size() >= this->sessionContext->option.connectionLimit) {
                LogEvent(LogLevel::Warning, "accept-failed").with("reason", error.message());
                auto timer = asio::steady_timer(this->sessionContext->context, acceptRetryDelay);
                timer.async_wait(yield[error]);
                continue;
            }
            // A connection that finds no room is closed; nothing of it has been read.
            if (this->hasRoomForConnection())
                runContained("http-accept", [&] { this->start(std::move(socket)); });
        }
    }

    auto hasRoomForConnection() -> bool
    {
        const auto& option = this->sessionContext->option;
        const auto& budget = option.connectionBudget;
        if (!budget || budget->makeRoomForConnection(std::chrono::steady_clock::now()))
            return true;
        if (option.onClosure)
            option.onClosure(ConnectionClosure::NoRoom);
        return false;
    }

    auto start(Tcp::socket socket) -> void
    {
        auto ignored = boost::system::error_code {};
        socket.set_option(Tcp::no_delay(true), ignored);
        auto session = std::make_shared<HttpSession>(this->sessionContext, std::move(socket));
        session->openAccount();
        startCoroutine(this->sessionContext->context, "http-session",
            [self = this->shared_from_this(), session](asio::yield_context yield) {
                const auto position = self->sessions.insert(self->sessions.end(), session);
                session->runUntilClosed(yield);
                self->sessions.erase(position);
            });
    }

    auto scheduleSweep() -> void
    {
        const auto& option = this->sessionContext->option;
        const auto shortest = std::min({ option.idleTimeout, option.requestTimeout, option.writeTimeout });
        this->sweepTimer.expires_after(std::clamp(shortest / sweepsPerTimeout, minSweepInterval, maxSweepInterval));
        this->sweepTimer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            // Iterates over a copy, since closing a connection can remove its session from the list.
            const auto sessions = self->sessions;
            for (const auto& session : sessions)
                session->closeIfOverdue(std::chrono::steady_clock::now());
            self->scheduleSweep();
        });
    }

    std::shared_ptr<HttpSessionContext> sessionContext;
    Tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    std::list<std::shared_ptr<HttpSession>> sessions;
};

} // namespace

auto connectionClosureName(ConnectionClosure closure) -> const char*
{
    static constexpr auto names
        = std::to_array<const char*>({ "header-timeout", "body-timeout", "response-timeout", "no-room" });
    return names.at(static_cast<std::size_t>(closure));
}

auto makeHttpServer(boost::asio::io_context& context, const Address& address, HttpServer::Handler handler,
    HttpServerOption option) -> absl::StatusOr<std::shared_ptr<HttpServer>>
{
    auto server = std::make_shared<BeastHttpServer>(context, std::move(handler), std::move(option));
    if (const auto status = server->listen(address); !status.ok())
        return status;
    return server;
}

auto problemResponse(ResultCode code, std::chrono::milliseconds retryAfter) -> HttpResponse
{
    const auto& info = resultInfo(code);
    auto problem = nlohmann::json {
        { "type", "urn:citronloft:result:" + std::to_string(static_cast<unsigned>(code)) },
        { "title", info.name },
        { "status", info.httpStatus },
        { "detail", info.summary },
        { "code", static_cast<unsigned>(code) },
        { "outcome", outcomeName(info.outcome) },
    };
    auto response = HttpResponse { .status = info.httpStatus, .fields = {}, .body = problem.dump(), .close = false };
    response.fields.set("Content-Type", "application/problem+json");
    response.fields.set("Citronloft-Code", std::to_string(static_cast<unsigned>(code)));
    response.fields.set("Citronloft-Outcome", outcomeName(info.outcome));
    if (retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        response.fields.set("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

} // namespace citronloft
