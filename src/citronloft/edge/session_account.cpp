#include "session_account.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

namespace {

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

/// Estimates the memory of parsed fields, whose short ones take many times their size.
auto estimateFieldBytes(const boost::beast::http::fields& fields, std::size_t fieldBytes) -> std::size_t
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

} // namespace

auto SessionAccount::open(
    const std::shared_ptr<ConnectionBudget>& sharedBudget, TimePoint now, std::function<void()> close) -> bool
{
    if (!sharedBudget)
        return true;
    this->budget = sharedBudget;
    this->account.emplace(sharedBudget, now, std::move(close));
    return this->account->resize(this->heldBytes());
}

auto SessionAccount::setState(ConnectionState state, TimePoint now) -> void
{
    if (this->account)
        this->account->setState(state, now);
}

auto SessionAccount::recordProgress(ConnectionState state, TimePoint now) -> void
{
    if (this->account)
        this->account->recordProgress(state, now);
}

auto SessionAccount::setUnreadBytes(std::size_t bytes) -> void
{
    if (!this->account || bytes == this->unreadBytes)
        return;
    this->unreadBytes = bytes;
    this->forceResize();
    this->account->setAbsentBytes(bytes);
}

auto SessionAccount::recordHeader(const boost::beast::http::fields& fields) -> bool
{
    if (!this->account)
        return true;
    this->fieldBytes = estimateFieldBytes(fields, parsedFieldBytes);
    return this->account->resize(this->heldBytes());
}

auto SessionAccount::recordBody(std::size_t capacity, std::size_t reservedBytes) -> bool
{
    if (!this->account)
        return true;
    this->bodyBytes = uncountedPartOf(capacity);
    this->account->setBodyBytes(this->pendingReservedBytes + reservedBytes);
    return this->account->resize(this->heldBytes());
}

auto SessionAccount::endReading() -> void
{
    this->fieldBytes = 0;
    this->bodyBytes = 0;
    if (this->account)
        this->forceResize();
}

auto SessionAccount::reservePending(const HttpRequest& request) -> std::optional<Pending>
{
    if (!this->account)
        return Pending {};
    const auto bytes = pendingRequestBytes + estimateFieldBytes(request.fields, pendingFieldBytes)
        + uncountedPartOf(request.body.capacity());
    if (!this->account->resize(this->heldBytes() + bytes))
        return std::nullopt;
    this->pendingBytes += bytes;
    return Pending { bytes, 0 };
}

auto SessionAccount::recordResponse(Pending& pending, const boost::beast::http::fields& fields,
    std::size_t bodyCapacity, std::size_t reservedBytes) -> void
{
    if (!this->account)
        return;
    this->releasePending(pending);
    pending = { estimateFieldBytes(fields, parsedFieldBytes) + uncountedPartOf(bodyCapacity), reservedBytes };
    this->pendingBytes += pending.heldBytes;
    this->pendingReservedBytes += pending.reservedBytes;
    this->forceResize();
    this->account->setBodyBytes(this->pendingReservedBytes);
}

auto SessionAccount::releasePending(const Pending& pending) -> void
{
    if (!this->account)
        return;
    this->pendingBytes -= pending.heldBytes;
    this->pendingReservedBytes -= pending.reservedBytes;
    this->forceResize();
    this->account->setBodyBytes(this->pendingReservedBytes);
}

auto SessionAccount::allowsReadAhead() const -> bool
{
    return !this->account
        || (this->pendingBytes + this->pendingReservedBytes < maxReadAheadBytes && this->budget->allowsReadAhead());
}

auto SessionAccount::isAwaitingReturns() const -> bool { return this->account && this->budget->isAwaitingReturns(); }

auto SessionAccount::heldBytes() const -> std::size_t
{
    return connectionBytes + this->bufferBytes + this->unreadBytes + this->fieldBytes + this->bodyBytes
        + this->pendingBytes;
}

auto SessionAccount::forceResize() -> void { this->account->forceResize(this->heldBytes()); }

} // namespace citronloft
