/// @file
/// @brief Gives requests slots at a pool's targets: at once, after a wait in the queue, or not.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/result_code.hpp"
#include "citronloft/policy/fair_queue.hpp"
#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

/// @brief A request that needs a target.
struct SlotRequest {
    std::size_t team = 0;
    std::uint32_t weight = 1;
    TimePoint deadline;
    TargetWish wish;
    std::uint32_t rank = 0;
    /// Latest start at which the request is answered within its objective.
    TimePoint usefulUntil {};
};

/// @brief A target with a slot, or the reason why there is none.
struct SlotDecision {
    /// Key of the target; empty if refused.
    std::string target;
    ResultCode refusal = ResultCode::NoTarget;
};

/// @brief The slots of one pool as one host may use them.
class SlotAllocator {
public:
    using Done = std::function<void(const SlotDecision&)>;

    SlotAllocator(std::unique_ptr<RequestQueue> queue, TargetPool targets);

    /// @brief Finds a slot now, refuses, or lets the request wait.
    /// @param done called once, perhaps before acquire() returns; it may call release() only later.
    /// @return id for cancel(); 0 if `done` has been called already.
    auto acquire(const SlotRequest& request, TimePoint now, Done done) -> std::uint64_t;

    /// @brief Forgets a waiting request without calling `done`.
    auto cancel(std::uint64_t id) -> void;

    /// @brief Takes a slot only if one is free and no request of this zone's callers waits.
    /// @param reservedPart part of the slots that must stay free for them.
    auto tryAcquire(double reservedPart, TimePoint now) -> SlotDecision;

    /// @brief Returns a slot and hands it to the next request.
    auto release(const std::string& target, TargetResult result, Duration latency, TimePoint now) -> void;

    /// @brief Refuses late requests and hands out free slots; to be called every 20 ms or so.
    auto tick(TimePoint now) -> void;

    auto targets() -> TargetPool& { return this->pool; }

    /// @return slots that no local request needs.
    [[nodiscard]] auto headroom(TimePoint now) const -> std::uint32_t;

    [[nodiscard]] auto queued() const -> std::size_t { return this->queue->size(); }

private:
    struct Waiting {
        TargetWish wish;
        Done done;
    };

    auto dispatch(TimePoint now) -> void;
    auto end(std::uint64_t id, const SlotDecision& decision) -> void;
    [[nodiscard]] auto concurrency(TimePoint now) const -> std::size_t;

    std::unique_ptr<RequestQueue> queue;
    TargetPool pool;
    std::map<std::uint64_t, Waiting> waiting;
    std::uint64_t nextId = 1;
};

} // namespace citronloft
