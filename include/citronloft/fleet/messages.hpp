/// @file
/// @brief Messages between hosts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "citronloft/base/address.hpp"
#include "citronloft/base/config_records.hpp"
#include "citronloft/fleet/store_revision.hpp"
#include "citronloft/policy/demand_shares.hpp"
#include "citronloft/policy/host_lifecycle.hpp"
#include "citronloft/policy/shares.hpp"
#include "citronloft/policy/target_load.hpp"

namespace citronloft {

/// @brief Free capacity of one target pool as seen by a host.
struct PoolHeadroom {
    /// Low 32 bits of bucketId() of the pool's name.
    std::uint32_t pool = 0;
    /// Number of requests that the host could start immediately.
    std::uint16_t freeSlots = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->pool, this->freeSlots); }
};

/// @brief Information about a host that the hosts of its zone exchange. Only the host itself raises `counter` and
/// `revision`.
struct HostEntry {
    /// Random number, drawn at the start of the process.
    std::uint64_t incarnation = 0;
    /// Not serialized: the message or summary that contains the entry names the zone.
    std::string zone;
    std::string ip;
    std::uint16_t peerPort = 0;
    std::uint16_t servicePort = 0;
    std::uint16_t statusPort = 0;
    HostState state = HostState::Joining;
    /// Whether the host can connect to targets; otherwise it forwards its requests to other hosts.
    bool reachesTargets = true;
    /// Incremented with every heartbeat.
    std::uint32_t counter = 0;
    /// Incremented when any field except `counter` and `headroom` changes.
    std::uint32_t revision = 0;
    /// As last sent by the host itself.
    std::vector<PoolHeadroom> headroom;

    [[nodiscard]] auto isLive() const -> bool { return this->state != HostState::Stopped; }
    [[nodiscard]] auto isServing() const -> bool { return this->state == HostState::Serving; }
    [[nodiscard]] auto peerAddress() const -> Address { return { this->ip, this->peerPort }; }
    [[nodiscard]] auto serviceAddress() const -> Address { return { this->ip, this->servicePort }; }

    template <typename Archive> auto save(Archive& archive) const -> void
    {
        const auto mark = this->isServing() && !this->reachesTargets ? withoutTargetsBit : std::uint8_t { 0 };
        const auto markedState = static_cast<std::uint8_t>(static_cast<std::uint8_t>(this->state) | mark);
        archive(this->incarnation, this->ip, this->peerPort, this->servicePort, this->statusPort, markedState,
            this->counter, this->revision, this->headroom);
    }

    template <typename Archive> auto load(Archive& archive) -> void
    {
        auto markedState = std::uint8_t { 0 };
        archive(this->incarnation, this->ip, this->peerPort, this->servicePort, this->statusPort, markedState,
            this->counter, this->revision, this->headroom);
        this->reachesTargets = (markedState & withoutTargetsBit) == 0;
        this->state = static_cast<HostState>(markedState & ~withoutTargetsBit);
    }

private:
    /// Marks the state of a serving host that does not reach targets. Hosts of older versions read such a state as one
    /// that is not Serving.
    static constexpr auto withoutTargetsBit = std::uint8_t { 0x80 };
};

/// @brief State of a host that only the host itself sends and that is not forwarded.
struct HostVitals {
    std::uint64_t configVersion = 0;
    /// Epoch that this host holds as zone leader with a valid lease; 0 if it is not the leader.
    std::uint32_t leaderEpoch = 0;
    /// Highest leader epoch of the zone that the host knows.
    std::uint32_t knownEpoch = 0;
    /// True if the store has answered this host recently.
    bool storeReachable = false;
    /// Time since the host's configuration was last confirmed to be the newest, in milliseconds.
    std::uint32_t configAgeMs = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->configVersion, this->leaderEpoch, this->knownEpoch, this->storeReachable, this->configAgeMs);
    }
};

/// @brief Zone leader with the highest epoch that the sender knows.
struct ZoneLeaderInfo {
    std::uint32_t epoch = 0;
    std::uint64_t incarnation = 0;
    Address address;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->epoch, this->incarnation, this->address);
    }
};

