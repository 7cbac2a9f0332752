/// @file
/// @brief Division of fleet-wide rates among hosts by the demand that each of them sees.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/announced_demand.hpp"

namespace citronloft {

/// @brief Limits of the division.
struct DemandSharesOption {
    /// A silent host's demand is remembered for so long: it may be cut off and go on serving.
    Duration remember = std::chrono::seconds { 60 };
    /// Part of a rate that is divided evenly, whatever the demand: a host that has announced nothing yet has some of
    /// it. Hundreds of hosts strand it in parts of tokens, so it is small.
    double evenPart = 0.05;
    /// A host of this zone that is heard so long after an announcement has taken it in: some round trips and a tick.
    Duration hostSettle = std::chrono::milliseconds { 60 };
    /// The same for another zone: one interval of notices inside the own zone, and the way between zones.
    Duration zoneSettle = std::chrono::milliseconds { 450 };
    /// A rise that has not been confirmed by then will not be soon; ten intervals of notices.
    Duration riseTimeout = std::chrono::milliseconds { 3000 };
    /// Silence after which the other side is told that it is not heard; two intervals of notices and some delay.
    Duration deafAfter = std::chrono::milliseconds { 750 };
};

/// @brief What another host of this zone, or another zone, says.
struct DemandReport {
    std::vector<BucketDemand> demands;
    /// False: it has not heard of this host or zone lately.
    bool hearsUs = true;
};

/// @brief This host's parts of all rates.
///
/// Load pattern: callers move between zones and hosts, and tenants' rates are some 1.6 times their ordinary use. A host
/// takes the part of the rate that its demand is of the fleet's, so that no host refuses while others have tokens to
/// spare. Its demand counts as far as the others have been heard since they were told (AnnouncedDemand); while one of
/// them is silent or deaf, parts can shrink but not grow.
class DemandShares {
public:
    DemandShares(DemandSharesOption option, std::string self);

    /// @brief Takes this host's demands in, whole each time.
    /// @return what the others are to be told at `now`.
    auto announce(const std::vector<BucketDemand>& own, TimePoint now) -> std::vector<BucketDemand>;

    /// @brief Notes that a host of this zone exists, by its IP number; its demand is 0 until it says otherwise.
    auto noteHost(const std::string& ip, TimePoint now) -> void;

    /// @brief Takes in a host's report.
    /// @return whether it is the first one.
    auto noteDemands(const std::string& ip, const DemandReport& report, TimePoint now) -> bool;

    /// @brief A host of this zone has ended and uses nothing any more.
    auto noteEnd(const std::string& ip) -> void { this->others.erase(ip); }

    /// @brief Takes in another zone's report, with demands summed over its hosts.
    auto noteZone(const std::string& zone, std::size_t hosts, const DemandReport& report, TimePoint now) -> void;

    /// @brief Notes how many hosts another zone has; its demand is 0 until it says otherwise.
    auto noteZoneHosts(const std::string& zone, std::size_t hosts, TimePoint now) -> void;

    /// @return the demands of this zone, summed over its hosts.
    [[nodiscard]] auto zoneDemands() const -> std::vector<BucketDemand>;

    /// @return IP numbers of this zone's hosts that have fallen silent.
    [[nodiscard]] auto unheardHosts(TimePoint now) const -> std::vector<std::string>;

    /// @return names of other zones that have fallen silent.
    [[nodiscard]] auto unheardZones(TimePoint now) const -> std::vector<std::string>;

    /// @return IP numbers of the other hosts of this zone, also of those that are remembered only.
    [[nodiscard]] auto otherHosts() const -> std::vector<std::string>;

    /// @return hosts of this zone.
    [[nodiscard]] auto zoneHosts() const -> std::size_t { return this->others.size() + 1; }

    /// @brief Forgets what was heard too long ago.
    auto forgetSilent(TimePoint now) -> void;

    /// @param rate of the whole bucket per second.
    /// @return this host's part of the bucket, from 0 to 1.
    [[nodiscard]] auto partOf(std::uint64_t bucket, double rate) const -> double;

    /// @return hosts of all zones.
    [[nodiscard]] auto hosts() const -> std::size_t;

private:
    /// Another host of this zone, or another zone.
    struct Other {
        /// When something last said that it exists.
        TimePoint knownAt {};
        /// When it last reported; the clock's origin before that.
        TimePoint heardAt {};
        bool hearsUs = true;
        std::size_t hosts = 1;
        std::map<std::uint64_t, double> demands;

        [[nodiscard]] auto isHeard() const -> bool { return this->heardAt != TimePoint {}; }
    };

    using Others = std::map<std::string, Other>;

    [[nodiscard]] auto confirmedUntil(TimePoint now) const -> TimePoint;
    [[nodiscard]] auto unheard(const Others& list, TimePoint now) const -> std::vector<std::string>;
    auto forgetSilent(Others& list, TimePoint now) const -> void;

    DemandSharesOption option;
    std::string self;
    AnnouncedDemand own;
    /// Buckets that this host has announced last.
    std::vector<BucketDemand> told;
    TimePoint startedAt {};
    /// By IP number.
    Others others;
    /// By name.
    Others zones;
};

} // namespace citronloft
