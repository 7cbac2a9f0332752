/// @file
/// @brief Admission control of one target pool: coroutines wait until a target has a free slot.
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/edge/http_server.hpp"
#include "citronloft/policy/slot_allocator.hpp"

namespace citronloft {

/// @brief Grants requests slots at the targets of one pool.
class PoolAdmission {
public:
    PoolAdmission(
        boost::asio::io_context& context, const Clock& clock, std::unique_ptr<RequestQueue> queue, TargetPool targets);

    /// @brief Waits for a slot; refuses the request when it can no longer be answered in time.
    /// @return the target, or the reason for the refusal; CallerGone if the caller disconnects while waiting.
    auto acquire(const SlotRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> SlotDecision;

    /// @brief Takes a slot only if one is free and no request of this zone's callers is queued.
    /// @param reservedFraction fraction of the slots, from 0 to 1, that must remain free for this zone's callers.
    auto tryAcquire(double reservedFraction) -> SlotDecision
    {
        return this->slots.tryAcquire(reservedFraction, this->clock.now());
    }

    /// @brief Refuses every queued request.
    auto refuseQueued(ResultCode reason) -> void { this->slots.refuseQueued(reason); }

    /// @brief Releases a slot and grants it to the next queued request.
    auto release(const std::string& target, TargetResult result, Duration latency) -> void
    {
        this->slots.release(target, result, latency, this->clock.now());
    }

    /// @brief Refuses queued requests that are too late and grants free slots; to be called about every 20 ms.
    auto tick() -> void { this->slots.tick(this->clock.now()); }

    auto targets() -> TargetPool& { return this->slots.targets(); }

    /// @return the number of slots that local requests do not need.
    [[nodiscard]] auto headroom() const -> std::uint32_t { return this->slots.headroom(this->clock.now()); }

    /// @return the number of queued requests.
    [[nodiscard]] auto queued() const -> std::size_t { return this->slots.queued(); }

private:
    boost::asio::io_context& context;
    const Clock& clock;
    SlotAllocator slots;
};

} // namespace citronloft