/// @brief Live hosts of a zone, as reported by its publisher.
struct ZoneSummary {
    std::string zone;
    /// Incremented with every publication.
    std::uint32_t counter = 0;
    /// Increased when the hosts change; two publishers never increase it to the same number.
    std::uint64_t revision = 0;
    std::vector<HostEntry> hosts;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->zone, this->counter, this->revision, this->hosts);
    }
};

/// @brief Version of the sender's information about a host (by incarnation) or a zone (by zoneId()).
struct ItemDigest {
    std::uint64_t id = 0;
    std::uint32_t counter = 0;
    std::uint64_t revision = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->id, this->counter, this->revision);
    }
};

/// @brief Heartbeat with digests of the sender's information. The receiver answers with entries that the sender lacks
/// and requests those that it lacks itself.
struct GossipMessage {
    std::string zone;
    HostEntry sender;
    HostVitals vitals;
    ZoneLeaderInfo zoneLeader;
    std::vector<ItemDigest> members;
    std::vector<ItemDigest> zones;
    std::vector<HostEntry> entries;
    std::vector<ZoneSummary> summaries;
    std::vector<std::uint64_t> wantedMembers;
    std::vector<std::uint64_t> wantedZones;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->zone, this->sender, this->vitals, this->zoneLeader, this->members, this->zones, this->entries,
            this->summaries, this->wantedMembers, this->wantedZones);
    }
};

/// @brief Configuration changes between two versions; `fromVersion` 0 means an empty configuration.
struct ConfigUpdate {
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::string digest;
    std::vector<RecordChange> changes;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->fromVersion, this->toVersion, this->digest, this->changes);
    }
};

/// @brief Notifies a peer of a newer configuration; contains the changes if they are small.
struct ConfigNotice {
    std::uint64_t version = 0;
    std::optional<ConfigUpdate> update;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->version, this->update); }
};

/// @brief Request of a host to its zone leader to confirm its slots.
struct RenewRequest {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool leaving = false;
    /// Slots that the host can use or that have outstanding loans; it releases all others.
    std::vector<SlotRange> held;
    std::vector<PoolHeadroom> headroom;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->incarnation, this->sequence, this->leaving, this->held, this->headroom);
    }
};

/// @brief Confirmation by the zone leader, valid for the host lease from the time the request was sent.
struct RenewGrant {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t epoch = 0;
    std::vector<SlotRange> slots;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->incarnation, this->sequence, this->epoch, this->slots);
    }
};

/// @brief Micro-tokens of one bucket in a loan request or grant.
struct LoanEntry {
    std::uint64_t bucket = 0;
    std::int64_t amount = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->bucket, this->amount); }
};

/// @brief Loan that has ended at the borrower, with `returned` unspent micro-tokens.
struct LoanSettlement {
    std::uint64_t bucket = 0;
    std::uint64_t sequence = 0;
    std::int64_t returned = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->bucket, this->sequence, this->returned);
    }
};

/// @brief Request for tokens from a peer that also settles earlier loans; without entries it only settles.
struct LoanRequest {
    std::uint64_t borrower = 0;
    std::uint64_t sequence = 0;
    std::vector<LoanEntry> entries;
    std::vector<LoanSettlement> settlements;
    /// True if the borrower considers the receiver its zone's holder of the buckets.
    bool isForHolder = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->borrower, this->sequence, this->entries, this->settlements, this->isForHolder);
    }
};

/// @brief Answer to a loan request, with an entry for each requested bucket; the amount can be 0.
struct LoanGrant {
    std::uint64_t lender = 0;
    std::uint64_t sequence = 0;
    std::vector<LoanEntry> entries;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->lender, this->sequence, this->entries);
    }
};

/// @brief Complete list of one host's requests in flight at the targets. A target without an entry has none.
struct LoadNotice {
    std::uint64_t sender = 0;
    /// Incremented with every notice of a sender, so that the receiver discards late ones.
    std::uint64_t sequence = 0;
    std::vector<TargetLoad> loads;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->loads);
    }
};

