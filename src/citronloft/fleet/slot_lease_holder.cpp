#include "citronloft/fleet/slot_lease_holder.hpp"

#include <algorithm>

#include "citronloft/base/codec.hpp"
#include "citronloft/fleet/slot_map.hpp"
#include "citronloft/fleet/zone_leader.hpp"

namespace citronloft {

namespace {

/// Renewal interval of a host that should renew soon, so that a new host gets slots quickly.
constexpr auto unconfirmedRenewalInterval = std::chrono::milliseconds { 250 };

/// Returns the slots of `from` that are not in `to`.
auto slotsNotIn(const std::vector<SlotRange>& from, const std::vector<SlotRange>& to) -> std::vector<SlotRange>
{
    auto remaining = SlotMap(from);
    for (const auto& range : to) {
        for (auto slot = std::uint32_t { range.first }; slot < std::uint32_t { range.first } + range.count; ++slot)
            remaining.setOwner(slot, 0);
    }
    return remaining.ranges();
}

} // namespace

SlotLeaseHolder::SlotLeaseHolder(LeaseTerms terms, std::uint64_t incarnation, const Clock& clock,
    Membership& membership, PeerTransport& transport, std::shared_ptr<ObjectStore> store)
    : terms(terms)
    , incarnation(incarnation)
    , clock(clock)
    , membership(membership)
    , transport(transport)
    , store(std::move(store))
{
}

auto SlotLeaseHolder::tick(TimePoint now) -> void
{
    this->detectPause(now);
    const auto released = std::erase_if(this->releasing, [&](const ReleasingSlots& item) { return now >= item.until; });
    if (released > 0)
        this->nextRenewalAt = now;
    const auto isConfirmationOverdue = now > this->sentAt && now + this->terms.hostLease / 2 >= this->deadline;
    if (isConfirmationOverdue && now >= this->nextPollAt && !this->isPolling)
        this->pollStore(now);
    const auto gossipLeader = this->membership.zoneLeader();
    const auto isNewer = gossipLeader && (gossipLeader->epoch > this->epoch || !this->leaderAddress);
    if (isNewer)
        this->leaderAddress = gossipLeader->address;
    const auto isDue = now >= this->nextRenewalAt
        || (this->shouldRenewSoon(now) && now >= this->sentAt + unconfirmedRenewalInterval);
    if (this->leaderAddress && isDue)
        this->renew(*this->leaderAddress, now);
}

auto SlotLeaseHolder::receive(const RenewGrant& grant, const Address& from, TimePoint now) -> void
{
    // Only the answer to the newest request is processed: the leader has superseded older ones.
    if (grant.sequence != this->sequence || grant.epoch < this->epoch)
        return;
    auto removed = slotsNotIn(this->slots, grant.slots);
    if (!removed.empty())
        this->releasing.push_back({ std::move(removed), now + this->terms.loanReservationTime() });
    this->epoch = grant.epoch;
    this->leaderAddress = from;
    this->slots = grant.slots;
    this->deadline = this->sentAt + this->terms.hostLease;
    this->requiresConfirmation = false;
    this->isReleaseConfirmed = this->leaving && this->hasReportedNoSlots;
}

auto SlotLeaseHolder::usableSlots(TimePoint now) const -> std::vector<SlotRange>
{
    // Also checked here, since a process that was paused may call this before its next tick.
    const auto isPaused = now - this->lastTickAt > this->terms.pauseLimit;
    if (now < this->deadline)
        return this->slots;
    if (this->requiresConfirmation || isPaused || !this->canContinue(now))
        return {};
    return this->slots;
}

auto SlotLeaseHolder::canContinue(TimePoint now) const -> bool
{
    return this->membership.maxLeaderEpoch() <= this->epoch && this->failedPollAt != TimePoint {}
    && now < this->failedPollAt + this->terms.failedPollValidity;
}

/// Returns whether the host should renew sooner than at the regular interval.
auto SlotLeaseHolder::shouldRenewSoon(TimePoint now) const -> bool
{
    return this->slots.empty() || this->leaving || now >= this->deadline
        || this->membership.maxLeaderEpoch() > this->epoch;
}

/// Reads the zone leader's address from the store. If the store does not answer, no leader can be replaced at present.
auto SlotLeaseHolder::pollStore(TimePoint now) -> void
{
    this->isPolling = true;
    this->nextPollAt = now + this->terms.storePollInterval;
    const auto key = zoneSharesKey(this->membership.self().zone);
    this->store->get(key, [self = this->shared_from_this(), now](const absl::StatusOr<StoredObject>& result) {
        self->isPolling = false;
        const auto hasAnswer = result.ok() || absl::IsNotFound(result.status());
        if (!hasAnswer) {
            self->failedPollAt = now;
            return;
        }
        const auto shares = result.ok() ? decodeZoneShares(result->value) : result.status();
        if (!shares.ok() || shares->zoneLeader == 0 || shares->epoch < self->epoch)
            return;
        self->leaderAddress = shares->leaderAddress;
        self->membership.addSeed(shares->leaderAddress);
        self->nextRenewalAt = self->clock.now();
    });
}

auto SlotLeaseHolder::held(TimePoint now) const -> std::vector<SlotRange>
{
    auto all = SlotMap(this->slots);
    for (const auto& item : this->releasing) {
        if (now >= item.until)
            continue;
        for (const auto& range : item.slots) {
            for (auto slot = std::uint32_t { range.first }; slot < std::uint32_t { range.first } + range.count; ++slot)
                all.setOwner(slot, this->incarnation);
        }
    }
    return all.rangesOf(this->incarnation);
}

auto SlotLeaseHolder::detectPause(TimePoint now) -> void
{
    const auto isFirst = this->lastTickAt == TimePoint {};
    const auto wasPaused = !isFirst && now - this->lastTickAt > this->terms.pauseLimit;
    this->lastTickAt = now;
    if (wasPaused && now >= this->deadline)
        this->requiresConfirmation = true;
}

auto SlotLeaseHolder::renew(const Address& to, TimePoint now) -> void
{
    this->nextRenewalAt = now + this->terms.hostRenewalInterval;
    this->sentAt = now;
    ++this->sequence;
    // A host that requires confirmation uses no slot but still lists what it holds, since loans from these slots may be
    // outstanding.
    const auto held = this->held(now);
    this->hasReportedNoSlots = held.empty();
    this->transport.send(
        to, RenewRequest { this->incarnation, this->sequence, this->leaving, held, this->membership.self().headroom });
}

} // namespace citronloft
