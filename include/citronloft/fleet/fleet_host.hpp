/// @file
/// @brief Fleet components of one host, driven by ticks and messages; used by the daemon and by tests in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "citronloft/fleet/claim_registry.hpp"
#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/fleet/host_registry.hpp"
#include "citronloft/fleet/limit_exchange.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/quarantine_service.hpp"
#include "citronloft/fleet/rate_limiter.hpp"
#include "citronloft/fleet/slot_lease_holder.hpp"
#include "citronloft/fleet/zone_leader.hpp"
#include "citronloft/policy/recent_maximum.hpp"
#include "citronloft/policy/zone_loads.hpp"

namespace citronloft {

/// @brief How a fleet-wide rate is divided among hosts.
enum class ShareStrategy : std::uint8_t {
    /// A leader in each zone assigns slots by lease. The bound on a rate holds regardless of what hosts know of each
    /// other.
    Leased,
    /// Every host uses the fraction of a rate that corresponds to its fraction of the fleet's demand, as announced
    /// between hosts. No store is needed, not even right after all hosts have restarted.
    Demand,
};

/// @brief Amount that can be admitted beyond a team's rate and burst, as tolerated by the operators of the targets.
struct RateTolerance {
    /// Fraction of rate x window + burst.
    double overage = 0;
    /// Number of requests in any window.
    double slack = 0;
    Duration window = std::chrono::seconds { 5 };

    /// @return the requests per second that a team can have beyond its rate; compensates for tokens held by hosts that
    /// do not need them.
    [[nodiscard]] auto extraRate(double rate) const -> double;

    /// @return the requests that the bucket of a team can hold beyond its burst.
    [[nodiscard]] auto extraBurst(double burst) const -> double;

    /// @return the requests that a fleet starting with empty buckets can admit immediately. Kept within the tolerance
    /// because the fleet may have been restarted.
    [[nodiscard]] auto startTokens(double rate, double burst) const -> double;
};

/// @brief Options of a host's fleet components.
struct FleetHostOption {
    ShareStrategy shares = ShareStrategy::Leased;
    /// If true, the component that reads the platform offers configurations, and the manifest is not watched.
    bool usesPlatformConfig = false;
    /// Time for which a peer can have a newer configuration before it is fetched from that peer.
    Duration fetchDelay = std::chrono::seconds { 1 };
    MembershipOption membership;
    LeaseTerms lease;
    RateLimiterOption rates;
    RateTolerance tolerance;
};

/// @brief External dependencies of a host; all must outlive it.
struct FleetHostDependencies {
    const Clock& clock;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<ConfigFetcher> fetcher;
};

/// @brief Membership, leases, rates and configuration of one host.
class FleetHost {
public:
    /// @param onConfigApplied called whenever a newer configuration has been applied.
    FleetHost(FleetHostOption option, HostEntry self, FleetHostDependencies dependencies, std::uint64_t seed,
        ConfigFollower::AppliedCallback onConfigApplied);
    ~FleetHost();
    FleetHost(const FleetHost&) = delete;
    auto operator=(const FleetHost&) -> FleetHost& = delete;

    /// @brief Runs all due work; must be called about every 20 ms.
    auto tick() -> void;

    /// @brief Processes a message from another host.
    auto receive(const Address& from, const PeerMessage& message) -> void;

    /// @brief Starts a planned stop, in which slots and roles are handed over.
    auto leave() -> void;

    /// @return whether the hand-over is complete or its time limit has passed, for example without a leader; remaining
    /// slots then become free when their lease expires.
    [[nodiscard]] auto hasHandedOver() const -> bool;

    /// @brief Announces that this host has stopped; must be called exactly once, as the last operation.
    auto end() -> void;

    auto membership() -> Membership& { return this->members; }
    [[nodiscard]] auto membership() const -> const Membership& { return this->members; }
    auto rates() -> RateLimiter& { return this->limiter; }
    auto limits() -> LimitExchange& { return this->limitExchange; }
    auto quarantine() -> QuarantineService& { return this->quarantineService; }
    [[nodiscard]] auto quarantine() const -> const QuarantineService& { return this->quarantineService; }
    auto claims() -> ClaimRegistry& { return *this->claimRegistry; }
    auto config() -> ConfigFollower& { return *this->follower; }
    [[nodiscard]] auto shares() const -> const SlotLeaseHolder& { return *this->holder; }
    [[nodiscard]] auto zoneLeader() const -> const ZoneLeader& { return *this->leaderCandidate; }

    /// @brief Updates the registered hosts. All are added as gossip seeds, and those of this zone are counted in the
    /// division of rates.
    auto updateRegisteredHosts(const std::vector<RegisteredHost>& hosts) -> void;

    /// @brief Reports this host's requests in flight at each target to the zone's relays.
    /// @param interval minimum time between two sums that a relay sends.
    auto publishLoads(const std::vector<TargetLoad>& loads, Duration interval) -> void;

    /// @return whether this host has its fractions of the rates. Demand strategy only.
    [[nodiscard]] auto hasRateFractions(TimePoint now) const -> bool;

    /// @return whether this host reads the store for its zone.
    [[nodiscard]] auto isStoreReader() const -> bool;