/// @brief Requests in flight at the targets from all hosts of the zone except the receiver, summed by a relay of the
/// zone.
struct ZoneLoadNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::vector<TargetLoad> loads;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->loads);
    }
};

/// @brief Demand of one host for all buckets.
struct DemandNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::vector<BucketDemand> demands;
    /// IP addresses of hosts of the zone that the sender has not heard from recently.
    std::vector<std::string> unheard;
    /// True if the sender is stopping and uses no more tokens.
    bool isLast = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->demands, this->unheard, this->isLast);
    }
};

/// @brief Demand of one zone, summed over its hosts.
struct ZoneDemandNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::string zone;
    std::uint32_t hosts = 0;
    /// True if a host of the receiver's zone forwarded the notice.
    bool isRelayed = false;
    std::vector<BucketDemand> demands;
    /// Names of zones that the sender has not heard from recently.
    std::vector<std::string> unheard;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->zone, this->hosts, this->isRelayed, this->demands, this->unheard);
    }
};

/// @brief Revision of a host's copy of the stored objects of one kind.
struct FeedState {
    /// bucketId() of the kind's name.
    std::uint64_t kind = 0;
    /// The copy contains all changes up to this revision.
    StoreRevision revision;
    /// Not lower than the revision of the last change in the copy.
    StoreRevision changeRevision {};

    auto operator==(const FeedState&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->kind, this->revision, this->changeRevision);
    }
};

/// @brief Revisions of the copies that a zone's store reader keeps up to date; empty while it has no connection to the
/// store.
struct FeedNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::vector<FeedState> states;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->states);
    }
};

/// @brief Request to a zone's store reader for changes after a revision; the default revision requests all objects.
struct FeedRequest {
    std::string kind;
    StoreRevision since {};

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->kind, this->since); }
};

/// @brief Observation of a target's announced limit.
struct LimitReport {
    /// Hash of the target's key.
    std::uint64_t target = 0;
    /// Requests per second; nothing if the target states no limit.
    std::optional<double> perSecond;
    /// Time between the target's answer and the sending of the notice, in milliseconds.
    std::uint32_t ageMs = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->target, this->perSecond, this->ageMs);
    }
};

/// @brief Observation of a request that was lost when its connection to a target ended, or that was answered.
struct LossReport {
    /// Identity of the request.
    std::uint64_t request = 0;
    /// Hash of the key of the target's run; 0 if a target answered the request.
    std::uint64_t target = 0;
    /// Time between the observation and the sending of the notice, in milliseconds.
    std::uint32_t ageMs = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->request, this->target, this->ageMs);
    }
};

/// @brief Observations of targets, from one host to its zone or from a zone to the other zones.
template <typename Report> struct ObservationNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    /// Zone of the hosts that made the observations.
    std::string zone;
    /// True if a host of the receiver's zone forwarded the notice.
    bool isRelayed = false;
    std::vector<Report> reports;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->zone, this->isRelayed, this->reports);
    }
};

using LimitNotice = ObservationNotice<LimitReport>;
using LossNotice = ObservationNotice<LossReport>;

/// @brief Any message between hosts. New types are added at the end, so that hosts of an older version discard only
/// these.
using PeerMessage = std::variant<GossipMessage, RenewRequest, RenewGrant, LoanRequest, LoanGrant, ConfigNotice,
    LoadNotice, DemandNotice, ZoneDemandNotice, ZoneLoadNotice, FeedNotice, LimitNotice, LossNotice>;

/// @brief Sends messages to other hosts. Messages can be lost, duplicated, reordered or delayed.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// @brief Sends a message without confirmation of delivery.
    virtual auto send(const Address& to, const PeerMessage& message) -> void = 0;
};

/// @brief Maximum size of a datagram in bytes; the sender drops and counts longer ones.
inline constexpr auto maxDatagramBytes = std::size_t { 16 * 1024 };

} // namespace citronloft
