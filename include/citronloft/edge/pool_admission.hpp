/// @file
/// @brief Waiting room of one target pool: coroutines wait until a target has room.
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/edge/http_server.hpp"
#include "citronloft/policy/slot_allocator.hpp"

namespace citronloft {

/// @brief Admission to one pool of this zone.
class PoolAdmission {
public:
    PoolAdmission(
        boost::asio::io_context& context, const Clock& clock, std::unique_ptr<RequestQueue> queue, TargetPool targets);

    /// @brief Waits for a slot until the request could no longer be answered in time.
    auto acquire(const SlotRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> SlotDecision;

    /// @brief Takes a slot only if one is free and no request of this zone's callers waits.
    /// @param reservedPart part of the slots that must stay free for them.
    auto tryAcquire(double reservedPart) -> SlotDecision
    {
        return this->slots.tryAcquire(reservedPart, this->clock.now());
    }

    /// @brief Returns a slot and hands it to the next request.
    auto release(const std::string& target, TargetResult result, Duration latency) -> void
    {
        this->slots.release(target, result, latency, this->clock.now());
    }

    /// @brief Refuses late requests and hands out free slots; to be called every 20 ms or so.
    auto tick() -> void { this->slots.tick(this->clock.now()); }

    auto targets() -> TargetPool& { return this->slots.targets(); }

    /// @return slots that no local request needs.
    [[nodiscard]] auto headroom() const -> std::uint32_t { return this->slots.headroom(this->clock.now()); }

    [[nodiscard]] auto queued() const -> std::size_t { return this->slots.queued(); }

private:
    boost::asio::io_context& context;
    const Clock& clock;
    SlotAllocator slots;
};

} // namespace citronloft
