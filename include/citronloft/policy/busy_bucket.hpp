/// @file
/// @brief Division and loan sizes of buckets whose holders serve many hosts with few requests each.
#pragma once

#include <cstddef>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Hosts that share a bucket's rate.
struct FleetSize {
    std::size_t zones = 1;
    std::size_t hosts = 1;
};

/// @return whether a bucket is busy: with one loan request for each request, a zone's holder would receive 100 or more
/// per second, and a host's even share is so small that its usual loans cover less than four requests.
/// @param rate fleet-wide rate in tokens per second.
/// @param horizon length of future demand that loans usually cover.
auto isBusyBucket(double rate, const FleetSize& fleet, Duration horizon) -> bool;

/// @return the tokens that a host keeps borrowed for a busy bucket; it borrows again at half of them.
/// @param demand of the host's callers, in tokens per second.
auto busyLoanTokens(double rate, const FleetSize& fleet, double demand) -> double;

/// @brief Demands for one bucket as known to its holder, in tokens per second.
struct HolderDemand {
    /// Measured demand of the holder's zone.
    double measured = 0;
    /// Rate at which the holder currently mints tokens.
    double minted = 0;
    /// Demand of this holder that all hosts account for.
    double confirmed = 0;
    /// Demand that all other hosts have announced.
    double others = 0;
};

/// @brief Demand that a holder of a busy bucket announces.
///
/// Load pattern: a team's demand rises several times at once in all zones. While increases are announced and not
/// confirmed, each host makes room for the others' increases and cannot use its own, so that the fleet mints less than
/// the rate exactly when demand is highest. A holder therefore announces an even part of the rate, and more only when
/// it mints less than its zone's demand, in steps and up to a limit for all holders together.
/// @return demand to announce, in tokens per second.
auto announcedHolderDemand(double rate, std::size_t zones, const HolderDemand& demand) -> double;

} // namespace citronloft
