/// @file
/// @brief Which hosts send to a target that is cold, and how much each of them.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace citronloft {

/// @brief Limits on the sending to a cold target.
struct ColdFeederOption {
    /// Hosts that send. Each may send one request at once, so few hosts keep the sum near the rate.
    std::size_t feeders = 3;
    /// Part of the rate that is used: requests that were sent apart may arrive together.
    double reserve = 0.8;
};

/// @brief Finds a host's part of a cold target's rate.
///
/// Rendezvous hashing chooses the feeders, so that hosts that know each other agree without a message.
/// @param target name of the run of the target.
/// @param hosts IP numbers of all hosts that may send to it.
/// @return part of the rate for host `self`, from 0 to 1.
auto coldFeederPart(const std::string& target, const std::string& self, const std::vector<std::string>& hosts,
    ColdFeederOption option = {}) -> double;

} // namespace citronloft