    /// @brief Sends the zone's hosts the revisions that this host, their store reader, has read.
    auto sendFeedNotice(FeedNotice notice) -> void;

    /// @brief Sets the handler for notices of the zone's store reader.
    auto onFeedNotice(std::function<void(const Address&, const FeedNotice&)> handler) -> void
    {
        this->feedNoticeHandler = std::move(handler);
    }

    /// @return the number of live hosts of this zone, including this one.
    [[nodiscard]] auto zoneHostCount() const -> std::size_t { return this->members.zonePeers().size() + 1; }

    /// @brief Sets the handler for the loads of the zone's other hosts; each call passes the complete list.
    auto onZoneLoads(std::function<void(const std::vector<TargetLoad>&)> handler) -> void
    {
        this->zoneLoadsHandler = std::move(handler);
    }

    /// @return the highest number of hosts that the fleet has had recently, as far as this host knows. Limits that the
    /// fleet shares evenly, such as saved retries, are divided by it. Demand strategy only, as is coldTargetFraction().
    [[nodiscard]] auto recentMaxHostCount() const -> std::size_t { return this->recentMaxHosts.value(); }

    /// @return the fraction of a cold target's rate that this host can send.
    /// @param target identifier of the target's run; the target is in zone `zone`.
    [[nodiscard]] auto coldTargetFraction(const std::string& zone, const std::string& target) const -> double;

    /// @return the fraction of the limit that a target announces which this host can use.
    /// @param target identifier of the target's run; the target is in zone `zone`.
    /// @param perSecond the limit, in requests per second.
    /// @param isRecent whether the limit was observed recently. If so, a few hosts of the target's zone share it; if
    /// not, all hosts of the fleet do, since these few may have no requests for the target.
    [[nodiscard]] auto limitedTargetFraction(
        const std::string& zone, const std::string& target, double perSecond, bool isRecent) const -> double;

    /// @return the fraction of the zone's slots that this host holds, from 0 to 1.
    [[nodiscard]] auto zoneSlotFraction() const -> double;

private:
    class LenderDirectory;

    auto updateSlots(TimePoint now) -> void;
    auto announceDemands(TimePoint now) -> void;
    auto relayLoads(TimePoint now) -> void;
    auto recordLoads(const LoadNotice& notice, TimePoint now) -> void;
    auto updateRateFractions(TimePoint now) -> void;
    auto sendToZone(DemandNotice notice) -> void;
    auto sendZoneDemand(TimePoint now) -> void;
    [[nodiscard]] auto registeredZoneHosts() const -> std::vector<std::string>;
    auto processDemandNotice(const Address& from, const DemandNotice& notice, TimePoint now) -> void;
    auto processZoneDemandNotice(const ZoneDemandNotice& notice, TimePoint now) -> void;
    [[nodiscard]] auto recordSequence(std::uint64_t sender, std::uint64_t sequence) -> bool;
    auto applyConfig(const std::shared_ptr<const ActiveConfig>& active) -> void;

    FleetHostOption option;
    FleetHostDependencies dependencies;
    DemandShares demandShares;
    RecentMaximum recentMaxHosts;
    bool isRegistryRead = false;
    Membership members;
    LimitExchange limitExchange;
    QuarantineService quarantineService;
    std::unique_ptr<LenderDirectory> lenders;
    std::shared_ptr<SlotLeaseHolder> holder;
    RateLimiter limiter;
    std::shared_ptr<ZoneLeader> leaderCandidate;
    std::shared_ptr<ConfigFollower> follower;
    std::shared_ptr<ClaimRegistry> claimRegistry;
    ConfigFollower::AppliedCallback onConfigApplied;
    std::function<void(const std::vector<TargetLoad>&)> zoneLoadsHandler;
    std::function<void(const Address&, const FeedNotice&)> feedNoticeHandler;
    /// Loads received from the zone's hosts while this host is a relay.
    ZoneLoads zoneLoads;
    Duration relayInterval {};
    TimePoint nextRelayAt {};
    TimePoint relayRepeatAt {};
    std::uint64_t noticeSequence = 0;
    /// Highest sequence number received from each sender.
    std::map<std::uint64_t, std::uint64_t> newestNotices;
    /// Last notice of each other zone, marked as relayed.
    std::map<std::string, ZoneDemandNotice> zoneNotices;
    /// Number of zones in the active configuration.
    std::size_t zones = 1;
    TimePoint nextDemandsAt {};
    /// Time from which rates are divided even if the registry has not been read.
    TimePoint fractionsAvailableAt {};
    TimePoint handOverDeadline = TimePoint::max();
};

/// @return the name of the bucket for a team's rate.
auto teamBucketName(const std::string& team) -> std::string;

/// @return the name of the bucket that limits the requests or bytes moved between two regions.
auto shiftBucketName(const std::string& from, const std::string& to, bool bytes) -> std::string;

/// @return the buckets of a configuration, with the units of zone `zone`.
auto bucketsOf(const Config& config, const std::string& zone, const RateTolerance& tolerance = {})
    -> std::vector<BucketSpec>;

} // namespace citronloft
