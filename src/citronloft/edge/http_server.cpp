#include "citronloft/edge/http_server.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

#include <nlohmann/json.hpp>

#include "citronloft/base/log.hpp"
#include "citronloft/edge/listen.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using BeastRequest = http::request<http::string_body>;
using BeastResponse = http::response<http::string_body>;

constexpr auto acceptRetryDelay = std::chrono::milliseconds { 50 };

struct Connection {
    explicit Connection(Tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool busy = false;
};

auto refusalOf(const beast::error_code& error) -> ResultCode
{
    if (error == http::error::body_limit)
        return ResultCode::BodyTooLarge;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return ResultCode::HeaderTooLarge;
    return ResultCode::MalformedRequest;
}

/// A transfer coding other than plain "chunked" could be read as another length by the next server.
auto hasAmbiguousLength(const http::request<http::string_body>& request) -> bool
{
    const auto codings = request.count(http::field::transfer_encoding);
    const auto isChunked = beast::iequals(request[http::field::transfer_encoding], "chunked");
    return codings > 1 || (codings == 1 && !isChunked) || request.count(http::field::host) > 1;
}

auto isProtocolError(const beast::error_code& error) -> bool
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

auto toPlain(BeastRequest&& request) -> HttpRequest
{
    auto plain = HttpRequest {};
    plain.method = std::string { request.method_string() };
    plain.target = std::string { request.target() };
    for (const auto& field : request)
        plain.fields.add(std::string_view { field.name_string() }, std::string_view { field.value() });
    plain.body = std::move(request.body());
    return plain;
}

auto toBeast(HttpResponse&& plain, bool isHead) -> BeastResponse
{
    auto response = BeastResponse {};
    response.result(plain.status);
    for (const auto& field : plain.fields)
        response.insert(field.name, field.value);
    const auto bodiless = plain.status == 204 || plain.status == 304;
    if (isHead || bodiless)
        return response;
    response.body() = std::move(plain.body);
    response.content_length(response.body().size());
    return response;
}

class BeastHttpServer final : public HttpServer, public std::enable_shared_from_this<BeastHttpServer> {
public:
    BeastHttpServer(asio::io_context& context, Handler handler, HttpServerOption option)
        : context(context)
        , acceptor(context)
        , handler(std::move(handler))
        , option(std::move(option))
    {
    }

    auto listen(const Address& address) -> absl::Status
    {
        if (const auto status = listenOn(this->acceptor, address); !status.ok())
            return status;
        asio::spawn(
            this->context, [self = this->shared_from_this()](asio::yield_context yield) { self->accept(yield); },
            asio::detached);
        return absl::OkStatus();
    }

    auto closeAfterAnswers() -> void override { this->closing = true; }

    auto closeIdle() -> void override
    {
        this->closing = true;
        auto ignored = beast::error_code {};
        this->acceptor.close(ignored);
        for (auto* connection : this->connections) {
            if (!connection->busy)
                connection->stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
        }
    }

    [[nodiscard]] auto inFlight() const -> std::size_t override { return this->busyCount; }

    [[nodiscard]] auto port() const -> std::uint16_t override { return this->acceptor.local_endpoint().port(); }

private:
    auto accept(asio::yield_context yield) -> void
    {
        while (this->acceptor.is_open()) {
            auto error = beast::error_code {};
            auto socket = Tcp::socket(this->context);
            this->acceptor.async_accept(socket, yield[error]);
            if (error == asio::error::operation_aborted)
                return;
            if (error || this->connections.size() >= this->option.connectionLimit) {
                auto timer = asio::steady_timer(this->context, acceptRetryDelay);
                timer.async_wait(yield[error]);
                continue;
            }
            this->start(std::move(socket));
        }
    }

