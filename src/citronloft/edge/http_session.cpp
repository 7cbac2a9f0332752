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
/// Maximum memory of a connection's unanswered requests, and of their responses, at which another one is read.
constexpr auto maxReadAheadBytes = std::size_t { 512 } * 1024;
/// Memory of a connection without requests: the used part of its coroutine's stack, and its objects.
constexpr auto connectionBytes = std::size_t { 16 } * 1024;
/// Memory of a request beside its contents: the used part of its handler's stack, and its objects.
constexpr auto pendingRequestBytes = std::size_t { 32 } * 1024;
/// Memory of a parsed field beside its characters: the parser's entry, and one of HeaderFields, whose capacity may be
/// twice its size.
constexpr auto parsedFieldBytes = std::size_t { 224 };
/// Memory of a forwarded field: in HeaderFields of the request and of its copy for the target, and in the client's
/// message.
constexpr auto pendingFieldBytes = std::size_t { 352 };
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

/// Estimates the memory of parsed fields, whose short ones take many times their size.
auto estimateFieldBytes(const http::fields& fields, std::size_t fieldBytes) -> std::size_t
{
    auto sum = std::size_t { 0 };
    for (const auto& field : fields)
        sum += fieldBytes + 2 * (field.name_string().size() + field.value().size());
    return sum;
}

auto estimateFieldBytes(const HeaderFields& fields, std::size_t fieldBytes) -> std::size_t
{
    auto sum = std::size_t { 0 };
    for (const auto& field : fields)
        sum += fieldBytes + 2 * (field.name.size() + field.value.size());
    return sum;
}

auto uncountedPartOf(std::size_t bodyBytes) -> std::size_t
{
    return std::min(bodyBytes, BodyReservation::uncountedBytes);
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
    if (const auto& budget = this->sessionContext->option.connectionBudget) {
        this->account.emplace(budget, now(), [this] { this->closeConnection(); });
        if (!this->account->resize(this->heldBytes()))
            this->closeConnection();
    }
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
    auto ignored = beast::error_code {};
    if (this->deadlines.isOverdue(now, this->unansweredRequests() == 0))
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
    this->readingBytes = 0;
    this->fieldBytes = 0;
    this->shrinkBuffer();
    if (this->isClosed)
        return false;
    if (!error && !this->reservePending(request))
        error = asio::error::no_memory;
    if (!error)
        return this->startHandler(std::move(request), keepsAlive);
    request = {};
    this->readingBytes = 0;
    this->updateState();
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
    while (!this->mayReadAhead() && !this->isClosed) {
        this->pendingLimitTimer.expires_at(TimePoint::max());
        this->pendingLimitTimer.async_wait(yield[ignored]);
    }
    return !this->isClosed && !this->isReadingStopped;
}

auto HttpSession::mayReadAhead() const -> bool
{
    if (this->pendingRequests.empty())
        return true;
    if (this->pendingRequests.size() >= maxPendingRequests)
        return false;
    return !this->account
        || (this->pendingBytes + this->pendingReservedBytes < maxReadAheadBytes
            && this->sessionContext->option.connectionBudget->allowsReadAhead());
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
    if (this->account)
        this->account->recordProgress(ConnectionState::Receiving, now());
    if (const auto error
        = readHeader(this->socket, this->buffer, parser, yield, [&] { return this->recordReceived(parser, 0, yield); }))
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
    const auto recordBody = [&] { return this->recordReceived(parser, request.reservation->bytes(), yield); };
    if (const auto error = readBody(this->socket, this->buffer, parser, *request.reservation, yield, recordBody))
        return error;
    request.body = std::move(parser.get().body());
    return {};
}

/// Counts what has been received of a request.
/// @return whether there is room for it.
auto HttpSession::recordReceived(const Parser& parser, std::size_t reservedBytes, asio::yield_context yield) -> bool
{
    const auto& message = parser.get();
    const auto hasProgressed = this->deadlines.recordBody(message.body().size(), now());
    if (!this->account)
        return true;
    if (hasProgressed)
        this->account->recordProgress(ConnectionState::Receiving, now());
    if (!parser.is_header_done() || this->fieldBytes == 0)
        this->fieldBytes = estimateFieldBytes(message, parsedFieldBytes);
    this->readingBytes = this->fieldBytes + uncountedPartOf(message.body().capacity());
    this->account->setBodyBytes(this->pendingReservedBytes + reservedBytes);
    if (!this->account->resize(this->heldBytes()))
        return false;
    // Connections closed to make room return their memory in the next turn of the event loop. Many connections that
    // grow within one turn would exceed the budget.
    if (this->sessionContext->option.connectionBudget->isAwaitingReturns())
        asio::post(this->sessionContext->context, yield);
    return true;
}

/// Counts a request that is going to run.
/// @return whether there is room for it.
auto HttpSession::reservePending(const HttpRequest& request) -> bool
{
    if (!this->account)
        return true;
    this->readingBytes = pendingRequestBytes + estimateFieldBytes(request.fields, pendingFieldBytes)
        + uncountedPartOf(request.body.capacity());
    return this->account->resize(this->heldBytes());
}

/// Counts a response instead of its request.
auto HttpSession::recordResponse(PendingRequest& pendingRequest) -> void
{
    if (!this->account)
        return;
    const auto& response = *pendingRequest.response;
    const auto bytes = estimateFieldBytes(response, parsedFieldBytes) + uncountedPartOf(response.body().capacity());
    this->pendingBytes += bytes - pendingRequest.heldBytes;
    pendingRequest.heldBytes = bytes;
    if (pendingRequest.reservation)
        this->pendingReservedBytes += pendingRequest.reservation->bytes();
    this->account->forceResize(this->heldBytes());
    this->account->setBodyBytes(this->pendingReservedBytes);
}

/// Returns what a response held after it has been written.
auto HttpSession::releasePending(const PendingRequest& pendingRequest) -> void
{
    if (!this->account)
        return;
    this->pendingBytes -= pendingRequest.heldBytes;
    if (pendingRequest.response && pendingRequest.reservation)
        this->pendingReservedBytes -= pendingRequest.reservation->bytes();
    this->account->forceResize(this->heldBytes());
    this->account->setBodyBytes(this->pendingReservedBytes);
}

/// Requests whose handler runs keep their connection; otherwise the connection waits for its caller.
auto HttpSession::updateState() -> void
{
    if (!this->account)
        return;
    if (this->isWriting)
        this->account->setState(ConnectionState::Sending, now());
    else if (this->isReading || this->pendingRequests.empty())
        this->account->setState(ConnectionState::Receiving, now());
    else
        this->account->setState(ConnectionState::Running, now());
}

auto HttpSession::heldBytes() const -> std::size_t
{
    return connectionBytes + this->buffer.capacity() + this->readingBytes + this->pendingBytes;
}

/// Returns the memory of a buffer that a large request has made grow.
auto HttpSession::shrinkBuffer() -> void
{
    if (this->buffer.capacity() > readSize && this->buffer.size() <= readSize)
        this->buffer.shrink_to_fit();
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
    if (this->deadlines.recordTaken(this->takenBytes(), now) && this->account)
        this->account->recordProgress(ConnectionState::Sending, now);
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
    pendingRequest->heldBytes = std::exchange(this->readingBytes, 0);
    this->pendingBytes += pendingRequest->heldBytes;
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
    if (this->account)
        this->account->recordProgress(ConnectionState::Sending, now());
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
    this->releasePending(pendingRequest);
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
