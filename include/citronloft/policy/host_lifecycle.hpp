/// @file
/// @brief Lifecycle of a host (a Boost.MSM machine): joining, serving, leaving, stopped.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace citronloft {

/// @brief Stage of a host's life.
enum class HostState : std::uint8_t {
    /// Waits for its first configuration.
    Joining,
    Serving,
    /// Planned stop: out of look-ups, still answering requests.
    Leaving,
    Stopped,
};

/// @brief What moves a host to its next stage.
enum class HostEvent : std::uint8_t { ConfigInForce, StopRequested, Drained };

/// @brief Lifecycle machine of this host.
class HostLifecycle {
public:
    virtual ~HostLifecycle() = default;

    /// @brief Processes an event; one that does not apply in the present state changes nothing.
    virtual auto process(HostEvent event) -> void = 0;

    [[nodiscard]] virtual auto state() const -> HostState = 0;
};

/// @brief A machine in state Joining.
auto makeHostLifecycle() -> std::unique_ptr<HostLifecycle>;

/// @return lower-case name of a state.
auto hostStateName(HostState state) -> std::string_view;

} // namespace citronloft
