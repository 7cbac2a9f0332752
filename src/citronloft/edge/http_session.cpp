#include "http_session.hpp"

#include <algorithm>

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Bytes asked for in one read; most requests fit into one.
constexpr auto readSize = std::size_t { 4096 };
/// Requests of one connection that are handled at the same time.
constexpr auto greatestPending = std::size_t { 32 };
/// Time for the caller to close its side after the last answer; bytes that cross the close would else reset it.
constexpr auto lingerTime = std::chrono::seconds { 1 };

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

auto toPlain(http::request<http::string_body>&& request) -> HttpRequest
{
    auto plain = HttpRequest {};
    plain.method = std::string { request.method_string() };
    plain.target = std::string { request.target() };
    for (const auto& field : request)
        plain.fields.add(std::string_view { field.name_string() }, std::string_view { field.value() });
    plain.body = std::move(request.body());
    return plain;
}

auto toBeast(HttpResponse&& plain, bool isHead) -> http::response<http::string_body>
{
    auto response = http::response<http::string_body> {};
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

auto now() -> TimePoint { return std::chrono::steady_clock::now(); }

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpSessionContext> shared, Tcp::socket socket)
    : shared(std::move(shared))
    , socket(std::move(socket))
    , roomTimer(this->shared->context)
{
    auto error = beast::error_code {};
    const auto endpoint = this->socket.remote_endpoint(error);
    if (!error)
        this->peer = { endpoint.address().to_string(), endpoint.port() };
}

auto HttpSession::run(asio::yield_context yield) -> void
{
    while (!this->isStopped && this->readOne(yield)) { }
    this->isStopped = true;
    if (!this->hasEnded && this->socket.is_open())
        this->discardUntilClosed(yield);
    this->end();
}

auto HttpSession::closeIfIdle() -> void
{
    auto ignored = beast::error_code {};
    if (this->busy() == 0)
        this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
}

auto HttpSession::closeIfOverdue(TimePoint now) -> void
{
    auto ignored = beast::error_code {};
    const auto isIdleTooLong = this->busy() == 0 && now >= this->idleUntil;
    if (isIdleTooLong || now >= this->readUntil || now >= this->writeUntil || now >= this->lingerUntil)
        this->socket.close(ignored);
}

auto HttpSession::readOne(asio::yield_context yield) -> bool
{
    if (!this->waitForRoom(yield) || !this->waitForBytes(yield))
        return false;
    this->isReading = true;
    auto parser = Parser {};
    const auto error = this->readRequest(parser, yield);
    this->readUntil = TimePoint::max();
    this->isReading = false;
    if (!error)
        return this->accept(parser.release());
    if (isProtocolError(error)) {
        this->refuse(refusalOf(error), yield);
        return false;
    }
    this->end();
    return false;
}

auto HttpSession::waitForRoom(asio::yield_context yield) -> bool
{
    auto ignored = beast::error_code {};
    while (this->pending.size() >= greatestPending && !this->hasEnded) {
        this->roomTimer.expires_at(TimePoint::max());
        this->roomTimer.async_wait(yield[ignored]);
    }
    return !this->hasEnded && !this->isStopped;
}

/// @return whether a request has begun and may be read.
auto HttpSession::waitForBytes(asio::yield_context yield) -> bool
{
    if (this->buffer.size() > 0)
        return true;
    this->idleUntil = now() + this->shared->option.idleTimeout;
    auto error = beast::error_code {};
    const auto size = this->socket.async_read_some(this->buffer.prepare(readSize), yield[error]);
    this->buffer.commit(size);
    if (error)
        this->end();
    return !error && !this->isStopped;
}

auto HttpSession::readRequest(Parser& parser, asio::yield_context yield) -> beast::error_code
{
    parser.header_limit(this->shared->option.headerLimitBytes);
    parser.body_limit(this->shared->option.bodyLimitBytes);
    this->readUntil = now() + this->shared->option.requestTimeout;
    auto error = beast::error_code {};
    http::async_read_header(this->socket, this->buffer, parser, yield[error]);
    if (!error && hasAmbiguousLength(parser.get()))
        error = http::error::bad_transfer_encoding;
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue") && this->pending.empty())
        this->writeContinue(yield);
    if (!error && !parser.is_done())
        http::async_read(this->socket, this->buffer, parser, yield[error]);
    return error;
}

