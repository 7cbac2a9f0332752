/// @file
/// @brief Authenticated datagrams: HMAC with the fleet's shared secret, and replay protection.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <absl/status/statusor.h>

#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief Signs outgoing messages and verifies incoming ones.
///
/// A datagram contains a format version, the sender's incarnation, a sequence number, the message and an HMAC over all
/// of these. For each sender the last 64 sequence numbers are tracked; older and repeated numbers are rejected.
class DatagramSealer {
public:
    /// @param secret shared by all hosts of the fleet.
    /// @param incarnation of this host.
    DatagramSealer(std::string secret, std::uint64_t incarnation);

    /// @return the datagram, or ResourceExhausted if it exceeds the maximum size.
    auto seal(const PeerMessage& message) -> absl::StatusOr<std::string>;

    /// @return the message, or InvalidArgument if the datagram is malformed, PermissionDenied if it is not authentic,
    /// AlreadyExists if it is a replay.
    auto open(const std::string& datagram) -> absl::StatusOr<PeerMessage>;

private:
    struct ReplayWindow {
        std::uint64_t newest = 0;
        std::uint64_t seen = 0;
    };

    auto acceptSequence(std::uint64_t sender, std::uint64_t sequence) -> bool;

    std::string secret;
    std::uint64_t incarnation;
    std::uint64_t nextSequence = 1;
    std::unordered_map<std::uint64_t, ReplayWindow> windows;
};

} // namespace citronloft
