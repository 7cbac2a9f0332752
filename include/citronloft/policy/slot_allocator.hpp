/// @file
/// @brief Allocates slots at a pool's targets to requests: immediately, after queueing, or not at all.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/result_code.hpp"
#include "citronloft/policy/request_queue.hpp"
#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

/// @brief A request that needs a target.
struct SlotRequest {
    std::size_t team = 0;
    std::uint32_t weight = 1;
    TimePoint deadline;
    TargetRequirements requirements;
    std::uint32_t rank = 0;
    /// Latest start time at which the request can be answered within its latency objective.
    TimePoint latestOnTimeStart {};
};

/// @brief Result of an allocation: a target, or the reason for the refusal.
struct SlotDecision {
    /// Key of the target; empty if the request is refused.
    std::string target;
    ResultCode refusal = ResultCode::NoTarget;
};

/// @brief The slots of one pool that this host can allocate.
class SlotAllocator {
public:
    using Done = std::function<void(const SlotDecision&)>;

    SlotAllocator(std::unique_ptr<RequestQueue> queue, TargetPool targets);

    /// @brief Allocates a slot, refuses the request, or queues it.
    /// @param done called once, possibly before acquire() returns; must not call release() directly.
    /// @return id for cancel(); 0 if `done` has already been called.
    auto acquire(const SlotRequest& request, TimePoint now, Done done) -> std::uint64_t;

    /// @brief Removes a queued request without calling `done`.
    auto cancel(std::uint64_t id) -> void;

    /// @brief Refuses every queued request.
    auto refuseQueued(ResultCode reason) -> void;

    /// @brief Allocates a slot only if enough are free and no request of this zone's callers is queued.
    /// @param reservedFraction fraction of the slots that is reserved for this zone's callers.
    auto tryAcquire(double reservedFraction, TimePoint now) -> SlotDecision;

    /// @brief Releases a slot and assigns free slots to queued requests.
    auto release(const std::string& target, TargetResult result, Duration latency, TimePoint now) -> void;

    /// @brief Refuses requests that are too late, or all if no target is left, and assigns free slots; to be called
    /// about every 20 ms.
    auto tick(TimePoint now) -> void;

    auto targets() -> TargetPool& { return this->pool; }

    /// @return number of free slots, or 0 while requests are queued.
    [[nodiscard]] auto headroom(TimePoint now) const -> std::uint32_t;

    [[nodiscard]] auto queued() const -> std::size_t { return this->queue->size(); }

private:
    struct Waiting {
        TargetRequirements requirements;
        Done done;
    };

    auto dispatch(TimePoint now) -> void;
    auto complete(std::uint64_t id, const SlotDecision& decision) -> void;
    [[nodiscard]] auto concurrency(TimePoint now) const -> std::size_t;

    std::unique_ptr<RequestQueue> queue;
    TargetPool pool;
    std::map<std::uint64_t, Waiting> waiting;
    std::uint64_t nextId = 1;
};

} // namespace citronloft
