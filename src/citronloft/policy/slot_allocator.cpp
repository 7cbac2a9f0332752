#include "citronloft/policy/slot_allocator.hpp"

#include <algorithm>
#include <vector>

namespace citronloft {

namespace {

auto refusalCode(Admission admission) -> ResultCode
{
    return admission == Admission::QueueFull ? ResultCode::QueueFull : ResultCode::DeadlineTooShort;
}

} // namespace

SlotAllocator::SlotAllocator(std::unique_ptr<RequestQueue> queue, TargetPool targets)
    : queue(std::move(queue))
    , pool(std::move(targets))
{
}

auto SlotAllocator::acquire(const SlotRequest& request, TimePoint now, Done done) -> std::uint64_t
{
    if (!this->pool.hasUsableTarget(now)) {
        done({ {}, ResultCode::NoTarget });
        return 0;
    }
    // A request for an object does not wait behind requests for other targets if its own target is free.
    if (this->queue->size() == 0 || request.requirements.object) {
        if (const auto target = this->pool.acquireFor(request.requirements, now)) {
            done({ *target, ResultCode::Answered });
            return 0;
        }
    }
    const auto id = this->nextId++;
    const auto queued
        = QueuedRequest { id, request.team, request.weight, request.deadline, request.rank, request.latestOnTimeStart };
    const auto admission = this->queue->offer(queued, this->pool.serviceTime(), this->concurrency(now), now);
    if (admission != Admission::Queued) {
        done({ {}, refusalCode(admission) });
        return 0;
    }
    this->waiting.emplace(id, Waiting { request.requirements, std::move(done) });
    return id;
}

auto SlotAllocator::cancel(std::uint64_t id) -> void
{
    this->queue->remove(id);
    this->waiting.erase(id);
}

auto SlotAllocator::refuseQueued(ResultCode reason) -> void
{
    while (!this->waiting.empty()) {
        const auto id = this->waiting.begin()->first;
        this->queue->remove(id);
        this->complete(id, { {}, reason });
    }
}

auto SlotAllocator::tryAcquire(double reservedFraction, TimePoint now) -> SlotDecision
{
    const auto reserved = static_cast<double>(this->pool.totalSlots(now)) * reservedFraction;
    if (this->queue->size() > 0 || static_cast<double>(this->pool.freeSlots(now)) <= reserved)
        return { {}, ResultCode::SpillRefused };
    const auto target = this->pool.acquireFor({}, now);
    return target ? SlotDecision { *target, ResultCode::Answered } : SlotDecision { {}, ResultCode::SpillRefused };
}

auto SlotAllocator::release(const std::string& target, TargetResult result, Duration latency, TimePoint now) -> void
{
    this->pool.release(target, result, latency, now);
    this->dispatch(now);
}

auto SlotAllocator::tick(TimePoint now) -> void
{
    for (const auto& late : this->queue->removeLate(this->pool.serviceTime(), now))
        this->complete(late.id, { {}, ResultCode::DeadlineTooShort });
    if (this->queue->size() > 0 && !this->pool.hasUsableTarget(now))
        this->refuseQueued(ResultCode::NoTarget);
    this->dispatch(now);
}

auto SlotAllocator::headroom(TimePoint now) const -> std::uint32_t
{
    return this->queue->size() > 0 ? 0 : this->pool.freeSlots(now);
}

auto SlotAllocator::dispatch(TimePoint now) -> void
{
    while (this->queue->size() > 0 && this->pool.hasFreeCapacity(now)) {
        auto startedId = std::uint64_t { 0 };
        auto target = std::optional<std::string> {};
        const auto isStarted = this->queue->takeFirst([&](const QueuedRequest& request) {
            startedId = request.id;
            target = this->pool.acquireFor(this->waiting.at(request.id).requirements, now);
            return target.has_value();
        });
        if (!isStarted)
            return;
        // A queue with a strict order removes a request even if no target can accept it.
        this->complete(startedId,
            target ? SlotDecision { *target, ResultCode::Answered } : SlotDecision { {}, ResultCode::NoTarget });
    }
}

auto SlotAllocator::complete(std::uint64_t id, const SlotDecision& decision) -> void
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    const auto done = std::move(found->second.done);
    this->waiting.erase(found);
    done(decision);
}

/// Returns the number of this host's requests that run concurrently while others wait.
auto SlotAllocator::concurrency(TimePoint now) const -> std::size_t
{
    return std::min<std::size_t>(this->pool.totalSlots(now), std::max<std::size_t>(this->pool.inFlight(), 1));
}

} // namespace citronloft
