/// @file
/// @brief Leader of a zone: holds the zone's lease in the store and distributes the zone's slots among its hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citronloft/fleet/lease_terms.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/messages.hpp"
#include "citronloft/fleet/object_store.hpp"
#include "citronloft/fleet/slot_map.hpp"

namespace citronloft {

/// @brief Stored object "zones/<zone>/shares": the leader's lease and the owners of the slots.
struct ZoneShares {
    std::uint32_t epoch = 0;
    std::uint64_t zoneLeader = 0;
    Address leaderAddress;
    /// Incremented with every update, so that a renewal changes the object even if nothing else differs.
    std::uint64_t renewals = 0;
    std::vector<SlotRange> ranges;
    /// Era of the store in which this was written; an object of an earlier one is from a copy.
    std::uint64_t era = 0;
    /// Hosts may hold slots that `ranges` does not show: an earlier division was lost when the store was restored.
    bool isDivisionUnknown = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->epoch, this->zoneLeader, this->leaderAddress, this->renewals, this->ranges, this->era,
            this->isDivisionUnknown);
    }
};

/// @return the shares that an object states, also if a version without eras has written it; InvalidArgument if it is
/// malformed.
auto decodeZoneShares(const std::string& value) -> absl::StatusOr<ZoneShares>;

/// @return the key of a zone's shares object.
auto zoneSharesKey(const std::string& zone) -> std::string;

/// @brief Candidate for or holder of a zone's leadership, as decided by the lease in the store.
///
/// A candidate takes the lease over only after the object has remained unchanged for longer than the leader's lease
/// while the store answered every call. A new leader moves a slot only after its holder has released it, or after every
/// lease that an earlier leader can have granted has expired. Slots move only through a successful conditional update,
/// so none moves during an outage of the store. A leader whose lease has expired confirms no renewals until the store
/// has answered; in the meantime its hosts continue on their own (SlotLeaseHolder).
///
/// After a restore of the store the object can be older than what was acknowledged. A leader with a valid lease writes
/// its own state again. Without one, a candidate waits for a complete leader's lease, even if the object shows none,
/// and divides the slots anew once every lease of hosts has expired.
class ZoneLeader : public std::enable_shared_from_this<ZoneLeader> {
public:
    ZoneLeader(LeaseTerms terms, std::uint64_t incarnation, std::string zone, const Clock& clock,
        Membership& membership, PeerTransport& transport, std::shared_ptr<ObjectStore> store);

    /// @brief Polls or renews the lease and reassigns slots when due.
    auto tick(TimePoint now) -> void;

    /// @brief Answers a host's renewal if this host is the leader and its lease is valid.
    auto receive(const RenewRequest& request, const Address& from, TimePoint now) -> void;

    /// @brief Stops being a candidate; a leader gives up the lease with an update once it owns no slots.
    auto leave() -> void { this->leaving = true; }

    /// @return the epoch of this host's leadership, 0 if it is not the leader.
    [[nodiscard]] auto heldEpoch() const -> std::uint32_t { return this->isLeader ? this->shares.epoch : 0; }

    /// @return the last time the store answered.
    [[nodiscard]] auto storeAnsweredAt() const -> TimePoint { return this->storeAnswerAt; }

    /// @return the owners of the slots as last stored; for status pages.
    [[nodiscard]] auto storedSlotRanges() const -> const std::vector<SlotRange>& { return this->shares.ranges; }

private:
    struct Holder {
        std::uint64_t sequence = 0;
        TimePoint renewedAt;
        /// End of the time in which the holder can use its granted slots.
        TimePoint grantedUntil;
        bool leaving = false;
    };

    auto detectPause(TimePoint now) -> void;
    auto announceEpoch(TimePoint now) -> void;
    auto reserveMoves(const SlotMap& plan) -> const SlotMap&;
    [[nodiscard]] auto hasExpired(std::uint64_t holder, TimePoint now) const -> bool;
    auto pollLease(TimePoint now) -> void;
    auto processShares(const StoredObject& object, TimePoint now) -> void;
    auto takeOver(TimePoint now) -> void;
    auto processMissingShares(TimePoint now) -> void;
    auto observe(const ZoneShares& found, const StoreRevision& foundVersion, TimePoint now) -> void;
    auto becomeLeader(ZoneShares newLease, const StoreRevision& version, TimePoint sentAt, TimePoint now) -> void;
    auto stepDown() -> void;
    auto sendUpdate(TimePoint now) -> void;
    auto finishUpdate(const absl::StatusOr<StoreRevision>& result, const ZoneShares& newShares) -> void;
    auto resolveConflict() -> void;
    auto replaceCopy(const ZoneShares& copy, const StoreRevision& copyVersion) -> void;
    auto applyStored(const ZoneShares& storedUpdate, const StoreRevision& storedVersion) -> void;
    [[nodiscard]] auto hasValidLease(TimePoint now) const -> bool;
    [[nodiscard]] auto planSlots(TimePoint now) const -> SlotMap;
    [[nodiscard]] auto haveEarlierLeasesExpired(TimePoint now) const -> bool;
    [[nodiscard]] auto liveHolders(TimePoint now) const -> std::vector<std::uint64_t>;
    [[nodiscard]] auto grantedSlots(std::uint64_t holder, TimePoint now) const -> std::vector<SlotRange>;
    [[nodiscard]] auto evenShare(TimePoint now) const -> std::size_t;

    LeaseTerms terms;
    std::uint64_t incarnation;
    std::string zone;
    const Clock& clock;
    Membership& membership;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;

    bool isLeader = false;
    bool leaving = false;
    bool callPending = false;
    ZoneShares shares;
    StoreRevision version = absentVersion;
    std::uint64_t lastRenewal = 0;
    /// Send times of updates whose outcome is unknown, by their value of `renewals`.
    std::map<std::uint64_t, TimePoint> sentUpdates;
    /// Stored owners of the slots, without slots that their holders have released or that an update is moving.
    SlotMap workingMap;
    /// The working map when the last update was sent, without the slots that this update assigns.
    SlotMap sentWorkingMap;
    std::map<std::uint64_t, Holder> holders;
    TimePoint unchangedSince {};
    TimePoint earliestTakeover {};
    TimePoint leaseValidUntil {};
    /// Time since which this leader's lease has been valid and its process was not paused.
    TimePoint activeSince {};
    bool wasActive = false;
    TimePoint lastTickAt {};
    TimePoint nextCallAt {};
    TimePoint updatedAt {};
    TimePoint storeAnswerAt {};
};

} // namespace citronloft
