/// @file
/// @brief Simulated entry host: runs the product's decision code in virtual time, without sockets.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "citronloft/model/event_queue.hpp"
#include "citronloft/model/simulated_target.hpp"
#include "citronloft/model/strategy.hpp"
#include "citronloft/policy/slot_allocator.hpp"

namespace citronloft {

/// @brief A target and its network distance from one host.
struct ReachableTarget {
    LiveTarget live;
    SimulatedTarget* target = nullptr;
    Duration oneWay {};
};

/// @brief One attempt by a caller.
struct ModelRequest {
    const RequestKind* kind = nullptr;
    std::uint64_t object = 0;
    std::size_t team = 0;
    /// Start of the caller's first attempt.
    TimePoint firstAt;
    TimePoint deadline;
};

/// @brief Outcome of an attempt.
struct ModelOutcome {
    TaskResult result = TaskResult::Answered;
    bool wasRefused = false;
    bool wasWarm = false;
    Duration retryAfter {};
};

/// @brief One simulated host.
class ModelHost {
public:
    using Done = std::function<void(const ModelOutcome&)>;

    ModelHost(EventQueue& events, const Strategy& strategy, const LoadPattern& pattern,
        std::vector<ReachableTarget> targets, std::uint64_t seed);

    /// @brief Accepts a request.
    auto handle(const ModelRequest& request, Done done) -> void;

    /// @brief Applies the target list from discovery.
    auto setTargets(std::vector<ReachableTarget> changed) -> void;

    auto tick() -> void { this->slots.tick(this->events.now()); }

    /// @return the notice that the host sends to the other hosts of its zone.
    auto takeLoads() -> std::vector<TargetLoad> { return this->slots.targets().takeLoads(); }

    auto updateZoneLoads(const std::vector<TargetLoad>& loads) -> void
    {
        this->slots.targets().setZoneLoads(loads, this->events.now());
    }

private:
    /// A request in progress, across its attempts.
    struct PendingRequest {
        ModelRequest request;
        TargetRequirements requirements;
        unsigned attempts = 0;
        Done done;
    };

    using PendingPointer = std::shared_ptr<PendingRequest>;

    auto attempt(const PendingPointer& running) -> void;
    auto send(const PendingPointer& running, const std::string& key) -> void;
    auto finish(const PendingPointer& running, const std::string& key, const TaskAnswer& answer, Duration latency)
        -> void;
    auto report(const std::string& key, std::uint32_t inFlight) -> void;
    [[nodiscard]] auto find(const std::string& key) const -> const ReachableTarget*;
    auto drawRetryAfter() -> Duration;

    EventQueue& events;
    const Strategy& strategy;
    const LoadPattern& pattern;
    std::vector<ReachableTarget> targets;
    pcg32 random;
    SlotAllocator slots;
};

} // namespace citronloft
