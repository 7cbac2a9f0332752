/// @file
/// @brief How a host divides its memory and its file descriptors.
#pragma once

#include <cstddef>

#include "citronloft/base/host_settings.hpp"

namespace citronloft {

/// @brief Limits that follow from the memory and the descriptors in a host's settings.
struct ResourceLimits {
    /// Memory of the process, or of its connections if the memory of the process cannot be measured, in bytes.
    std::size_t processBytes = 0;
    std::size_t connectionBytes = 0;
    /// Receive buffer of a caller's connection in bytes; 0 keeps the system's default.
    std::size_t receiveBufferBytes = 0;
    /// Connections of callers, at all ports together.
    std::size_t callerConnections = 0;
    /// Connections to targets and other hosts that carry requests.
    std::size_t targetConnections = 0;
    /// Connections that other hosts have opened at the peer port.
    std::size_t peerConnections = 0;
};

/// @return limits for the settings. Without a memory in the settings, memory and receive buffers are not limited;
/// without descriptors, the limit of the process applies.
auto resourceLimitsOf(const HostSettings& settings) -> ResourceLimits;

} // namespace citronloft
