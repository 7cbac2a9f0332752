/// @file
/// @brief All fleet components of one host, driven by ticks and messages; the same in the daemon and in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "citronloft/fleet/claim_registry.hpp"
#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/fleet/host_registry.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/rate_limiter.hpp"
#include "citronloft/fleet/share_holder.hpp"
#include "citronloft/fleet/zone_steward.hpp"
#include "citronloft/policy/recent_maximum.hpp"
#include "citronloft/policy/zone_loads.hpp"

namespace citronloft {

/// @brief How hosts come to their parts of the rates.
enum class ShareStrategy : std::uint8_t {
    /// A steward in each zone gives slots out by lease: the bound holds whatever hosts know of each other.
    Leased,
    /// Every host takes the part that its demand is of the fleet's, as hosts tell each other; no store is needed, also
    /// right after all hosts restarted.
    Demand,
};

/// @brief What may be admitted beyond a team's rate and burst, as the operators of the targets bear it.
struct RateTolerance {
    /// Part of rate x window + burst.
    double overage = 0;
    /// Requests in any window.
    double slack = 0;
    Duration window = std::chrono::seconds { 5 };

    /// @return requests per second that a team may have beyond its rate; makes up for tokens that lie at the wrong
    /// host.
    [[nodiscard]] auto extraRate(double rate) const -> double;

    /// @return requests that the bucket of a team may hold beyond its burst.
    [[nodiscard]] auto extraBurst(double burst) const -> double;

    /// @return requests that a fleet which starts with empty buckets may admit at once; it may have been restarted.
    [[nodiscard]] auto startTokens(double rate, double burst) const -> double;
};

/// @brief Options of a host's fleet components.
struct FleetHostOption {
    ShareStrategy shares = ShareStrategy::Leased;
    /// True: configurations are offered by whoever reads the platform, and the manifest is not watched.
    bool isConfigOffered = false;
    /// Time that a peer may be ahead before an offered configuration is fetched from it.
    Duration fetchPatience = std::chrono::seconds { 1 };
    MembershipOption membership;
    LeaseTerms lease;
    RateLimiterOption rates;
    RateTolerance tolerance;
};

/// @brief What a host needs from its surroundings; all outlive it.
struct FleetSurroundings {
    const Clock& clock;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<ConfigFetcher> fetcher;
};

/// @brief Membership, leases, rates and configuration of one host.
class FleetHost {
public:
    /// @param inForce called whenever a newer configuration has been put in force.
    FleetHost(FleetHostOption option, HostEntry self, FleetSurroundings surroundings, std::uint64_t seed,
        ConfigFollower::InForce inForce);
    ~FleetHost();
    FleetHost(const FleetHost&) = delete;
    auto operator=(const FleetHost&) -> FleetHost& = delete;

    /// @brief Runs all that is due; to be called every 20 ms or so.
    auto tick() -> void;

    /// @brief Takes in a message of another host.
    auto receive(const Address& from, const PeerMessage& message) -> void;

    /// @brief Begins a planned stop: shares and roles are handed over.
    auto leave() -> void;

    /// @return whether nothing is left to hand over, or nobody took it in time; its slots then lapse with their lease.
    [[nodiscard]] auto hasHandedOver() const -> bool;

    /// @brief Tells the others that this host has stopped; to be called once, as the last thing.
    auto end() -> void;

    auto membership() -> Membership& { return this->members; }
    [[nodiscard]] auto membership() const -> const Membership& { return this->members; }
    auto rates() -> RateLimiter& { return this->limiter; }
    auto claims() -> ClaimRegistry& { return *this->claimRegistry; }
    auto config() -> ConfigFollower& { return *this->follower; }
    [[nodiscard]] auto shares() const -> const ShareHolder& { return *this->holder; }
    [[nodiscard]] auto steward() const -> const ZoneSteward& { return *this->zoneSteward; }

    /// @brief Takes in the hosts that have registered: they are greeted, and those of this zone hold parts of its
    /// rates.
    auto noteRegistered(const std::vector<RegisteredHost>& hosts) -> void;

    /// @brief Tells the zone's relays what this host has in flight at the targets.
    /// @param interval least time between two sums that a relay passes on.
    auto shareLoads(const std::vector<TargetLoad>& loads, Duration interval) -> void;

