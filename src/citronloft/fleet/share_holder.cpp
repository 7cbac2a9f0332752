#include "citronloft/fleet/share_holder.hpp"

#include <algorithm>

#include "citronloft/fleet/slot_map.hpp"

namespace citronloft {

namespace {

/// Renewal interval while the host holds no slot, so that a new host is served soon.
constexpr auto eagerRenewal = std::chrono::milliseconds { 250 };

/// Appends the slots of `from` that `to` lacks.
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

ShareHolder::ShareHolder(
    LeaseTerms terms, std::uint64_t incarnation, const Membership& membership, PeerTransport& transport)
    : terms(terms)
    , incarnation(incarnation)
    , membership(membership)
    , transport(transport)
{
}

auto ShareHolder::tick(TimePoint now) -> void
{
    this->noticePause(now);
    std::erase_if(this->releasing, [&](const Releasing& item) { return now >= item.until; });
    if (!this->membership.zonePeers().empty())
        this->lastHeardAt = now;
    const auto steward = this->membership.steward();
    if (!steward)
        return;
    const auto isNewSteward = steward->stewardEpoch > this->epoch;
    const auto waits = this->slots.empty() || isNewSteward;
    if (now < this->nextRenewalAt && !(waits && now >= this->sentAt + eagerRenewal))
        return;
    this->renew(*steward, now);
}

auto ShareHolder::receive(const RenewGrant& grant, TimePoint now) -> void
{
    // Only the answer to the newest request counts: the steward knows that older ones can have no effect any more.
    if (grant.sequence != this->sequence || grant.epoch < this->epoch)
        return;
    auto removed = slotsNotIn(this->slots, grant.slots);
    if (!removed.empty())
        this->releasing.push_back({ std::move(removed), now + this->terms.reservation() });
    this->epoch = grant.epoch;
    this->slots = grant.slots;
    this->deadline = this->sentAt + this->terms.hostLease;
    this->confirmRequired = false;
}

auto ShareHolder::usable(TimePoint now) const -> std::vector<SlotRange>
{
    // Checked here too, since a paused process may run this before its next tick.
    const auto isPaused = now - this->lastTickAt > this->terms.pauseLimit;
    if (now < this->deadline)
        return this->slots;
    if (this->confirmRequired || isPaused || !this->mayContinue(now))
        return {};
    return this->slots;
}

auto ShareHolder::isEmpty(TimePoint now) const -> bool { return this->held(now).empty(); }

auto ShareHolder::mayContinue(TimePoint now) const -> bool
{
    if (this->membership.greatestEpoch() > this->epoch || this->membership.steward())
        return false;
    const auto knowsPeers = this->lastHeardAt != TimePoint {};
    return !knowsPeers || now - this->lastHeardAt < this->terms.margin / 2;
}

auto ShareHolder::held(TimePoint now) const -> std::vector<SlotRange>
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

auto ShareHolder::noticePause(TimePoint now) -> void
{
    const auto isFirst = this->lastTickAt == TimePoint {};
    const auto wasPaused = !isFirst && now - this->lastTickAt > this->terms.pauseLimit;
    this->lastTickAt = now;
    if (wasPaused && now >= this->deadline)
        this->confirmRequired = true;
}

auto ShareHolder::renew(const HostEntry& steward, TimePoint now) -> void
{
    this->nextRenewalAt = now + this->terms.hostRenewal;
    this->sentAt = now;
    ++this->sequence;
    // A host that must be confirmed uses nothing, yet still lists what it holds: its lent parts may be outstanding.
    this->transport.send(
        steward.peerAddress(), RenewRequest { this->incarnation, this->sequence, this->leaving, this->held(now) });
}

} // namespace citronloft
