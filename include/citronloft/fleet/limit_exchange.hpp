/// @file
/// @brief Exchange of observations of targets' limits between hosts.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "citronloft/fleet/membership.hpp"
#include "citronloft/policy/announced_limit.hpp"

namespace citronloft {

/// @brief Sends this host's observations to its zone and, as delegate, those of the zone to all other zones.
///
/// A target's answers reach only the hosts that send to it, which are few. All others learn from them that a limit
/// holds, has changed or has ended. Lost messages are made up for by later observations.
class LimitExchange {
public:
    using Handler = std::function<void(const std::vector<LimitObservation>&)>;

    LimitExchange(const Membership& members, PeerTransport& transport);

    /// @brief Sets the handler for the observations of other hosts.
    auto onObservations(Handler handler) -> void { this->handler = std::move(handler); }

    /// @brief Adds observations of this host, to be sent with the next notice.
    auto report(const std::vector<LimitObservation>& observations) -> void;

    /// @brief Processes a notice of another host.
    auto receive(const LimitNotice& notice, TimePoint now) -> void;

    /// @brief Sends the observations that are due; must be called about every 20 ms.
    /// @param sequence last sequence number of this host's notices; incremented for each notice sent.
    auto tick(std::uint64_t& sequence, TimePoint now) -> void;

private:
    using Observations = std::unordered_map<std::uint64_t, LimitObservation>;

    auto takeNotice(Observations& observations, std::uint64_t& sequence, TimePoint now) const -> LimitNotice;
    auto sendToZone(const LimitNotice& notice) -> void;
    auto sendToOtherZones(const LimitNotice& notice) -> void;

    const Membership& members;
    PeerTransport& transport;
    Handler handler;
    /// This host's observations since its last notice, by target.
    Observations own;
    /// The zone's observations since the last notice to the other zones, by target.
    Observations ofZone;
    TimePoint nextNoticeAt {};
};

} // namespace citronloft
