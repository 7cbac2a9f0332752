/// @file
/// @brief Sums of what a zone's hosts have in flight at the targets.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/target_load.hpp"

namespace citronloft {

/// @brief The newest loads of each host of a zone.
///
/// Load pattern: zones of dozens of hosts, each of which has a few requests at each of hundreds of targets. A notice
/// from each host to each other one grows with the square of the zone; through a relay each host sends one and receives
/// one.
class ZoneLoads {
public:
    /// @param maxAge notices that are older are ignored.
    explicit ZoneLoads(Duration maxAge)
        : maxAge(maxAge)
    {
    }

    /// @brief Takes in a host's loads, whole each time.
    auto note(std::uint64_t sender, const std::vector<TargetLoad>& loads, TimePoint now) -> void;

    /// @brief Forgets hosts that have fallen silent.
    auto forgetSilent(TimePoint now) -> void;

    /// @return the loads of all hosts but `receiver`, and the newest reports of requests from outside the zone.
    [[nodiscard]] auto sumWithout(std::uint64_t receiver) const -> std::vector<TargetLoad>;

    /// @brief Drops the reports of requests from outside; to be called once they have been passed on.
    auto clearReports() -> void { this->outside.clear(); }

    [[nodiscard]] auto isEmpty() const -> bool { return this->senders.empty(); }

    /// @return whether something was noted since the last call.
    auto takeChanged() -> bool;

private:
    struct Sender {
        std::vector<TargetLoad> loads;
        TimePoint heardAt;
    };

    Duration maxAge;
    std::map<std::uint64_t, Sender> senders;
    std::unordered_map<std::uint32_t, std::uint8_t> outside;
    bool hasChanged = false;
};

} // namespace citronloft