auto HttpSession::writeContinue(asio::yield_context yield) -> void
{
    auto error = beast::error_code {};
    auto interim = http::response<http::empty_body> { http::status::continue_, 11 };
    http::async_write(this->socket, interim, yield[error]);
}

/// Hands a request to the handler in a coroutine of its own.
/// @return whether another request may be read behind it.
auto HttpSession::accept(Request&& request) -> bool
{
    auto answer = std::make_shared<Pending>();
    answer->isLast = !request.keep_alive() || this->shared->closing;
    answer->caller = std::make_shared<CallerContext>();
    answer->caller->caller = this->peer;
    this->pending.push_back(answer);
    const auto isHead = request.method() == http::verb::head;
    asio::spawn(
        this->shared->context,
        [self = this->shared_from_this(), answer, isHead, plain = toPlain(std::move(request))](
            asio::yield_context yield) mutable {
            auto response = self->callHandler(plain, *answer->caller, yield);
            answer->caller->onGone(nullptr);
            answer->asksClose = response.close;
            answer->response = toBeast(std::move(response), isHead);
            self->writeReady(yield);
        },
        asio::detached);
    return !answer->isLast;
}

auto HttpSession::refuse(ResultCode code, asio::yield_context yield) -> void
{
    if (this->shared->option.onRefusal)
        this->shared->option.onRefusal(code);
    auto answer = std::make_shared<Pending>();
    answer->caller = std::make_shared<CallerContext>();
    answer->isLast = true;
    answer->response = toBeast(problemResponse(code), false);
    this->pending.push_back(std::move(answer));
    this->writeReady(yield);
}

/// A handler that throws costs its own request, not the host.
auto HttpSession::callHandler(HttpRequest& request, CallerContext& caller, asio::yield_context yield) -> HttpResponse
{
    try {
        return this->shared->handler(request, caller, yield);
    } catch (const std::exception& error) {
        LogEvent(LogLevel::Error, "handler-failed").with("reason", error.what());
        if (this->shared->option.onRefusal)
            this->shared->option.onRefusal(ResultCode::InternalError);
        return problemResponse(ResultCode::InternalError);
    }
}

/// Writes the answers whose turn it is; one coroutine does so at a time.
auto HttpSession::writeReady(asio::yield_context yield) -> void
{
    if (this->isWriting)
        return;
    this->isWriting = true;
    while (!this->hasEnded && !this->pending.empty() && this->pending.front()->response) {
        const auto answer = this->pending.front();
        if (!this->writeOne(*answer, yield))
            break;
    }
    this->isWriting = false;
}

/// @return whether another answer may follow.
auto HttpSession::writeOne(Pending& answer, asio::yield_context yield) -> bool
{
    const auto isNewest = this->pending.size() == 1 && !this->isReading && this->buffer.size() == 0;
    const auto isLast = answer.isLast || (isNewest && (this->shared->closing || answer.asksClose));
    if (isLast)
        this->isStopped = true;
    answer.response->keep_alive(!isLast);
    this->writeUntil = now() + this->shared->option.writeTimeout;
    auto error = beast::error_code {};
    http::async_write(this->socket, *answer.response, yield[error]);
    this->writeUntil = TimePoint::max();
    this->idleUntil = now() + this->shared->option.idleTimeout;
    if (this->hasEnded)
        return false;
    this->pending.pop_front();
    this->roomTimer.cancel();
    if (error) {
        this->end();
        return false;
    }
    if (!isLast)
        return true;
    this->lingerUntil = now() + lingerTime;
    this->socket.shutdown(Tcp::socket::shutdown_send, error);
    return false;
}

/// Notices that the caller goes while the last answers are outstanding; what it still sends is not read as a request.
auto HttpSession::discardUntilClosed(asio::yield_context yield) -> void
{
    auto error = beast::error_code {};
    this->buffer.clear();
    while (!error && !this->hasEnded) {
        this->buffer.clear();
        this->socket.async_read_some(this->buffer.prepare(readSize), yield[error]);
    }
}

auto HttpSession::end() -> void
{
    if (std::exchange(this->hasEnded, true))
        return;
    this->isStopped = true;
    auto ignored = beast::error_code {};
    this->socket.close(ignored);
    this->roomTimer.cancel();
    for (const auto& answer : std::exchange(this->pending, {}))
        answer->caller->markGone();
}

} // namespace citronloft
