/// @file
/// @brief Typed messages between hosts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "citronloft/base/address.hpp"
#include "citronloft/base/config_records.hpp"
#include "citronloft/policy/demand_shares.hpp"
#include "citronloft/policy/host_lifecycle.hpp"
#include "citronloft/policy/shares.hpp"
#include "citronloft/policy/target_load.hpp"

namespace citronloft {

/// @brief Free capacity of one target pool as a host sees it.
struct PoolHeadroom {
    /// Low half of bucketId(pool name).
    std::uint32_t pool = 0;
    /// Requests that the host could start now.
    std::uint16_t freeSlots = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->pool, this->freeSlots); }
};

/// @brief What hosts of a zone know of each other; only the host itself raises `counter` and `revision`.
struct HostEntry {
    /// Random number of this process's life.
    std::uint64_t incarnation = 0;
    /// Not sent: the message or summary that holds the entry names the zone.
    std::string zone;
    std::string ip;
    std::uint16_t peerPort = 0;
    std::uint16_t servicePort = 0;
    std::uint16_t statusPort = 0;
    HostState state = HostState::Joining;
    /// Raised with every heartbeat.
    std::uint32_t counter = 0;
    /// Raised when anything but counter and headroom changes.
    std::uint32_t revision = 0;
    /// As of when the host sent it itself.
    std::vector<PoolHeadroom> headroom;

    [[nodiscard]] auto isLive() const -> bool { return this->state != HostState::Stopped; }
    [[nodiscard]] auto peerAddress() const -> Address { return { this->ip, this->peerPort }; }
    [[nodiscard]] auto serviceAddress() const -> Address { return { this->ip, this->servicePort }; }

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->incarnation, this->ip, this->peerPort, this->servicePort, this->statusPort, this->state,
            this->counter, this->revision, this->headroom);
    }
};

/// @brief What only the host itself says, and nobody passes on.
struct HostVitals {
    std::uint64_t configVersion = 0;
    /// Epoch that this host holds as steward with authority; 0 if it is none.
    std::uint32_t stewardEpoch = 0;
    /// Greatest steward epoch of the zone that the host knows.
    std::uint32_t knownEpoch = 0;
    /// Whether the platform answered this host lately.
    bool storeReachable = false;
    /// Age of the last sign that the host's configuration is the newest.
    std::uint32_t configAgeMs = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->configVersion, this->stewardEpoch, this->knownEpoch, this->storeReachable, this->configAgeMs);
    }
};

/// @brief The steward with the greatest epoch that the sender has heard of.
struct StewardClaim {
    std::uint32_t epoch = 0;
    std::uint64_t incarnation = 0;
    Address address;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->epoch, this->incarnation, this->address);
    }
};

/// @brief A zone's live hosts as its publisher vouches for them.
struct ZoneSummary {
    std::string zone;
    /// Raised with every publication.
    std::uint32_t counter = 0;
    /// Raised when the hosts change; two publishers never raise it to the same number.
    std::uint64_t revision = 0;
    std::vector<HostEntry> hosts;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->zone, this->counter, this->revision, this->hosts);
    }
};

/// @brief How much the sender knows of a host (by incarnation) or zone (by zoneId()).
struct ItemDigest {
    std::uint64_t id = 0;
    std::uint32_t counter = 0;
    std::uint64_t revision = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->id, this->counter, this->revision);
    }
};

/// @brief Heartbeat with digests of what the sender knows; the receiver answers with what one of them lacks.
struct GossipMessage {
    std::string zone;
    HostEntry sender;
    HostVitals vitals;
    StewardClaim steward;
    std::vector<ItemDigest> members;
    std::vector<ItemDigest> zones;
    std::vector<HostEntry> entries;
    std::vector<ZoneSummary> summaries;
    std::vector<std::uint64_t> wantedMembers;
    std::vector<std::uint64_t> wantedZones;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->zone, this->sender, this->vitals, this->steward, this->members, this->zones, this->entries,
            this->summaries, this->wantedMembers, this->wantedZones);
    }
};

/// @brief Changes from one version to a newer one; `fromVersion` 0 starts from nothing.
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

/// @brief Tells a peer at once of a newer configuration; carries the changes if they are small.
struct ConfigNotice {
    std::uint64_t version = 0;
    std::optional<ConfigUpdate> update;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->version, this->update); }
};

