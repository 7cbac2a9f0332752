/// @file
/// @brief Division of a zone's slots among its hosts without leases: every host computes its own run of slots.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/shares.hpp"

namespace citronloft {

/// @brief Limits of the division.
struct EvenSharesOption {
    /// A host that has not been heard of for so long no longer holds a part. Long, so that a host that is cut off from
    /// others does not take their parts.
    Duration remember = std::chrono::seconds { 60 };
    /// After its start a host does not know its zone yet; until then it counts on at least `leastHosts`.
    Duration startTime = std::chrono::seconds { 2 };
    std::size_t leastHosts = 8;
};

/// @brief This host's slots: the zone's slots divided evenly, in the order of the hosts' IP numbers.
///
/// Two hosts overlap only while they know different hosts of the zone, which is for the time that membership needs
/// after a host was added. A host that restarts at its address keeps its part.
class EvenShares {
public:
    EvenShares(EvenSharesOption option, std::string self, TimePoint now);

    /// @brief Notes a live host of the zone by its IP number.
    auto note(const std::string& ip, TimePoint now) -> void;

    /// @return the slots that this host may use now.
    auto usable(TimePoint now) -> std::vector<SlotRange>;

private:
    EvenSharesOption option;
    std::string self;
    TimePoint startedAt;
    std::map<std::string, TimePoint> heardAt;
};

} // namespace citronloft
