/// @file
/// @brief A host's side of the slot lease: renewing with the steward, and what it may use meanwhile.
#pragma once

#include <cstdint>
#include <vector>

#include "citronloft/fleet/lease_terms.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief Slots that this host holds.
///
/// Within its lease a host uses its slots. After its lease it goes on only if it was not paused, has heard a zone peer
/// lately (or knows of none), sees no steward with authority and has heard of no newer epoch: a newer steward gives
/// nothing away before it has been heard. After a pause past the lease it uses nothing until a steward has confirmed
/// it.
class ShareHolder {
public:
    ShareHolder(LeaseTerms terms, std::uint64_t incarnation, const Membership& membership, PeerTransport& transport);

    /// @brief Notices pauses and sends renewals.
    auto tick(TimePoint now) -> void;

    /// @brief Takes in a steward's confirmation.
    auto receive(const RenewGrant& grant, TimePoint now) -> void;

    /// @brief Begins to give all slots up, for a planned stop.
    auto leave() -> void { this->leaving = true; }

    /// @return slots that may be used now.
    [[nodiscard]] auto usable(TimePoint now) const -> std::vector<SlotRange>;

    /// @return whether nothing is held any more, lent parts included.
    [[nodiscard]] auto isEmpty(TimePoint now) const -> bool;

    /// @return raised whenever the slots may have changed.
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
    auto renew(const HostEntry& steward, TimePoint now) -> void;

    LeaseTerms terms;
    std::uint64_t incarnation;
    const Membership& membership;
    PeerTransport& transport;
    std::vector<SlotRange> slots;
    std::vector<Releasing> releasing;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
    TimePoint sentAt {};
    TimePoint deadline {};
    TimePoint lastTickAt {};
    TimePoint lastHeardAt {};
    TimePoint nextRenewalAt {};
    bool confirmRequired = false;
    bool leaving = false;
};

} // namespace citronloft
