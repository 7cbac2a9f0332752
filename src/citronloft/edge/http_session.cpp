#include "http_session.hpp"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include "citronloft/base/log.hpp"
#include "http_read.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Buffer size of one read; most requests fit into it.
constexpr auto readSize = std::size_t { 4096 };
/// Maximum number of unanswered requests of one connection.
constexpr auto maxPendingRequests = std::size_t { 32 };
/// Time allowed for the caller to close its side after the last response. Closing earlier could reset the connection if
/// bytes from the caller are still in transit, and the response would be lost.
constexpr auto lingerTimeout = std::chrono::seconds { 1 };
/// Time in which bodies that take all memory are usually passed on.
constexpr auto memoryRetryAfter = std::chrono::milliseconds { 1000 };

auto resultCodeOf(const beast::error_code& error) -> ResultCode
{
    if (error == http::error::body_limit)
        return ResultCode::BodyTooLarge;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return ResultCode::HeaderTooLarge;
    if (error == asio::error::no_memory)
        return ResultCode::MemoryFull;
    return ResultCode::MalformedRequest;
}

/// Returns whether the next server could read the request's length or host differently: any transfer coding other than
/// a single "chunked", or more than one Host field.
auto hasAmbiguousLength(const http::request<http::string_body>& request) -> bool
{
    const auto codings = request.count(http::field::transfer_encoding);
    const auto isChunked = beast::iequals(request[http::field::transfer_encoding], "chunked");
    return codings > 1 || (codings == 1 && !isChunked) || request.count(http::field::host) > 1;
}

