/// @file
/// @brief Division of fleet-wide rates among hosts by the demand that each of them sees.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Demand for one bucket at one host.
struct BucketDemand {
    std::uint64_t bucket = 0;
    /// Requests per second, smoothed.
    float perSecond = 0;

    auto operator==(const BucketDemand&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->bucket, this->perSecond); }
};

/// @brief Limits of the division.
struct DemandSharesOption {
    /// A silent host's demand is remembered for so long: it may be cut off and go on serving.
    Duration remember = std::chrono::seconds { 60 };
    /// Part of a rate that is divided evenly, whatever the demand: a host whose first requests come has some of it.
    double evenPart = 0.2;
};

/// @brief This host's parts of all rates.
///
/// Load pattern: callers move between zones and hosts, and tenants' rates are some 1.6 times their ordinary use. A host
/// takes the part of the rate that its demand is of the fleet's, so that no host refuses while others have tokens to
/// spare. All hosts compute from the same notices; a change counts twice until the next notice at most.
class DemandShares {
public:
    DemandShares(DemandSharesOption option, std::string self);

    /// @brief Notes that a host of this zone exists, by its IP number; its demand is 0 until it says otherwise.
    auto noteHost(const std::string& ip, TimePoint now) -> void;

    /// @brief Takes in a host's demands, whole each time.
    auto noteDemands(const std::string& ip, const std::vector<BucketDemand>& demands, TimePoint now) -> void;

    /// @brief Takes in another zone's demands, summed over its hosts, whole each time.
    auto noteZone(const std::string& zone, std::size_t hosts, const std::vector<BucketDemand>& demands, TimePoint now)
        -> void;

    /// @brief Notes how many hosts another zone has; its demand is 0 until it says otherwise.
    auto noteZoneHosts(const std::string& zone, std::size_t hosts, TimePoint now) -> void;

    /// @param own this host's demands.
    /// @return the demands of this zone, summed over its hosts.
    [[nodiscard]] auto zoneDemands(const std::vector<BucketDemand>& own) const -> std::vector<BucketDemand>;

    /// @return hosts of this zone.
    [[nodiscard]] auto zoneHosts() const -> std::size_t { return this->others.size() + 1; }

    /// @brief Forgets hosts and zones that have been silent for too long.
    auto forgetSilent(TimePoint now) -> void;

    /// @param rate of the whole bucket per second; `own` is this host's demand per second.
    /// @return this host's part of the bucket, from 0 to 1.
    [[nodiscard]] auto partOf(std::uint64_t bucket, double rate, double own) const -> double;

    /// @return hosts of all zones.
    [[nodiscard]] auto hosts() const -> std::size_t;

private:
    /// Another host of this zone, or another zone.
    struct Other {
        TimePoint heardAt;
        std::size_t hosts = 1;
        std::map<std::uint64_t, double> demands;
    };

    DemandSharesOption option;
    std::string self;
    /// By IP number.
    std::map<std::string, Other> others;
    /// By name.
    std::map<std::string, Other> zones;
};

} // namespace citronloft
