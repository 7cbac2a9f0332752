/// @file
/// @brief Membership of the fleet: gossip within a zone, and summaries exchanged between zones by delegates.
///
/// Membership is a hint for look-ups, loans and fetches. It does not decide which host holds a share; leases do.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief Intervals and limits of membership.
struct MembershipOption {
    Duration gossipInterval = std::chrono::milliseconds { 1000 };
    /// Interval during the first seconds of a host, so that other hosts learn of it quickly.
    Duration startInterval = std::chrono::milliseconds { 200 };
    Duration startPeriod = std::chrono::seconds { 5 };
    Duration publishInterval = std::chrono::seconds { 2 };
    /// Time without news of a host after which look-ups omit it; 500 ms are added for each doubling of the zone's size.
    Duration suspectAfter = std::chrono::milliseconds { 2500 };
    /// Time without news of a zone after which it is considered unreachable; 2 s are added for each doubling of the
    /// number of zones.
    Duration zoneRemoveAfter = std::chrono::seconds { 6 };
    /// Multiple of the silence limit for which an entry is kept, so that old gossip cannot restore it.
    int retentionFactor = 6;
    std::size_t gossipFanout = 1;
    std::size_t memberDigests = 32;
    std::size_t zoneDigests = 24;
    std::size_t hostsPerSummary = 8;
    /// Addresses that are contacted while their hosts are unknown.
    std::vector<Address> seeds;
};

/// @brief Membership of one host.
///
/// Within a zone every host sends heartbeats with digests of its information to a random peer; the receiver answers
/// with the entries that one of the two lacks. This is the digest-and-delta exchange of the Scuttlebutt paper (van
/// Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols"), with random subsets of
/// digests to limit the size of a message. One publisher per zone sends summaries to other zones in the same way.
class Membership {
public:
    /// @param self identity and addresses of this host.
    /// @param transport must outlive the membership.
    Membership(MembershipOption option, HostEntry self, PeerTransport& transport, std::uint64_t seed);

    /// @brief Sends due messages and removes hosts that have been silent too long; must be called about every 20 ms.
    auto tick(TimePoint now) -> void;

    /// @brief Processes a heartbeat or an answer to one.
    auto receive(const GossipMessage& message, TimePoint now) -> void;

    [[nodiscard]] auto self() const -> const HostEntry& { return this->own; }

    /// @brief State of this host; sent with the next heartbeat.
    auto vitals() -> HostVitals& { return this->ownVitals; }
    [[nodiscard]] auto vitals() const -> const HostVitals& { return this->ownVitals; }

    /// @brief Sets this host's lifecycle state; a change is sent to peers with the next tick.
    auto setState(HostState state) -> void;

    /// @brief Sets whether this host reaches targets; a change is sent to peers with the next tick.
    auto setReachesTargets(bool reaches) -> void;

    /// @brief Sets this host's free capacity.
    auto setHeadroom(std::vector<PoolHeadroom> headroom) -> void { this->own.headroom = std::move(headroom); }

    /// @brief Updates a zone peer's free capacity from its lease renewal.
    auto updateHeadroom(std::uint64_t incarnation, std::vector<PoolHeadroom> headroom) -> void;

    /// @brief Sends heartbeats with the next tick.
    auto gossipOnNextTick() -> void { this->nextGossipAt = TimePoint {}; }

    /// @brief Adds an address to contact, for example the zone leader named by the store. The oldest one is removed
    /// above a limit.
    auto addSeed(const Address& seed) -> void;

    /// @brief Sets the function that returns the age of the configuration, which heartbeats contain.
    auto setConfigAge(std::function<Duration()> age) -> void { this->configAge = std::move(age); }

    /// @return the live hosts of this zone except this one, as of the last tick or message; suspected hosts are
    /// omitted.
    [[nodiscard]] auto zonePeers() const -> const std::vector<HostEntry>& { return this->livePeers; }

    /// @return the live hosts of other zones that their summaries contain.
    [[nodiscard]] auto remoteHosts() const -> const std::vector<HostEntry>& { return this->liveRemote; }

    /// @return the live hosts of a zone, including this host if it belongs to the zone.
    [[nodiscard]] auto hostsOf(const std::string& zone) const -> std::vector<HostEntry>;

    /// @return the peer addresses of up to `count` random live zone peers.
    auto randomPeers(std::size_t count) -> std::vector<Address>;

