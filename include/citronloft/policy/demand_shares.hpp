/// @file
/// @brief Division of fleet-wide rates among hosts in proportion to the demand that each host observes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/announced_demand.hpp"

namespace citronloft {

/// @brief Options of the division.
struct DemandSharesOption {
    /// Time for which the demand of a host that is not responding is retained: it may be disconnected but still
    /// serving.
    Duration reportRetention = std::chrono::seconds { 60 };
    /// Fraction of a rate that is divided evenly regardless of demand, so that a host that has announced no demand yet
    /// has a share. It is small because hundreds of hosts would each hold unusable fractions of a token.
    double evenFraction = 0.05;
    /// Time after an announcement from which a report of another host of this zone implies that the host has processed
    /// it: several round trips and a tick.
    Duration hostProcessingDelay = std::chrono::milliseconds { 60 };
    /// The same for a report of another zone: one notice interval within this zone plus the latency between zones.
    Duration zoneProcessingDelay = std::chrono::milliseconds { 450 };
    /// Time without confirmation after which increases are no longer announced; ten notice intervals.
    Duration increaseTimeout = std::chrono::milliseconds { 3000 };
    /// Time without a report after which the sender is told that its reports do not arrive; two notice intervals plus
    /// some delay.
    Duration reportTimeout = std::chrono::milliseconds { 750 };
};

/// @brief Report of another host of this zone, or of another zone.
struct DemandReport {
    std::vector<BucketDemand> demands;
    /// Whether the sender has recently received reports of this host or zone.
    bool receivesOurReports = true;
};

/// @brief This host's fractions of all rates.
///
/// Load pattern: callers move between zones and hosts, and tenants' rates are about 1.6 times their usual demand. Each
/// host uses a fraction of the rate equal to its fraction of the fleet's demand, so that no host refuses requests while
/// others have spare tokens. An increase in its own demand counts only when every other host and zone has reported
/// after the announcement (see AnnouncedDemand); while one of them does not respond or does not receive this host's
/// reports, the fractions can shrink but not grow.
class DemandShares {
public:
    DemandShares(DemandSharesOption option, std::string self);

    /// @brief Updates the demands of this host from a complete list.
    /// @return demands to announce to the others at `now`.
    auto announce(const std::vector<BucketDemand>& ownDemands, TimePoint now) -> std::vector<BucketDemand>;

    /// @brief Records that a host of this zone exists, by its IP address; its demand is 0 until it reports.
    auto recordHost(const std::string& ip, TimePoint now) -> void;

    /// @brief Records a report of a host of this zone.
    /// @return whether it is the first report of that host.
    auto recordHostReport(const std::string& ip, const DemandReport& report, TimePoint now) -> bool;

    /// @brief Removes a host of this zone that has stopped and uses no tokens any more.
    auto removeHost(const std::string& ip) -> void { this->hostReporters.erase(ip); }

    /// @brief Records a report of another zone, with demands summed over its hosts.
    auto recordZoneReport(const std::string& zone, std::size_t hosts, const DemandReport& report, TimePoint now)
        -> void;

    /// @brief Records the number of hosts of another zone; its demand is 0 until it reports.
    auto recordZoneHostCount(const std::string& zone, std::size_t hosts, TimePoint now) -> void;

    /// @return demands of this zone, summed over its hosts.
    [[nodiscard]] auto zoneDemands() const -> std::vector<BucketDemand>;

    /// @return IP addresses of this zone's hosts without a recent report.
    [[nodiscard]] auto hostsWithoutRecentReport(TimePoint now) const -> std::vector<std::string>;

    /// @return names of other zones without a recent report.
    [[nodiscard]] auto zonesWithoutRecentReport(TimePoint now) const -> std::vector<std::string>;

    /// @return IP addresses of the other hosts of this zone, including retained ones that are not responding.
    [[nodiscard]] auto otherHosts() const -> std::vector<std::string>;

    /// @return number of hosts in this zone, including this one.
    [[nodiscard]] auto zoneHostCount() const -> std::size_t { return this->hostReporters.size() + 1; }

    /// @brief Removes expired reports, and hosts and zones that are no longer known.
    auto removeExpired(TimePoint now) -> void;

    /// @param rate fleet-wide rate of the bucket, in tokens per second.
    /// @return this host's fraction of the bucket, from 0 to 1.
    [[nodiscard]] auto fractionOf(std::uint64_t bucket, double rate) const -> double;

    /// @return demand of this host for a bucket that all others account for, in tokens per second.
    [[nodiscard]] auto confirmedDemand(std::uint64_t bucket) const -> double
    {
        return this->ownDemand.confirmed(bucket);
    }

    /// @return demand for a bucket that all other hosts and zones have announced, in tokens per second.
    [[nodiscard]] auto othersDemand(std::uint64_t bucket) const -> double;

    /// @return number of hosts in all zones.
    [[nodiscard]] auto hosts() const -> std::size_t;

private:
    /// Another host of this zone, or another zone.
    struct Reporter {
        /// Time at which its existence was last reported.
        TimePoint lastKnownAt {};
        /// Time of its last report; the clock's epoch if there is none.
        TimePoint lastReportAt {};
        bool receivesOurReports = true;
        std::size_t hosts = 1;
        std::map<std::uint64_t, double> demands;

        [[nodiscard]] auto hasReported() const -> bool { return this->lastReportAt != TimePoint {}; }
    };

    using Reporters = std::map<std::string, Reporter>;

    [[nodiscard]] auto confirmedUntil(TimePoint now) const -> TimePoint;
    [[nodiscard]] auto withoutRecentReport(const Reporters& list, TimePoint now) const -> std::vector<std::string>;
    auto removeExpired(Reporters& list, TimePoint now) const -> void;

    DemandSharesOption option;
    std::string self;
    AnnouncedDemand ownDemand;
    /// Demands in this host's last announcement.
    std::vector<BucketDemand> lastAnnounced;
    TimePoint startedAt {};
    /// Other hosts of this zone, by IP address.
    Reporters hostReporters;
    /// Other zones, by name.
    Reporters zoneReporters;
};

} // namespace citronloft
