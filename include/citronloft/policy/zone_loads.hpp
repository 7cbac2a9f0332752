/// @file
/// @brief Sums the in-flight requests of a zone's hosts per target.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/target_load.hpp"

namespace citronloft {

/// @brief The latest target loads that each host of a zone has reported.
///
/// Load pattern: zones have dozens of hosts, and each host has a few requests in flight at each of hundreds of targets.
/// If every host sent its loads to every other host, the number of messages would grow with the square of the number of
/// hosts; through a relay, each host sends one message and receives one.
class ZoneLoads {
public:
    /// @param maxAge age at which the loads of a host expire.
    explicit ZoneLoads(Duration maxAge)
        : maxAge(maxAge)
    {
    }

    /// @brief Replaces the loads of a host with a complete new list.
    auto record(std::uint64_t sender, const std::vector<TargetLoad>& loads, TimePoint now) -> void;

    /// @brief Removes the hosts whose latest loads have expired.
    auto removeExpired(TimePoint now) -> void;

    /// @return loads summed over all hosts except `receiver`, with the latest reports of requests from outside the
    /// zone.
    [[nodiscard]] auto sumExcluding(std::uint64_t receiver) const -> std::vector<TargetLoad>;

    /// @brief Clears the reports of requests from outside the zone; to be called after they have been forwarded.
    auto clearReports() -> void { this->outsideInFlight.clear(); }

    [[nodiscard]] auto isEmpty() const -> bool { return this->senders.empty(); }

    /// @return whether the loads have changed since the last call.
    auto takeChanged() -> bool;

private:
    struct Sender {
        std::vector<TargetLoad> loads;
        TimePoint receivedAt;
    };

    Duration maxAge;
    std::map<std::uint64_t, Sender> senders;
    std::unordered_map<std::uint32_t, std::uint8_t> outsideInFlight;
    bool hasChanged = false;
};

} // namespace citronloft