/// Returns whether the caller gets a response, not only a closed connection.
auto isRefusal(const beast::error_code& error) -> bool
{
    if (error == asio::error::no_memory)
        return true;
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
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

HttpSession::HttpSession(std::shared_ptr<HttpSessionContext> sessionContext, Tcp::socket socket)
    : sessionContext(std::move(sessionContext))
    , socket(std::move(socket))
    , pendingLimitTimer(this->sessionContext->context)
{
    auto error = beast::error_code {};
    const auto endpoint = this->socket.remote_endpoint(error);
    if (!error)
        this->peer = { endpoint.address().to_string(), endpoint.port() };
}

auto HttpSession::runUntilClosed(asio::yield_context yield) -> void
{
    try {
        this->run(yield);
    } catch (const std::exception&) {
        logException("http-session", std::current_exception());
        this->closeConnection();
    }
}

auto HttpSession::run(asio::yield_context yield) -> void
{
    while (!this->isReadingStopped && this->handleNextRequest(yield)) { }
    this->isReadingStopped = true;
    if (!this->isClosed && this->socket.is_open())
        this->discardUntilClosed(yield);
    this->closeConnection();
}

auto HttpSession::stopReading() -> void
{
    // Callers resend requests that were not read before their connection closed.
    this->isReadingStopped = true;
    if (this->unansweredRequests() > 0)
        return;
    auto ignored = beast::error_code {};
    this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
}

auto HttpSession::closeIfOverdue(TimePoint now) -> void
{
    auto ignored = beast::error_code {};
    const auto isIdleTooLong = this->unansweredRequests() == 0 && now >= this->idleDeadline;
    if (isIdleTooLong || now >= this->readDeadline || now >= this->writeDeadline || now >= this->lingerDeadline)
        this->socket.close(ignored);
}

auto HttpSession::handleNextRequest(asio::yield_context yield) -> bool
{
    if (!this->waitForPendingLimit(yield) || !this->waitForBytes(yield))
        return false;
    this->isReading = true;
    auto parser = Parser {};
    auto request = HttpRequest {};
    const auto error = this->readRequest(parser, request, yield);
    this->readDeadline = TimePoint::max();
    this->isReading = false;
    if (!error)
        return this->startHandler(std::move(request), parser.keep_alive());
    if (isRefusal(error)) {
        this->sendRefusal(resultCodeOf(error), yield);
        return false;
    }
    this->closeConnection();
    return false;
}

auto HttpSession::waitForPendingLimit(asio::yield_context yield) -> bool
{
    auto ignored = beast::error_code {};
    while (this->pendingRequests.size() >= maxPendingRequests && !this->isClosed) {
        this->pendingLimitTimer.expires_at(TimePoint::max());
        this->pendingLimitTimer.async_wait(yield[ignored]);
    }
    return !this->isClosed && !this->isReadingStopped;
}

/// @return whether a request has begun and should be read.
auto HttpSession::waitForBytes(asio::yield_context yield) -> bool
{
    if (this->buffer.size() > 0)
        return true;
    this->idleDeadline = now() + this->sessionContext->option.idleTimeout;
    auto error = beast::error_code {};
    const auto size = this->socket.async_read_some(this->buffer.prepare(readSize), yield[error]);
    this->buffer.commit(size);
    if (error)
        this->closeConnection();
    return !error && !this->isReadingStopped;
}

/// Reads a request; the fields of its trailer are discarded.
auto HttpSession::readRequest(Parser& parser, HttpRequest& request, asio::yield_context yield) -> beast::error_code
{
    const auto& option = this->sessionContext->option;
    parser.header_limit(option.headerLimitBytes);
    parser.body_limit(option.bodyLimitBytes);
    this->buffer.max_size(std::max<std::size_t>(maxUnparsedBytes, option.headerLimitBytes + readSize));
    this->readDeadline = now() + option.requestTimeout;
    if (const auto error = readHeader(this->socket, this->buffer, parser, yield))
        return error;
    const auto& message = parser.get();
    if (hasAmbiguousLength(message))
        return http::error::bad_transfer_encoding;
    request.method = std::string { message.method_string() };
    request.target = std::string { message.target() };
    request.fields = copyFields(parser);
    if (beast::iequals(message[http::field::expect], "100-continue") && this->pendingRequests.empty())
        this->writeContinue(yield);
    request.reservation = std::make_shared<BodyReservation>(option.bodyMemory);
    if (const auto error = readBody(this->socket, this->buffer, parser, *request.reservation, yield))
        return error;
    request.body = std::move(parser.get().body());
    return {};
}

auto HttpSession::writeContinue(asio::yield_context yield) -> void
{
    auto error = beast::error_code {};
    auto interim = http::response<http::empty_body> { http::status::continue_, 11 };
    http::async_write(this->socket, interim, yield[error]);
}

/// Runs the handler for a request in a separate coroutine.
/// @return whether another request may be read after it.
auto HttpSession::startHandler(HttpRequest&& request, bool keepsAlive) -> bool
{
    auto pendingRequest = std::make_shared<PendingRequest>();
    pendingRequest->isLast = !keepsAlive || this->sessionContext->closesConnections;
    pendingRequest->caller = std::make_shared<CallerContext>();
    pendingRequest->caller->caller = this->peer;
    pendingRequest->caller->setCloseProbe([weak = this->weak_from_this()] {
        const auto self = weak.lock();
        return !self || self->hasPeerClosed();
    });
    this->pendingRequests.push_back(pendingRequest);
    startCoroutine(this->sessionContext->context, "http-handler",
        [self = this->shared_from_this(), pendingRequest, plain = std::move(request)](
            asio::yield_context yield) mutable {
            self->callHandler(plain, *pendingRequest, yield);
            pendingRequest->caller->onDisconnect(nullptr);
            self->writeReadyResponses(yield);
        });
    return !pendingRequest->isLast;
}

auto HttpSession::sendRefusal(ResultCode code, asio::yield_context yield) -> void
{
    if (this->sessionContext->option.onRefusal)
        this->sessionContext->option.onRefusal(code);
    auto pendingRequest = std::make_shared<PendingRequest>();
    pendingRequest->caller = std::make_shared<CallerContext>();
    pendingRequest->isLast = true;
    const auto retryAfter = code == ResultCode::MemoryFull ? memoryRetryAfter : std::chrono::milliseconds {};
    pendingRequest->response = toBeast(problemResponse(code, retryAfter), false);
    this->pendingRequests.push_back(std::move(pendingRequest));
    this->writeReadyResponses(yield);
}

/// Turns an exception of the handler into an internal-error response, so that only this request fails.
auto HttpSession::callHandler(HttpRequest& request, PendingRequest& pendingRequest, asio::yield_context yield) -> void
{
    const auto isHead = request.method == "HEAD";
    try {
        auto response = this->sessionContext->handler(request, *pendingRequest.caller, yield);
        pendingRequest.requestsClose = response.close;
        pendingRequest.reservation = response.reservation;
        pendingRequest.response = toBeast(std::move(response), isHead);
    } catch (const std::exception& error) {
        LogEvent(LogLevel::Error, "handler-failed").with("reason", error.what());
        if (this->sessionContext->option.onRefusal)
            this->sessionContext->option.onRefusal(ResultCode::InternalError);
        pendingRequest.response = toBeast(problemResponse(ResultCode::InternalError), isHead);
    }
}

/// Writes completed responses in request order; only one coroutine writes at a time.
auto HttpSession::writeReadyResponses(asio::yield_context yield) -> void
{
    if (this->isWriting)
        return;
    this->isWriting = true;
    while (!this->isClosed && !this->pendingRequests.empty() && this->pendingRequests.front()->response) {
        const auto pendingRequest = this->pendingRequests.front();
        if (!this->writeResponse(*pendingRequest, yield))
            break;
    }
    this->isWriting = false;
}

/// @return whether another response may follow.
auto HttpSession::writeResponse(PendingRequest& pendingRequest, asio::yield_context yield) -> bool
{
    const auto isNothingReadAfter
        = this->pendingRequests.size() == 1 && !this->isReading && (this->isReadingStopped || this->buffer.size() == 0);
    const auto isLast = pendingRequest.isLast
        || (isNothingReadAfter && (this->sessionContext->closesConnections || pendingRequest.requestsClose));
    if (isLast)
        this->isReadingStopped = true;
    pendingRequest.response->keep_alive(!isLast);
    this->writeDeadline = now() + this->sessionContext->option.writeTimeout;
    auto error = beast::error_code {};
    http::async_write(this->socket, *pendingRequest.response, yield[error]);
    this->writeDeadline = TimePoint::max();
    this->idleDeadline = now() + this->sessionContext->option.idleTimeout;
    if (this->isClosed)
        return false;
    this->pendingRequests.pop_front();
    this->pendingLimitTimer.cancel();
    if (error) {
        this->closeConnection();
        return false;
    }
    if (!isLast)
        return true;
    this->lingerDeadline = now() + lingerTimeout;
    this->socket.shutdown(Tcp::socket::shutdown_send, error);
    return false;
}

/// Reads and discards input until the connection is closed, to detect that the caller disconnects while responses are
/// outstanding.
auto HttpSession::discardUntilClosed(asio::yield_context yield) -> void
{
    auto error = beast::error_code {};
    this->buffer.clear();
    while (!error && !this->isClosed) {
        this->buffer.clear();
        this->socket.async_read_some(this->buffer.prepare(readSize), yield[error]);
    }
}

/// Asks the socket, since a busy event loop reads a close later than the request before it. Requests that follow on the
/// connection hide the close until they are read.
auto HttpSession::hasPeerClosed() -> bool
{
    if (this->isClosed)
        return true;
    auto error = beast::error_code {};
    auto byte = char {};
    this->socket.non_blocking(true, error);
    this->socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

auto HttpSession::closeConnection() -> void
{
    if (std::exchange(this->isClosed, true))
        return;
    this->isReadingStopped = true;
    auto ignored = beast::error_code {};
    this->socket.close(ignored);
    this->pendingLimitTimer.cancel();
    for (const auto& pendingRequest : std::exchange(this->pendingRequests, {}))
        pendingRequest->caller->markDisconnected();
}

} // namespace citronloft
