/// @file
/// @brief Waiting room of one target pool: requests wait in the fair queue until a target has room.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/http_server.hpp"
#include "citronloft/edge/waiter.hpp"
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

/// @brief Admission to one pool of this zone.
class PoolAdmission {
public:
    PoolAdmission(
        boost::asio::io_context& context, const Clock& clock, std::unique_ptr<RequestQueue> queue, TargetPool targets);

    /// @brief Waits for a slot until the request could no longer be answered in time.
    auto acquire(const SlotRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> SlotDecision;

    /// @brief Takes a slot only if one is free and no request of this zone's callers waits.
    /// @param reservedPart part of the slots that must stay free for them.
    auto tryAcquire(double reservedPart) -> SlotDecision;

    /// @brief Returns a slot and hands it to the next request.
    auto release(const std::string& target, TargetResult result, Duration latency) -> void;

    /// @brief Refuses late requests and hands out free slots; to be called every 20 ms or so.
    auto tick() -> void;

    auto targets() -> TargetPool& { return this->pool; }

    /// @return slots that no local request needs.
    [[nodiscard]] auto headroom() const -> std::uint32_t;

    [[nodiscard]] auto queued() const -> std::size_t { return this->queue->size(); }

private:
    struct SlotWaiter {
        Waiter<SlotDecision> decision;
        TargetWish wish;
    };

    auto dispatch() -> void;
    [[nodiscard]] auto concurrency(TimePoint now) const -> std::size_t;

    boost::asio::io_context& context;
    const Clock& clock;
    std::unique_ptr<RequestQueue> queue;
    TargetPool pool;
    std::map<std::uint64_t, std::shared_ptr<SlotWaiter>> waiters;
    std::uint64_t nextId = 1;
};

} // namespace citronloft