    /// @return the peer addresses of up to `count` random live zone peers, and of the one with the next higher
    /// incarnation. If every notified host notifies these, a host can be missed only if its predecessor is missed.
    auto peersToNotify(std::size_t count) -> std::vector<Address>;

    /// @return whether this host accesses the store and sends demand to other zones on behalf of its zone: true for the
    /// zone's publisher and for the host with the lowest incarnation.
    [[nodiscard]] auto isDelegate() const -> bool;

    /// @return the zone leader with the highest epoch, if it is live.
    [[nodiscard]] auto zoneLeader() const -> std::optional<ZoneLeaderInfo>;

    /// @return the highest leader epoch reported by any host of the zone.
    [[nodiscard]] auto maxLeaderEpoch() const -> std::uint32_t { return this->maxReportedEpoch; }

    /// @return the peer address of a host that reported a newer configuration than `version`.
    [[nodiscard]] auto hostWithNewerConfig(std::uint64_t version) const -> std::optional<Address>;

private:
    struct Member {
        HostEntry entry;
        /// Last time at which the counter rose, and the host whose message raised it.
        TimePoint heardAt;
        std::string heardFrom {};
        /// Last message from the host itself.
        TimePoint contactAt {};
        bool isListed = false;
    };

    struct Zone {
        ZoneSummary summary;
        /// Last time at which the counter rose, and the host whose message raised it.
        TimePoint heardAt;
        std::string heardFrom {};
    };

    /// Host that reported the newest configuration known to this host.
    struct ConfigHolder {
        std::uint64_t version = 0;
        Address address;
    };

    auto processSender(const GossipMessage& message, TimePoint now) -> void;
    auto mergeMember(HostEntry entry, const std::string& from, TimePoint now) -> void;
    auto mergeSummary(const ZoneSummary& summary, const std::string& from, TimePoint now) -> void;
    auto compareMembers(const GossipMessage& message, GossipMessage& answer, TimePoint now) -> void;
    auto compareZones(const GossipMessage& message, GossipMessage& answer, TimePoint now) -> void;
    auto addWanted(const GossipMessage& message, GossipMessage& answer) const -> void;
    auto removeSilent(TimePoint now) -> void;
    auto refreshViews(TimePoint now) -> void;
    auto refreshPeers(TimePoint now) -> void;
    auto refreshRemote(TimePoint now) -> void;
    auto logUnlistedRemote(const std::vector<HostEntry>& previous, TimePoint now) const -> void;
    auto gossip(TimePoint now) -> void;
    auto publish(TimePoint now) -> void;
    auto contactSeeds(TimePoint now) -> void;
    /// @return whether the host is within its start time, in which it gossips more often.
    [[nodiscard]] auto isStarting(TimePoint now) const -> bool
    {
        return now - this->startedAt < this->option.startPeriod;
    }
    auto contactSuspectedMember(TimePoint now) -> void;
    auto heartbeat(std::size_t memberDigests, std::size_t zoneDigests) -> GossipMessage;
    auto header() const -> GossipMessage;
    auto makeOwnSummary() const -> std::vector<HostEntry>;
    [[nodiscard]] auto isPublisher() const -> bool;
    [[nodiscard]] auto hasLowestIncarnation() const -> bool;
    [[nodiscard]] auto isLiveAddress(const Address& address) const -> bool;
    [[nodiscard]] auto suspectLimit() const -> Duration;
    [[nodiscard]] auto zoneLimit() const -> Duration;

    MembershipOption option;
    HostEntry own;
    HostVitals ownVitals;
    ZoneLeaderInfo currentLeader;
    ConfigHolder newestConfig;
    PeerTransport& transport;
    pcg32 random;
    std::function<Duration()> configAge;
    std::map<std::uint64_t, Member> members;
    /// By zoneId(); includes the summary of this host's zone.
    std::map<std::uint64_t, Zone> zones;
    std::vector<HostEntry> livePeers;
    std::vector<HostEntry> liveRemote;
    bool isViewStale = true;
    TimePoint viewsUpdatedAt {};
    std::uint32_t maxReportedEpoch = 0;
    TimePoint startedAt {};
    TimePoint nextGossipAt {};
    TimePoint nextPublishAt {};
};

/// @return the stable id of a zone's name.
auto zoneId(const std::string& zone) -> std::uint64_t;

} // namespace citronloft
