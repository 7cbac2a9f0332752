#include "citronloft/policy/connection_budget.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace citronloft {

auto evictionReasonName(EvictionReason reason) -> const char*
{
    static constexpr auto names = std::to_array<const char*>({ "memory", "descriptors", "peer-port" });
    return names.at(static_cast<std::size_t>(reason));
}

auto ConnectionBudget::fits(std::size_t growth, std::size_t limit) const -> bool
{
    const auto lasting = this->used - std::min(this->used, this->evictedBytes);
    return growth <= limit && lasting <= limit - growth;
}

auto ConnectionBudget::measure() -> void
{
    if (!this->measureResident)
        return;
    const auto measured = this->measureResident();
    if (!measured)
        return;
    const auto resident = *measured;
    const auto accounted = this->used - std::min(this->used, this->absent);
    this->overhead = resident - std::min(resident, accounted);
    this->measuredUpTo = this->used + this->limitBytes / measuredShareDivisor;
}

auto ConnectionBudget::resizeRequestBody(std::size_t oldBytes, std::size_t newBytes) -> bool
{
    this->measureIfGrowing(oldBytes, newBytes);
    if (newBytes > oldBytes && !this->makeRoom(newBytes - oldBytes, this->requestLimit(), nullptr, false))
        return false;
    this->used = this->used - oldBytes + newBytes;
    return true;
}

auto ConnectionBudget::resizeResponseBody(std::size_t oldBytes, std::size_t newBytes) -> bool
{
    this->measureIfGrowing(oldBytes, newBytes);
    if (newBytes > oldBytes && !this->makeRoom(newBytes - oldBytes, this->limit(), nullptr, false))
        return false;
    this->used = this->used - oldBytes + newBytes;
    return true;
}

auto ConnectionBudget::measureIfGrowing(std::size_t oldBytes, std::size_t newBytes) -> void
{
    if (newBytes > oldBytes && this->used + newBytes - oldBytes > this->measuredUpTo)
        this->measure();
}

auto ConnectionBudget::makeRoomForConnection(TimePoint now) -> bool
{
    this->latest = std::max(this->latest, now);
    if (this->count < this->connectionLimit)
        return true;
    auto* victim = this->findVictim(nullptr, true);
    if (victim == nullptr)
        return false;
    this->evict(*victim, EvictionReason::Descriptors);
    return true;
}

auto ConnectionBudget::makeRoom(std::size_t growth, std::size_t limit, const Account* exempt, bool evictsRecent) -> bool
{
    while (!this->fits(growth, limit)) {
        auto* victim = this->findVictim(exempt, evictsRecent);
        if (victim == nullptr)
            return false;
        this->evict(*victim, EvictionReason::Memory);
    }
    return true;
}

/// Closing an incomplete request loses less than closing a response, for which a request has run.
auto ConnectionBudget::findVictim(const Account* exempt, bool evictsRecent) const -> Account*
{
    const auto firstOf = [&](const Accounts& accounts) -> Account* {
        const auto first = std::ranges::find_if(accounts, [&](const auto* account) { return account != exempt; });
        return first == accounts.end() ? nullptr : *first;
    };
    auto* receiver = firstOf(this->receiving);
    auto* sender = firstOf(this->sending);
    if (receiver != nullptr && this->latest - receiver->lastProgressAt >= stallTimeout)
        return receiver;
    if (sender != nullptr && this->latest - sender->lastProgressAt >= stallTimeout)
        return sender;
    return evictsRecent ? receiver : nullptr;
}

auto ConnectionBudget::evict(Account& account, EvictionReason reason) -> void
{
    if (this->evictionCallback)
        this->evictionCallback(reason);
    account.isEvicted = true;
    account.pendingReturnBytes = account.heldBytes + account.bodyBytes;
    this->evictedBytes += account.pendingReturnBytes;
    --this->count;
    this->others.splice(this->others.end(), account.listOf(account.state), account.position);
    account.state = ConnectionState::Running;
    if (const auto close = std::exchange(account.close, nullptr))
        close();
}

ConnectionBudget::Account::Account(std::shared_ptr<ConnectionBudget> budget, TimePoint now, std::function<void()> close)
    : budget(std::move(budget))
    , close(std::move(close))
    , position(this->budget->receiving.insert(this->budget->receiving.end(), this))
    , lastProgressAt(now)
{
    ++this->budget->count;
}

ConnectionBudget::Account::~Account()
{
    this->setAbsentBytes(0);
    this->budget->used -= this->heldBytes;
    this->budget->evictedBytes -= this->pendingReturnBytes;
    this->listOf(this->state).erase(this->position);
    if (!this->isEvicted)
        --this->budget->count;
}

auto ConnectionBudget::Account::listOf(ConnectionState state) -> Accounts&
{
    if (state == ConnectionState::Receiving)
        return this->budget->receiving;
    return state == ConnectionState::Sending ? this->budget->sending : this->budget->others;
}

auto ConnectionBudget::Account::setState(ConnectionState state, TimePoint now) -> void
{
    this->budget->latest = std::max(this->budget->latest, now);
    if (state == this->state || this->isEvicted)
        return;
    auto& list = this->listOf(state);
    list.splice(list.end(), this->listOf(this->state), this->position);
    this->state = state;
    this->lastProgressAt = now;
}

auto ConnectionBudget::Account::recordProgress(ConnectionState state, TimePoint now) -> void
{
    this->budget->latest = std::max(this->budget->latest, now);
    if (this->state != state || this->isEvicted)
        return;
    this->lastProgressAt = now;
    auto& list = this->listOf(state);
    list.splice(list.end(), list, this->position);
}

auto ConnectionBudget::Account::resize(std::size_t bytes) -> bool
{
    if (this->isEvicted)
        return false;
    this->budget->measureIfGrowing(this->heldBytes, bytes);
    if (bytes > this->heldBytes
        && !this->budget->makeRoom(bytes - this->heldBytes, this->budget->requestLimit(), this, true))
        return false;
    this->forceResize(bytes);
    return true;
}

auto ConnectionBudget::Account::setAbsentBytes(std::size_t bytes) -> void
{
    this->budget->changeAbsentBytes(this->absentBytes, bytes);
    this->absentBytes = bytes;
}

auto ConnectionBudget::Account::forceResize(std::size_t bytes) -> void
{
    this->budget->used = this->budget->used - this->heldBytes + bytes;
    this->heldBytes = bytes;
}

} // namespace citronloft
