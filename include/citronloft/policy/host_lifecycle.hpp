/// @file
/// @brief Lifecycle state machine of a host (Boost.MSM): joining, serving, leaving, stopped.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace citronloft {

/// @brief Lifecycle state of a host.
enum class HostState : std::uint8_t {
    /// Waiting for the first configuration.
    Joining,
    Serving,
    /// Planned stop: removed from look-ups but still answering requests.
    Leaving,
    Stopped,
};

/// @brief Event that can change the state of a host.
enum class HostEvent : std::uint8_t { ConfigApplied, StopRequested, Drained };

/// @brief Lifecycle state machine of this host.
class HostLifecycle {
public:
    virtual ~HostLifecycle() = default;

    /// @brief Processes an event; an event without a transition from the current state is ignored.
    virtual auto process(HostEvent event) -> void = 0;

    [[nodiscard]] virtual auto state() const -> HostState = 0;
};

/// @brief Creates a state machine in state Joining.
auto makeHostLifecycle() -> std::unique_ptr<HostLifecycle>;

/// @return name of a state in lower case.
auto hostStateName(HostState state) -> std::string_view;

} // namespace citronloft
