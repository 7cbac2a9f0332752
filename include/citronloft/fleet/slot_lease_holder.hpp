/// @file
/// @brief The host's side of the slot lease: renews it with the zone leader and determines which slots the host can
/// use.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "citronloft/fleet/lease_terms.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/messages.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Slots that this host holds, and the lease on them.
///
/// While its lease is valid, a host uses its slots. After the lease has expired it continues only while the store does
/// not answer: without the store no host can become zone leader or move a slot, and a leader that regains the store
/// first waits for a full lease. A host stops using its slots as soon as it learns of a newer epoch. After a pause that
/// outlasted its lease it uses no slot until a leader has confirmed it.
class SlotLeaseHolder : public std::enable_shared_from_this<SlotLeaseHolder> {
public:
    SlotLeaseHolder(LeaseTerms terms, std::uint64_t incarnation, const Clock& clock, Membership& membership,
        PeerTransport& transport, std::shared_ptr<ObjectStore> store);

    /// @brief Detects pauses of the process, sends renewals and polls the store; must be called periodically.
    auto tick(TimePoint now) -> void;

    /// @brief Processes a zone leader's confirmation; answers to any but the newest renewal are ignored.
    auto receive(const RenewGrant& grant, const Address& from, TimePoint now) -> void;

    /// @brief Starts to release all slots, for a planned stop.
    auto leave() -> void { this->leaving = true; }

    /// @return the slots whose tokens this host can use at `now`.
    [[nodiscard]] auto usableSlots(TimePoint now) const -> std::vector<SlotRange>;

    /// @return whether a zone leader has confirmed that this leaving host holds no slots, including those with
    /// outstanding loans.
    [[nodiscard]] auto hasHandedOver() const -> bool { return this->isReleaseConfirmed; }

    /// @return the epoch of the last confirmation.
    [[nodiscard]] auto knownEpoch() const -> std::uint32_t { return this->epoch; }

    /// @return whether the lease has expired, so that the host is not confirmed by a zone leader.
    [[nodiscard]] auto isUnconfirmed(TimePoint now) const -> bool { return now >= this->deadline; }

private:
    struct ReleasingSlots {
        std::vector<SlotRange> slots;
        TimePoint until;
    };

    [[nodiscard]] auto canContinue(TimePoint now) const -> bool;
    [[nodiscard]] auto held(TimePoint now) const -> std::vector<SlotRange>;
    auto detectPause(TimePoint now) -> void;
    auto renew(const Address& to, TimePoint now) -> void;
    auto pollStore(TimePoint now) -> void;
    [[nodiscard]] auto shouldRenewSoon(TimePoint now) const -> bool;

    LeaseTerms terms;
    std::uint64_t incarnation;
    const Clock& clock;
    Membership& membership;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;
    /// Sender of the last confirmation, or the zone leader last named by the store or by gossip.
    std::optional<Address> leaderAddress;
    std::vector<SlotRange> slots;
    std::vector<ReleasingSlots> releasing;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
    TimePoint sentAt {};
    TimePoint deadline {};
    TimePoint lastTickAt {};
    TimePoint nextRenewalAt {};
    TimePoint nextPollAt {};
    /// Time at which the last poll that the store did not answer was sent.
    TimePoint failedPollAt {};
    bool isPolling = false;
    bool requiresConfirmation = false;
    bool leaving = false;
    bool hasReportedNoSlots = false;
    bool isReleaseConfirmed = false;
};

} // namespace citronloft
