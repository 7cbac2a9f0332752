#include "http_session.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <sys/ioctl.h>

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
/// Receive buffer while a body is read: what a fast caller sends within a round trip of some milliseconds.
constexpr auto bodyReceiveBufferBytes = std::size_t { 64 } * 1024;
/// Maximum of the unread bytes of a connection as a multiple of its receive buffer (Linux).
constexpr auto unreadPerReceiveBuffer = std::size_t { 2 };
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
    , deadlines(this->sessionContext->option)
{
    auto error = beast::error_code {};
    const auto endpoint = this->socket.remote_endpoint(error);
    if (!error)
        this->peer = { endpoint.address().to_string(), endpoint.port() };
}

auto HttpSession::openAccount() -> void
{
    const auto& budget = this->sessionContext->option.connectionBudget;
    if (!this->account.open(budget, now(), [this] { this->closeConnection(); }))
        this->closeConnection();
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
    if (this->isWriting && !this->isClosed)
        this->recordTaken(now);
    if (this->isClosed || !this->deadlines.isOverdue(now, this->unansweredRequests() == 0))
        return;
    const auto missed = this->deadlines.missed(now);
    if (missed && this->socket.is_open() && this->sessionContext->option.onClosure)
        this->sessionContext->option.onClosure(*missed);
    auto ignored = beast::error_code {};
    this->socket.close(ignored);
}

auto HttpSession::handleNextRequest(asio::yield_context yield) -> bool
{
    if (!this->waitForPendingLimit(yield) || !this->waitForBytes(yield))
        return false;
    this->isReading = true;
    this->updateState();
    auto parser = std::make_optional<Parser>();
    auto request = HttpRequest {};
    auto error = this->readRequest(*parser, request, yield);
    const auto keepsAlive = !error && parser->keep_alive();
    // A refusal may have to wait for the responses before it; the request must not take memory meanwhile.
    parser.reset();
    this->deadlines.endRequest();
    this->isReading = false;
    this->account.endReading();
    this->shrinkBuffer();
    if (this->isClosed)
        return false;
    auto held = std::optional<SessionAccount::Pending> {};
    if (!error) {
        held = this->account.reservePending(request);
        if (!held)
            error = asio::error::no_memory;
    }
    if (!error)
        return this->startHandler(std::move(request), *held, keepsAlive);
    request = {};
    this->updateState();
    if (isRefusal(error)) {
        this->sendRefusal(resultCodeOf(error), yield);
        return false;
    }
    this->closeConnection();
    return false;
}

/// While the connection is not read, the system holds what its receive buffer takes.
auto HttpSession::waitForPendingLimit(asio::yield_context yield) -> bool
{
    auto ignored = beast::error_code {};
    const auto buffer
        = this->isReceiveBufferEnlarged ? bodyReceiveBufferBytes : this->sessionContext->option.receiveBufferBytes;
    while (!this->mayReadAhead() && !this->isClosed) {
        this->account.setUnreadBytes(unreadPerReceiveBuffer * buffer);
        this->pendingLimitTimer.expires_at(TimePoint::max());
        this->pendingLimitTimer.async_wait(yield[ignored]);
    }
    if (!this->isReceiveBufferEnlarged)
        this->account.setUnreadBytes(0);
    return !this->isClosed && !this->isReadingStopped;
}

auto HttpSession::mayReadAhead() const -> bool
{
    if (this->pendingRequests.empty())
        return true;
    return this->pendingRequests.size() < maxPendingRequests && this->account.allowsReadAhead();
}