/// @brief A host asks its zone's steward to confirm its slots.
struct RenewRequest {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool leaving = false;
    /// Slots that the host may use or has lent from; all others it gives up.
    std::vector<SlotRange> held;
    std::vector<PoolHeadroom> headroom;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->incarnation, this->sequence, this->leaving, this->held, this->headroom);
    }
};

/// @brief The steward's confirmation; valid for the host lease from the time the request was sent.
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

/// @brief Micro-tokens of one bucket in an ask or a grant.
struct LoanEntry {
    std::uint64_t bucket = 0;
    std::int64_t amount = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->bucket, this->amount); }
};

/// @brief A loan that has ended at the borrower; `returned` micro-tokens of it were not spent.
struct LoanSettlement {
    std::uint64_t bucket = 0;
    std::uint64_t sequence = 0;
    std::int64_t returned = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->bucket, this->sequence, this->returned);
    }
};

/// @brief Asks a peer for tokens and settles earlier loans; without entries it only settles.
struct LoanAsk {
    std::uint64_t borrower = 0;
    std::uint64_t sequence = 0;
    std::vector<LoanEntry> entries;
    std::vector<LoanSettlement> settlements;
    /// The borrower takes the receiver for its zone's holder of the buckets.
    bool isForHolder = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->borrower, this->sequence, this->entries, this->settlements, this->isForHolder);
    }
};

/// @brief Answer to an ask, with an entry for each bucket asked for, perhaps of amount 0.
struct LoanGrant {
    std::uint64_t lender = 0;
    std::uint64_t sequence = 0;
    std::vector<LoanEntry> entries;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->lender, this->sequence, this->entries);
    }
};

/// @brief What one host has in flight at the targets, whole each time; a target without an entry has nothing of it.
struct LoadNotice {
    std::uint64_t sender = 0;
    /// Raised with every notice of a sender, so that a late one is dropped.
    std::uint64_t sequence = 0;
    std::vector<TargetLoad> loads;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->loads);
    }
};

/// @brief What the zone's hosts but the receiver have in flight at the targets, summed by a relay of the zone.
struct ZoneLoadNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::vector<TargetLoad> loads;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->loads);
    }
};

/// @brief The demand that one host sees for all buckets.
struct DemandNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::vector<BucketDemand> demands;
    /// IP numbers of hosts of the zone that the sender has not heard lately.
    std::vector<std::string> unheard;
    /// True: the sender ends and uses nothing any more.
    bool isLast = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->demands, this->unheard, this->isLast);
    }
};

/// @brief The demand that one zone sees, summed over its hosts.
struct ZoneDemandNotice {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::string zone;
    std::uint32_t hosts = 0;
    /// True: a host of the receiver's zone passes it on.
    bool isRelayed = false;
    std::vector<BucketDemand> demands;
    /// Names of zones that the sender has not heard lately.
    std::vector<std::string> unheard;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->sender, this->sequence, this->zone, this->hosts, this->isRelayed, this->demands, this->unheard);
    }
};

/// @brief Revision of a host's copy of the store's objects of one kind.
struct FeedState {
    /// bucketId() of the kind's name.
    std::uint64_t kind = 0;
    std::uint64_t revision = 0;

    auto operator==(const FeedState&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->kind, this->revision); }
};

/// @brief A zone's reader of the store tells which copies it has and keeps up to date; none while it has lost the
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

/// @brief Asks a zone's reader for what has changed after a revision; for all objects if that is 0.
struct FeedRequest {
    std::string kind;
    std::uint64_t since = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->kind, this->since); }
};

/// @brief Any message between hosts.
using PeerMessage = std::variant<GossipMessage, RenewRequest, RenewGrant, LoanAsk, LoanGrant, ConfigNotice, LoadNotice,
    DemandNotice, ZoneDemandNotice, ZoneLoadNotice, FeedNotice>;

/// @brief Sends messages to other hosts; they may be lost, doubled, reordered or late.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// @brief Sends a message; there is no sign of its arrival.
    virtual auto send(const Address& to, const PeerMessage& message) -> void = 0;
};

/// @brief Largest datagram in bytes; a longer one is dropped by the sender and counted.
inline constexpr auto greatestDatagramBytes = std::size_t { 16 * 1024 };

} // namespace citronloft
