/// @file
/// @brief A host's side of the slot lease: renewing with the steward, and what it may use meanwhile.
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

/// @brief Slots that this host holds.
///
/// Within its lease a host uses its slots. After its lease it goes on only while the store does not answer it: nobody
/// can become steward or move a slot without the store, and whoever gets the store back listens for a whole lease
/// first. It stops as soon as it hears of a newer epoch. After a pause past its lease it uses nothing until a steward
/// has confirmed it.
class ShareHolder : public std::enable_shared_from_this<ShareHolder> {
public:
    ShareHolder(LeaseTerms terms, std::uint64_t incarnation, const Clock& clock, Membership& membership,
        PeerTransport& transport, std::shared_ptr<ObjectStore> store);

    /// @brief Notices pauses and sends renewals.
    auto tick(TimePoint now) -> void;

    /// @brief Takes in a steward's confirmation.
    auto receive(const RenewGrant& grant, const Address& from, TimePoint now) -> void;

    /// @brief Begins to give all slots up, for a planned stop.
    auto leave() -> void { this->leaving = true; }

    /// @return slots that may be used now.
    [[nodiscard]] auto usable(TimePoint now) const -> std::vector<SlotRange>;

    /// @return whether a steward has confirmed that this leaving host holds nothing any more, lent parts included.
    [[nodiscard]] auto hasHandedOver() const -> bool { return this->isReleaseConfirmed; }

    /// @return epoch of the last confirmation.
    [[nodiscard]] auto knownEpoch() const -> std::uint32_t { return this->epoch; }

    /// @return whether the lease has run out and the host goes on without a steward.
    [[nodiscard]] auto isUnconfirmed(TimePoint now) const -> bool { return now >= this->deadline; }

private:
    struct Releasing {
        std::vector<SlotRange> slots;
        TimePoint until;
    };

    [[nodiscard]] auto mayContinue(TimePoint now) const -> bool;
    [[nodiscard]] auto held(TimePoint now) const -> std::vector<SlotRange>;
    auto noticePause(TimePoint now) -> void;
    auto renew(const Address& to, TimePoint now) -> void;
    auto pollStore(TimePoint now) -> void;
    [[nodiscard]] auto isEager(TimePoint now) const -> bool;

    LeaseTerms terms;
    std::uint64_t incarnation;
    const Clock& clock;
    Membership& membership;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;
    /// Where the last confirmation came from, or whom the store named last.
    std::optional<Address> stewardAddress;
    std::vector<SlotRange> slots;
    std::vector<Releasing> releasing;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
    TimePoint sentAt {};
    TimePoint deadline {};
    TimePoint lastTickAt {};
    TimePoint nextRenewalAt {};
    TimePoint nextPollAt {};
    /// When the last poll was sent that the store did not answer.
    TimePoint failedPollAt {};
    bool isPolling = false;
    bool confirmRequired = false;
    bool leaving = false;
    bool hasSentNothingHeld = false;
    bool isReleaseConfirmed = false;
};

} // namespace citronloft