/// @return whether a request has begun and should be read.
auto HttpSession::waitForBytes(asio::yield_context yield) -> bool
{
    if (this->buffer.size() > 0)
        return true;
    this->deadlines.beginIdle(now());
    this->updateState();
    auto error = beast::error_code {};
    const auto size = this->socket.async_read_some(this->buffer.prepare(readSize), yield[error]);
    this->buffer.commit(size);
    this->account.setBufferBytes(this->buffer.capacity());
    // The system has no further bytes, so that the smaller buffer bounds what is unread.
    if (size < readSize)
        this->restoreReceiveBuffer();
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
    this->deadlines.beginRequest(now());
    this->account.recordProgress(ConnectionState::Receiving, now());
    if (const auto error
        = readHeader(this->socket, this->buffer, parser, yield, [&] { return this->recordHeader(parser, yield); }))
        return error;
    const auto& message = parser.get();
    if (hasAmbiguousLength(message))
        return http::error::bad_transfer_encoding;
    request.method = std::string { message.method_string() };
    request.target = std::string { message.target() };
    request.fields = copyFields(parser);
    const auto expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
    // The copy is enough while the body is read; thousands of short fields would be held twice.
    parser.get().base().clear();
    if (expectsContinue && this->pendingRequests.empty())
        this->writeContinue(yield);
    request.reservation = std::make_shared<BodyReservation>(option.bodyMemory, BodyKind::Request);
    this->enlargeReceiveBuffer(parser);
    this->deadlines.beginBody();
    const auto recordBody = [&] { return this->recordBody(parser, request.reservation->bytes(), yield); };
    if (const auto error
        = readBody(this->socket, this->buffer, parser, *request.reservation, option.bodyLimitBytes, yield, recordBody))
        return error;
    request.body = std::move(parser.get().body());
    return {};
}

/// Counts the received part of a header.
/// @return whether there is room for it.
auto HttpSession::recordHeader(const Parser& parser, asio::yield_context yield) -> bool
{
    this->account.setBufferBytes(this->buffer.capacity());
    if (!this->account.recordHeader(parser.get()))
        return false;
    this->waitForReturns(yield);
    return true;
}

/// Counts the received part of a body.
/// @return whether there is room for it.
auto HttpSession::recordBody(const Parser& parser, std::size_t reservedBytes, asio::yield_context yield) -> bool
{
    const auto& body = parser.get().body();
    if (this->deadlines.recordBody(body.size(), now()))
        this->account.recordProgress(ConnectionState::Receiving, now());
    this->account.setBufferBytes(this->buffer.capacity());
    if (!this->account.recordBody(body.capacity(), reservedBytes))
        return false;
    this->waitForReturns(yield);
    return true;
}

/// Connections closed to make room return their memory in the next turn of the event loop. Many connections that grow
/// within one turn would exceed the budget.
auto HttpSession::waitForReturns(asio::yield_context yield) -> void
{
    if (this->account.isAwaitingReturns())
        asio::post(this->sessionContext->context, yield);
}

/// Counts a response instead of its request.
auto HttpSession::recordResponse(PendingRequest& pendingRequest) -> void
{
    const auto& response = *pendingRequest.response;
    const auto reserved = pendingRequest.reservation ? pendingRequest.reservation->bytes() : 0;
    this->account.recordResponse(pendingRequest.held, response, response.body().capacity(), reserved);
}

/// Requests whose handler runs keep their connection; otherwise the connection waits for its caller.
auto HttpSession::updateState() -> void
{
    if (this->isWriting)
        this->account.setState(ConnectionState::Sending, now());
    else if (this->isReading || this->pendingRequests.empty())
        this->account.setState(ConnectionState::Receiving, now());
    else
        this->account.setState(ConnectionState::Running, now());
}

/// Returns the memory of a buffer that a large request has made grow.
auto HttpSession::shrinkBuffer() -> void
{
    if (this->buffer.capacity() > readSize && this->buffer.size() <= readSize)
        this->buffer.shrink_to_fit();
    this->account.setBufferBytes(this->buffer.capacity());
}

/// Lets a caller send a large body without waiting after each few kilobytes, unless memory is short.
auto HttpSession::enlargeReceiveBuffer(const Parser& parser) -> void
{
    const auto base = this->sessionContext->option.receiveBufferBytes;
    const auto isLarge = parser.chunked() || parser.content_length_remaining().value_or(0) > base;
    const auto isPossible = base > 0 && base < bodyReceiveBufferBytes && this->account.allowsReadAhead();
    if (!isLarge || !isPossible || this->isReceiveBufferEnlarged)
        return;
    this->isReceiveBufferEnlarged = true;
    this->setReceiveBuffer(bodyReceiveBufferBytes);
    this->account.setUnreadBytes(unreadPerReceiveBuffer * bodyReceiveBufferBytes);
}

