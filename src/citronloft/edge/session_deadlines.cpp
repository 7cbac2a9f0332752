#include "session_deadlines.hpp"

namespace citronloft {

auto SessionDeadlines::beginRequest(TimePoint now) -> void
{
    this->readDeadline = now + this->option.requestTimeout;
    this->nextBodyProgress = ConnectionBudget::progressBytes;
    this->isInBody = false;
}

auto SessionDeadlines::recordBody(std::size_t bytes, TimePoint now) -> bool
{
    if (bytes < this->nextBodyProgress)
        return false;
    this->readDeadline = now + this->option.requestTimeout;
    this->nextBodyProgress = bytes + ConnectionBudget::progressBytes;
    return true;
}

auto SessionDeadlines::beginResponse(std::size_t takenBytes, TimePoint now) -> void
{
    this->writeDeadline = now + this->option.writeTimeout;
    this->nextTakenProgress = takenBytes + ConnectionBudget::progressBytes;
}

auto SessionDeadlines::recordTaken(std::size_t takenBytes, TimePoint now) -> bool
{
    if (takenBytes < this->nextTakenProgress)
        return false;
    this->beginResponse(takenBytes, now);
    return true;
}

auto SessionDeadlines::endResponse(TimePoint now) -> void
{
    this->writeDeadline = TimePoint::max();
    this->beginIdle(now);
}

auto SessionDeadlines::isOverdue(TimePoint now, bool isIdle) const -> bool
{
    const auto isIdleTooLong = isIdle && now >= this->idleDeadline;
    return isIdleTooLong || now >= this->readDeadline || now >= this->writeDeadline || now >= this->lingerDeadline;
}

auto SessionDeadlines::missed(TimePoint now) const -> std::optional<ConnectionClosure>
{
    if (now >= this->writeDeadline)
        return ConnectionClosure::ResponseTimeout;
    if (now >= this->readDeadline)
        return this->isInBody ? ConnectionClosure::BodyTimeout : ConnectionClosure::HeaderTimeout;
    return std::nullopt;
}

} // namespace citronloft