    auto start(Tcp::socket socket) -> void
    {
        auto ignored = beast::error_code {};
        socket.set_option(Tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(std::move(socket));
        asio::spawn(
            this->context,
            [self = this->shared_from_this(), connection](asio::yield_context yield) {
                const auto place = self->connections.insert(self->connections.end(), connection.get());
                self->serve(connection, yield);
                self->connections.erase(place);
            },
            asio::detached);
    }

    auto serve(const std::shared_ptr<Connection>& connection, asio::yield_context yield) -> void
    {
        while (this->serveOne(connection, yield)) { }
        auto ignored = beast::error_code {};
        connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    auto waitForRequest(Connection& connection, asio::yield_context yield) -> bool
    {
        if (connection.buffer.size() > 0)
            return true;
        auto error = beast::error_code {};
        connection.stream.expires_after(this->option.idleTimeout);
        const auto size = connection.stream.async_read_some(connection.buffer.prepare(1), yield[error]);
        connection.buffer.commit(size);
        return !error;
    }

    auto serveOne(const std::shared_ptr<Connection>& connection, asio::yield_context yield) -> bool
    {
        if (!this->waitForRequest(*connection, yield))
            return false;
        connection->busy = true;
        ++this->busyCount;
        const auto keep = this->readAndAnswer(connection, yield);
        --this->busyCount;
        connection->busy = false;
        return keep && this->acceptor.is_open();
    }

    auto readAndAnswer(const std::shared_ptr<Connection>& connection, asio::yield_context yield) -> bool
    {
        auto parser = http::request_parser<http::string_body> {};
        parser.header_limit(this->option.headerLimitBytes);
        parser.body_limit(this->option.bodyLimitBytes);
        auto error = beast::error_code {};
        connection->stream.expires_after(this->option.requestTimeout);
        http::async_read_header(connection->stream, connection->buffer, parser, yield[error]);
        if (!error && hasAmbiguousLength(parser.get()))
            error = http::error::bad_transfer_encoding;
        if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue"))
            this->writeContinue(*connection, yield);
        if (!error)
            http::async_read(connection->stream, connection->buffer, parser, yield[error]);
        if (error) {
            if (isProtocolError(error))
                this->refuse(*connection, refusalOf(error), yield);
            return false;
        }
        return this->answer(connection, parser.release(), yield);
    }

    auto writeContinue(Connection& connection, asio::yield_context yield) -> void
    {
        auto error = beast::error_code {};
        auto interim = http::response<http::empty_body> { http::status::continue_, 11 };
        http::async_write(connection.stream, interim, yield[error]);
    }

    auto refuse(Connection& connection, ResultCode code, asio::yield_context yield) -> void
    {
        if (this->option.onRefusal)
            this->option.onRefusal(code);
        auto response = problemResponse(code);
        response.close = true;
        this->write(connection, std::move(response), false, false, yield);
    }

    auto answer(const std::shared_ptr<Connection>& connection, BeastRequest&& request, asio::yield_context yield)
        -> bool
    {
        const auto keepAlive = request.keep_alive();
        const auto isHead = request.method() == http::verb::head;
        auto plain = toPlain(std::move(request));
        auto caller = std::make_shared<CallerContext>();
        caller->caller = peerOf(*connection);
        connection->stream.expires_never();
        watchCaller(connection, caller);
        auto response = this->callHandler(plain, *caller, yield);
        auto ignored = beast::error_code {};
        caller->onGone(nullptr);
        connection->stream.socket().cancel(ignored);
        if (caller->gone())
            return false;
        return this->write(*connection, std::move(response), isHead, keepAlive, yield);
    }

    /// A handler that throws costs its own request, not the host.
    auto callHandler(HttpRequest& request, CallerContext& caller, asio::yield_context yield) -> HttpResponse
    {
        try {
            return this->handler(request, caller, yield);
        } catch (const std::exception& error) {
            LogEvent(LogLevel::Error, "handler-failed").with("reason", error.what());
            if (this->option.onRefusal)
                this->option.onRefusal(ResultCode::InternalError);
            return problemResponse(ResultCode::InternalError);
        }
    }

    static auto peerOf(Connection& connection) -> Address
    {
        auto error = beast::error_code {};
        const auto endpoint = connection.stream.socket().remote_endpoint(error);
        return error ? Address {} : Address { endpoint.address().to_string(), endpoint.port() };
    }

    static auto watchCaller(const std::shared_ptr<Connection>& connection, const std::shared_ptr<CallerContext>& caller)
        -> void
    {
        auto& socket = connection->stream.socket();
        socket.async_wait(Tcp::socket::wait_read, [connection, caller](beast::error_code error) {
            if (error)
                return;
            const auto available = connection->stream.socket().available(error);
            if (error || available == 0)
                caller->markGone();
        });
    }

    auto write(Connection& connection, HttpResponse response, bool isHead, bool keepAlive, asio::yield_context yield)
        -> bool
    {
        keepAlive = keepAlive && !response.close && !this->closing;
        auto message = toBeast(std::move(response), isHead);
        message.keep_alive(keepAlive);
        auto error = beast::error_code {};
        connection.stream.expires_after(this->option.writeTimeout);
        http::async_write(connection.stream, message, yield[error]);
        return keepAlive && !error;
    }

    asio::io_context& context;
    Tcp::acceptor acceptor;
    Handler handler;
    HttpServerOption option;
    std::list<Connection*> connections;
    std::size_t busyCount = 0;
    bool closing = false;
};

} // namespace

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