    /// @return whether this host has its parts of the rates. Demand strategy only.
    [[nodiscard]] auto hasParts(TimePoint now) const -> bool;

    /// @return whether this host reads the store for its zone.
    [[nodiscard]] auto isStoreReader() const -> bool;

    /// @brief Tells the zone's hosts what this host, their reader, has read.
    auto sendFeedNotice(FeedNotice notice) -> void;

    /// @brief Sets what takes in the notices of the zone's reader.
    auto onFeedNotice(std::function<void(const Address&, const FeedNotice&)> take) -> void
    {
        this->takeFeedNotice = std::move(take);
    }

    /// @return live hosts of this zone, this one among them.
    [[nodiscard]] auto zoneHostCount() const -> std::size_t { return this->members.zonePeers().size() + 1; }

    /// @brief Sets what takes in the loads of the zone's other hosts, whole each time.
    auto onZoneLoads(std::function<void(const std::vector<TargetLoad>&)> take) -> void
    {
        this->takeZoneLoads = std::move(take);
    }

    /// @return most hosts that the fleet has had of late, as far as this host knows; by it is divided what they may do
    /// together, such as saved retries. Demand strategy only, as is coldPart().
    [[nodiscard]] auto hostCount() const -> std::size_t { return this->mostHosts.value(); }

    /// @return part of a cold target's rate that this host may send.
    /// @param target name of the run of the target, which stands in zone `zone`.
    [[nodiscard]] auto coldPart(const std::string& zone, const std::string& target) const -> double;

    /// @return part of the zone's slots that this host holds, from 0 to 1.
    [[nodiscard]] auto zonePart() const -> double;

private:
    class LenderList;

    auto updateSlots(TimePoint now) -> void;
    auto shareDemands(TimePoint now) -> void;
    auto relayLoads(TimePoint now) -> void;
    auto takeLoadsOf(const LoadNotice& notice, TimePoint now) -> void;
    auto updateParts(TimePoint now) -> void;
    auto tellZone(DemandNotice notice) -> void;
    auto sendZoneDemand(TimePoint now) -> void;
    auto takeDemand(const Address& from, const DemandNotice& notice, TimePoint now) -> void;
    auto takeZoneDemand(const ZoneDemandNotice& notice, TimePoint now) -> void;
    [[nodiscard]] auto isNewest(std::uint64_t sender, std::uint64_t sequence) -> bool;
    auto putInForce(const std::shared_ptr<const ActiveConfig>& active) -> void;

    FleetHostOption option;
    FleetSurroundings surroundings;
    DemandShares demandShares;
    RecentMaximum mostHosts;
    bool isRegistryRead = false;
    Membership members;
    std::unique_ptr<LenderList> lenders;
    std::shared_ptr<ShareHolder> holder;
    RateLimiter limiter;
    std::shared_ptr<ZoneSteward> zoneSteward;
    std::shared_ptr<ConfigFollower> follower;
    std::shared_ptr<ClaimRegistry> claimRegistry;
    ConfigFollower::InForce inForce;
    std::function<void(const std::vector<TargetLoad>&)> takeZoneLoads;
    std::function<void(const Address&, const FeedNotice&)> takeFeedNotice;
    /// What the zone's hosts tell this one as a relay.
    ZoneLoads zoneLoads;
    Duration relayInterval {};
    TimePoint nextRelayAt {};
    TimePoint relayRepeatAt {};
    std::uint64_t noticeSequence = 0;
    /// Newest notice of each sender.
    std::map<std::uint64_t, std::uint64_t> newestNotices;
    /// Last notice of each other zone.
    std::map<std::string, ZoneDemandNotice> zoneNotices;
    /// Zones of the configuration in force.
    std::size_t zones = 1;
    TimePoint nextDemandsAt {};
    /// Rates are divided from then on without the registry.
    TimePoint partsFrom {};
    TimePoint handOverUntil = TimePoint::max();
};

/// @return the bucket's name of a team's rate.
auto teamBucketName(const std::string& team) -> std::string;

/// @return the bucket's name of a limit on requests or bytes that move between two regions.
auto shiftBucketName(const std::string& from, const std::string& to, bool bytes) -> std::string;

/// @return the buckets of a configuration, as zone `zone` divides them.
auto bucketsOf(const Config& config, const std::string& zone, const RateTolerance& tolerance = {})
    -> std::vector<BucketSpec>;

} // namespace citronloft
