/// @file
/// @brief Health state machine of one target, as observed by this host (Boost.MSM).
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace citronloft {

/// @brief State of a target.
enum class TargetState : std::uint8_t {
    /// Has not answered yet; receives only a small number of requests.
    Probing,
    /// Answers, but is new or was ejected before; receives requests up to a growing fraction of its slots.
    Ramping,
    Healthy,
    /// Failing; receives only probes.
    Ejected,
    /// Draining by configuration or by its own report; receives no new requests.
    Draining,
};

/// @brief Event that can change the state of a target.
enum class TargetEvent : std::uint8_t { Answered, RampDone, Failed, ProbeOk, DrainStart, DrainEnd };

/// @brief Health state machine of one target.
class TargetHealth {
public:
    virtual ~TargetHealth() = default;

    /// @brief Processes an event; an event without a transition from the current state is ignored.
    virtual auto process(TargetEvent event) -> void = 0;

    [[nodiscard]] virtual auto state() const -> TargetState = 0;
};

/// @brief Creates a state machine in state Probing.
auto makeTargetHealth() -> std::unique_ptr<TargetHealth>;

/// @return name of a state in lower case.
auto targetStateName(TargetState state) -> std::string_view;

} // namespace citronloft
