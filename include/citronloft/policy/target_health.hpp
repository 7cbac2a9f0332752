/// @file
/// @brief State of one target as this host sees it (a Boost.MSM machine).
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace citronloft {

/// @brief State of a target.
enum class TargetState : std::uint8_t {
    /// Not yet seen to answer; takes a trickle.
    Probing,
    /// Answers, but is new or was away; takes a growing part of its slots.
    Ramping,
    Healthy,
    /// Failing; takes nothing but probes.
    Ejected,
    /// Leaving by configuration or its own report; takes nothing new.
    Draining,
};

/// @brief What happened to a target.
enum class TargetEvent : std::uint8_t { Answered, RampDone, Failed, ProbeOk, DrainStart, DrainEnd };

/// @brief Health machine of one target.
class TargetHealth {
public:
    virtual ~TargetHealth() = default;

    /// @brief Processes an event; one that does not apply in the present state changes nothing.
    virtual auto process(TargetEvent event) -> void = 0;

    [[nodiscard]] virtual auto state() const -> TargetState = 0;
};

/// @brief A machine in state Probing.
auto makeTargetHealth() -> std::unique_ptr<TargetHealth>;

/// @return lower-case name of a state.
auto targetStateName(TargetState state) -> std::string_view;

} // namespace citronloft