auto HttpSession::restoreReceiveBuffer() -> void
{
    if (!std::exchange(this->isReceiveBufferEnlarged, false))
        return;
    this->setReceiveBuffer(this->sessionContext->option.receiveBufferBytes);
    this->account.setUnreadBytes(0);
}

auto HttpSession::setReceiveBuffer(std::size_t bytes) -> void
{
    auto ignored = beast::error_code {};
    this->socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
}

/// Bytes that the system still holds for the caller have not been taken.
auto HttpSession::takenBytes() -> std::size_t
{
    auto unsent = 0;
    if (ioctl(this->socket.native_handle(), TIOCOUTQ, &unsent) != 0)
        return this->writtenBytes;
    return this->writtenBytes - std::min(this->writtenBytes, static_cast<std::size_t>(std::max(unsent, 0)));
}

auto HttpSession::recordTaken(TimePoint now) -> void
{
    if (this->deadlines.recordTaken(this->takenBytes(), now))
        this->account.recordProgress(ConnectionState::Sending, now);
}

auto HttpSession::writeContinue(asio::yield_context yield) -> void
{
    auto error = beast::error_code {};
    auto interim = http::response<http::empty_body> { http::status::continue_, 11 };
    http::async_write(this->socket, interim, yield[error]);
}

/// Runs the handler for a request in a separate coroutine.
/// @return whether another request may be read after it.
auto HttpSession::startHandler(HttpRequest&& request, SessionAccount::Pending held, bool keepsAlive) -> bool
{
    auto pendingRequest = std::make_shared<PendingRequest>();
    pendingRequest->isLast = !keepsAlive || this->sessionContext->closesConnections;
    pendingRequest->caller = std::make_shared<CallerContext>();
    pendingRequest->caller->caller = this->peer;
    pendingRequest->caller->setCloseProbe([weak = this->weak_from_this()] {
        const auto self = weak.lock();
        return !self || self->hasPeerClosed();
    });
    pendingRequest->held = held;
    this->pendingRequests.push_back(pendingRequest);
    this->updateState();
    startCoroutine(this->sessionContext->context, "http-handler",
        [self = this->shared_from_this(), pendingRequest, plain = std::move(request)](
            asio::yield_context yield) mutable {
            self->callHandler(plain, *pendingRequest, yield);
            plain = {};
            pendingRequest->caller->onDisconnect(nullptr);
            if (pendingRequest->response)
                self->recordResponse(*pendingRequest);
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
    this->updateState();
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
    this->updateState();
    this->account.recordProgress(ConnectionState::Sending, now());
    this->deadlines.beginResponse(this->writtenBytes, now());
    auto error = beast::error_code {};
    auto serializer = http::response_serializer<http::string_body> { *pendingRequest.response };
    while (!error && !serializer.is_done()) {
        this->writtenBytes += http::async_write_some(this->socket, serializer, yield[error]);
        if (!serializer.is_done() && !this->isClosed)
            this->recordTaken(now());
    }
    this->deadlines.endResponse(now());
    if (this->isClosed)
        return false;
    this->pendingRequests.pop_front();
    this->account.releasePending(pendingRequest.held);
    this->pendingLimitTimer.cancel();
    if (error) {
        this->closeConnection();
        return false;
    }
    if (!isLast)
        return true;
    this->deadlines.beginLinger(now());
    this->socket.shutdown(Tcp::socket::shutdown_send, error);
    return false;
}

/// Reads and discards input until the connection is closed, to detect that the caller disconnects while responses are
/// outstanding.
auto HttpSession::discardUntilClosed(asio::yield_context yield) -> void
{
    auto error = beast::error_code {};
    this->buffer.clear();
    this->shrinkBuffer();
    this->updateState();
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
