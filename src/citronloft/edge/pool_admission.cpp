#include "citronloft/edge/pool_admission.hpp"

namespace citronloft {

namespace {

auto refusalOf(Admission admission) -> ResultCode
{
    return admission == Admission::QueueFull ? ResultCode::QueueFull : ResultCode::DeadlineTooShort;
}

} // namespace

PoolAdmission::PoolAdmission(
    boost::asio::io_context& context, const Clock& clock, std::unique_ptr<RequestQueue> queue, TargetPool targets)
    : context(context)
    , clock(clock)
    , queue(std::move(queue))
    , pool(std::move(targets))
{
}

auto PoolAdmission::acquire(const SlotRequest& request, CallerContext& caller, boost::asio::yield_context yield)
    -> SlotDecision
{
    const auto now = this->clock.now();
    if (!this->pool.isUsable(now))
        return { {}, ResultCode::NoTarget };
    // Requests that wait for other targets do not hold up one whose target is free.
    if (this->queue->size() == 0 || request.wish.object) {
        if (const auto target = this->pool.acquireFor(request.wish, now))
            return { *target, ResultCode::Answered };
    }
    const auto id = this->nextId++;
    const auto queued
        = QueuedRequest { id, request.team, request.weight, request.deadline, request.rank, request.usefulUntil };
    const auto admission = this->queue->offer(queued, this->pool.serviceTime(), this->concurrency(now), now);
    if (admission != Admission::Queued)
        return { {}, refusalOf(admission) };
    auto waiter = std::make_shared<SlotWaiter>(SlotWaiter { Waiter<SlotDecision>(this->context), request.wish });
    this->waiters[id] = waiter;
    caller.onGone([this, id, waiter] {
        this->queue->remove(id);
        waiter->decision.set({ {}, ResultCode::CallerGone });
    });
    const auto decision = waiter->decision.wait(request.deadline, yield);
    caller.onGone(nullptr);
    this->queue->remove(id);
    this->waiters.erase(id);
    return decision.value_or(SlotDecision { {}, ResultCode::DeadlineTooShort });
}

auto PoolAdmission::tryAcquire(double reservedPart) -> SlotDecision
{
    const auto now = this->clock.now();
    const auto reserved = static_cast<double>(this->pool.totalSlots(now)) * reservedPart;
    if (this->queue->size() > 0 || static_cast<double>(this->pool.freeSlots(now)) <= reserved)
        return { {}, ResultCode::SpillRefused };
    const auto target = this->pool.acquireFor({}, now);
    return target ? SlotDecision { *target, ResultCode::Answered } : SlotDecision { {}, ResultCode::SpillRefused };
}

auto PoolAdmission::release(const std::string& target, TargetResult result, Duration latency) -> void
{
    this->pool.release(target, result, latency, this->clock.now());
    this->dispatch();
}

auto PoolAdmission::tick() -> void
{
    for (const auto& late : this->queue->removeLate(this->pool.serviceTime(), this->clock.now())) {
        const auto waiter = this->waiters.find(late.id);
        if (waiter != this->waiters.end())
            waiter->second->decision.set({ {}, ResultCode::DeadlineTooShort });
    }
    this->dispatch();
}

auto PoolAdmission::headroom() const -> std::uint32_t
{
    return this->queue->size() > 0 ? 0 : this->pool.freeSlots(this->clock.now());
}

auto PoolAdmission::dispatch() -> void
{
    const auto now = this->clock.now();
    const auto tryStart = [this, now](const QueuedRequest& request) {
        const auto waiter = this->waiters.find(request.id);
        // Its coroutine has been woken already and removes what is left of it.
        if (waiter == this->waiters.end())
            return true;
        const auto target = this->pool.acquireFor(waiter->second->wish, now);
        if (target)
            waiter->second->decision.set({ *target, ResultCode::Answered });
        return target.has_value();
    };
    while (this->queue->size() > 0 && this->pool.hasRoom(now)) {
        auto dropped = std::optional<std::uint64_t> {};
        const auto isTaken = this->queue->takeFirst([&](const QueuedRequest& request) {
            const auto isStarted = tryStart(request);
            dropped = isStarted ? std::nullopt : std::optional { request.id };
            return isStarted;
        });
        if (!isTaken)
            return;
        // A queue that keeps its order gives a request up for which the room is none.
        if (dropped)
            this->waiters.at(*dropped)->decision.set({ {}, ResultCode::NoTarget });
    }
}

/// Requests of this host that run at the same time while others wait.
auto PoolAdmission::concurrency(TimePoint now) const -> std::size_t
{
    return std::min<std::size_t>(this->pool.totalSlots(now), std::max<std::size_t>(this->pool.inFlight(), 1));
}

} // namespace citronloft
