/// @file
/// @brief Authenticated datagrams: HMAC under the fleet's secret, and a bound on replays.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <absl/status/statusor.h>

#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief Seals outgoing messages and opens incoming ones.
///
/// A datagram holds a format version, the sender's incarnation, a sequence number, the message and an HMAC over all of
/// it. Per sender a window of the last 64 numbers is kept; numbers before or twice in it are refused.
class DatagramSealer {
public:
    /// @param secret shared by all hosts of the fleet.
    /// @param incarnation of this host.
    DatagramSealer(std::string secret, std::uint64_t incarnation);

    /// @return the bytes to send, or ResourceExhausted if the message is too long.
    auto seal(const PeerMessage& message) -> absl::StatusOr<std::string>;

    /// @return the message; InvalidArgument if malformed, PermissionDenied if not authentic, AlreadyExists if replayed.
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
