/// @file
/// @brief The steward of a zone: holds the zone's lease in the store and divides the zone's slots over its hosts.
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

/// @brief Stored object "zones/<zone>/shares": the steward's lease and the owners of slots.
struct ZoneShares {
    std::uint32_t epoch = 0;
    std::uint64_t steward = 0;
    Address stewardAddress;
    /// Raised with every update, so that renewals without other changes differ.
    std::uint64_t renewals = 0;
    std::vector<SlotRange> ranges;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->epoch, this->steward, this->stewardAddress, this->renewals, this->ranges);
    }
};

/// @return key of a zone's shares object.
auto zoneSharesKey(const std::string& zone) -> std::string;

/// @brief Candidate or steward, as the lease decides.
///
/// A candidate takes the lease over only after the object has stayed the same for longer than the steward's lease while
/// the store answered all the time. A new steward moves a slot only after its holder gave it up, or after every lease
/// that an earlier steward can have granted has run out. Slots move only through a successful conditional update, so
/// none moves while the store is down. A steward whose lease has run out confirms nobody until the store has answered
/// it; its hosts then go on by themselves (ShareHolder).
class ZoneSteward : public std::enable_shared_from_this<ZoneSteward> {
public:
    ZoneSteward(LeaseTerms terms, std::uint64_t incarnation, std::string zone, const Clock& clock,
        Membership& membership, PeerTransport& transport, std::shared_ptr<ObjectStore> store);

    /// @brief Polls, renews and reassigns what is due.
    auto tick(TimePoint now) -> void;

    /// @brief Answers a host's renewal if this host is the steward.
    auto receive(const RenewRequest& request, const Address& from, TimePoint now) -> void;

    /// @brief Stops being a candidate; a steward gives its role up after its next update.
    auto leave() -> void { this->leaving = true; }

    /// @return the epoch held, 0 if this host is not steward.
    [[nodiscard]] auto heldEpoch() const -> std::uint32_t { return this->isSteward ? this->shares.epoch : 0; }

    /// @return last time the store answered.
    [[nodiscard]] auto storeAnsweredAt() const -> TimePoint { return this->answeredAt; }

    /// @return owners of slots as last stored; for status pages.
    [[nodiscard]] auto storedRanges() const -> const std::vector<SlotRange>& { return this->shares.ranges; }

private:
    struct Holder {
        std::uint64_t sequence = 0;
        TimePoint renewedAt;
        /// Until then the holder may use the slots it was granted.
        TimePoint grantedUntil;
        bool leaving = false;
    };

    auto noticePause(TimePoint now) -> void;
    auto announce(TimePoint now) -> void;
    auto reserveMoves(const SlotMap& plan) -> const SlotMap&;
    [[nodiscard]] auto hasLapsed(std::uint64_t holder, TimePoint now) const -> bool;
    auto poll(TimePoint now) -> void;
    auto observe(const StoredObject& object, TimePoint now) -> void;
    auto takeOver(TimePoint now) -> void;
    auto becomeSteward(ZoneShares taken, std::uint64_t version, TimePoint sentAt, TimePoint now) -> void;
    auto stepDown() -> void;
    auto update(TimePoint now) -> void;
    auto finishUpdate(const absl::StatusOr<std::uint64_t>& result, const ZoneShares& written) -> void;
    auto settleConflict() -> void;
    auto adopt(const ZoneShares& stored, std::uint64_t storedVersion) -> void;
    [[nodiscard]] auto hasAuthority(TimePoint now) const -> bool;
    [[nodiscard]] auto planSlots(TimePoint now) const -> SlotMap;
    [[nodiscard]] auto liveHolders(TimePoint now) const -> std::vector<std::uint64_t>;
    [[nodiscard]] auto slotsFor(std::uint64_t holder, TimePoint now) const -> std::vector<SlotRange>;
    [[nodiscard]] auto evenPart(TimePoint now) const -> std::size_t;

    LeaseTerms terms;
    std::uint64_t incarnation;
    std::string zone;
    const Clock& clock;
    Membership& membership;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;

    bool isSteward = false;
    bool leaving = false;
    bool callPending = false;
    ZoneShares shares;
    std::uint64_t version = absentVersion;
    std::uint64_t lastRenewal = 0;
    /// When each update was sent whose effect is not known yet, by its number.
    std::map<std::uint64_t, TimePoint> sentUpdates;
    /// Slots that their holders gave up and that no update has moved yet.
    SlotMap working;
    std::map<std::uint64_t, Holder> holders;
    TimePoint observedSince {};
    TimePoint earliestTakeover {};
    TimePoint authorityUntil {};
    /// Since then this steward has had authority and was not paused.
    TimePoint listeningSince {};
    bool wasListening = false;
    TimePoint lastTickAt {};
    TimePoint nextCallAt {};
    TimePoint updatedAt {};
    TimePoint answeredAt {};
};

} // namespace citronloft
