/// @file
/// @brief Selects the hosts that send requests to a rate-limited target and divides the target's rate among them.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace citronloft {

/// @brief Limits on the traffic to a rate-limited target.
struct TargetSenderOption {
    /// Number of hosts that send. Each of them can send one request without delay, so a small number keeps the total
    /// close to the rate.
    std::size_t senderCount = 3;
    /// Fraction of the rate that is used; the remainder absorbs requests that are sent at intervals but arrive
    /// together.
    double usedFraction = 0.8;
};

/// @brief Returns a host's fraction of the rate of a target.
///
/// The senders are chosen by rendezvous hashing, so hosts with the same list of hosts agree without communication.
/// @param target name of the target's incarnation.
/// @param hosts IP addresses of all hosts that are allowed to send to the target.
/// @return fraction of the rate for host `self`, from 0 to 1; 0 if it is not a sender.
auto senderRateFraction(const std::string& target, const std::string& self, const std::vector<std::string>& hosts,
    TargetSenderOption option = {}) -> double;

} // namespace citronloft
