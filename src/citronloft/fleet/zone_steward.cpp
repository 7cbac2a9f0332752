#include "citronloft/fleet/zone_steward.hpp"

#include <algorithm>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

/// Least time between two updates that move slots.
constexpr auto moveInterval = std::chrono::milliseconds { 500 };
/// Time for the zone's hosts to report before a new zone is first divided.
constexpr auto gatherTime = std::chrono::milliseconds { 1500 };

} // namespace

auto zoneSharesKey(const std::string& zone) -> std::string { return "zones/" + zone + "/shares"; }

ZoneSteward::ZoneSteward(LeaseTerms terms, std::uint64_t incarnation, std::string zone, const Clock& clock,
    Membership& membership, PeerTransport& transport, std::shared_ptr<ObjectStore> store)
    : terms(terms)
    , incarnation(incarnation)
    , zone(std::move(zone))
    , clock(clock)
    , membership(membership)
    , transport(transport)
    , store(std::move(store))
{
}

auto ZoneSteward::tick(TimePoint now) -> void
{
    this->noticePause(now);
    if (this->isSteward && this->membership.greatestEpoch() > this->shares.epoch)
        this->stepDown();
    this->announce(now);
    if (this->callPending)
        return;
    if (!this->isSteward) {
        const auto mayPoll = !this->leaving && this->membership.isDelegate();
        if (mayPoll && now >= this->nextCallAt)
            this->poll(now);
        return;
    }
    const auto hasMoves = this->planSlots(now) != SlotMap(this->shares.ranges);
    if (now >= this->nextCallAt || (hasMoves && now >= this->updatedAt + moveInterval && this->hasAuthority(now)))
        this->update(now);
}

auto ZoneSteward::receive(const RenewRequest& request, const Address& from, TimePoint now) -> void
{
    if (!this->isSteward || !this->hasAuthority(now))
        return;
    auto& holder = this->holders[request.incarnation];
    if (request.sequence <= holder.sequence)
        return;
    holder.sequence = request.sequence;
    holder.renewedAt = now;
    holder.leaving = request.leaving;
    this->membership.noteHeadroom(request.incarnation, request.headroom);
    const auto granted = this->slotsFor(request.incarnation, now);
    const auto keeps = SlotMap(granted);
    const auto held = SlotMap(request.held);
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        const auto isOwn = this->working.ownerOf(slot) == request.incarnation;
        if (isOwn && keeps.ownerOf(slot) == 0 && held.ownerOf(slot) == 0)
            this->working.setOwner(slot, 0);
    }
    holder.grantedUntil = now + this->terms.outlast(this->terms.hostLease);
    this->transport.send(from, RenewGrant { this->incarnation, request.sequence, this->shares.epoch, granted });
}

/// A steward without authority does not show itself, so that hosts go on without one.
auto ZoneSteward::announce(TimePoint now) -> void
{
    const auto isListening = this->isSteward && this->hasAuthority(now);
    if (isListening && !this->wasListening)
        this->listeningSince = now;
    this->wasListening = isListening;
    auto& announced = this->membership.vitals().stewardEpoch;
    const auto epoch = isListening ? this->shares.epoch : 0;
    if (announced == epoch)
        return;
    announced = epoch;
    this->membership.hasten();
}

auto ZoneSteward::noticePause(TimePoint now) -> void
{
    const auto wasPaused = this->lastTickAt != TimePoint {} && now - this->lastTickAt > this->terms.pauseLimit;
    this->lastTickAt = now;
    if (!wasPaused)
        return;
    this->observedSince = now;
    this->wasListening = false;
}

auto ZoneSteward::poll(TimePoint now) -> void
{
    this->nextCallAt = now + this->terms.stewardRenewal;
    this->callPending = true;
    this->store->get(zoneSharesKey(this->zone), [self = this->shared_from_this()](auto result) {
        self->callPending = false;
        const auto time = self->clock.now();
        if (result.ok()) {
            self->observe(*result, time);
            return;
        }
        if (absl::IsNotFound(result.status())) {
            self->answeredAt = time;
            self->version = absentVersion;
            self->shares = {};
            self->takeOver(time);
            return;
        }
        // After an outage the present steward gets a first chance to renew.
        self->earliestTakeover = time + self->terms.stewardRenewal * 2;
    });
}

auto ZoneSteward::observe(const StoredObject& object, TimePoint now) -> void
{
    this->answeredAt = now;
    const auto found = decode<ZoneShares>(object.value);
    if (!found.ok()) {
        LogEvent(LogLevel::Error, "zone-shares-malformed").with("zone", this->zone);
        return;
    }
    const auto isFree = found->steward == this->incarnation || found->steward == 0;
    if (object.version != this->version || this->observedSince == TimePoint {}) {
        this->version = object.version;
        this->shares = *found;
        this->observedSince = now;
    }
    this->membership.addSeed(found->stewardAddress);
    const auto isSilent = now - this->observedSince > this->terms.outlast(this->terms.stewardLease);
    if (isFree || (isSilent && now >= this->earliestTakeover))
        this->takeOver(now);
}

auto ZoneSteward::takeOver(TimePoint now) -> void
{
    auto taken = this->shares;
    taken.epoch = std::max(this->shares.epoch, this->membership.greatestEpoch()) + 1;
    taken.steward = this->incarnation;
    taken.stewardAddress = this->membership.self().peerAddress();
    ++taken.renewals;
    this->callPending = true;
    this->store->put(zoneSharesKey(this->zone), encode(taken), this->version,
        [self = this->shared_from_this(), taken, now](const auto& result) {
            self->callPending = false;
            const auto time = self->clock.now();
            if (result.ok())
                self->becomeSteward(taken, *result, now, time);
            // After a lost reply the next poll finds this host named as steward and takes over once more.
            self->observedSince = time;
        });
}

auto ZoneSteward::becomeSteward(ZoneShares taken, std::uint64_t newVersion, TimePoint sentAt, TimePoint now) -> void
{
    const auto isNewZone = taken.ranges.empty();
    this->answeredAt = now;
    this->shares = std::move(taken);
    this->version = newVersion;
    this->isSteward = true;
    this->lastRenewal = this->shares.renewals;
    this->sentUpdates.clear();
    this->authorityUntil = sentAt + this->terms.stewardLease;
    this->wasListening = false;
    this->working = SlotMap(this->shares.ranges);
    this->holders.clear();
    this->nextCallAt = now + this->terms.stewardRenewal;
    this->updatedAt = isNewZone ? now + gatherTime : now;
    this->announce(now);
    LogEvent(LogLevel::Info, "steward-started").with("zone", this->zone).with("epoch", this->shares.epoch);
}

auto ZoneSteward::stepDown() -> void
{
    LogEvent(LogLevel::Info, "steward-ended").with("zone", this->zone).with("epoch", this->shares.epoch);
    this->isSteward = false;
    this->announce(this->clock.now());
    this->observedSince = TimePoint {};
    this->holders.clear();
}

auto ZoneSteward::update(TimePoint now) -> void
{
    auto written = this->shares;
    written.renewals = ++this->lastRenewal;
    this->sentUpdates[written.renewals] = now;
    // Without authority the lease is confirmed first; slots move with a later update.
    if (this->hasAuthority(now))
        written.ranges = this->reserveMoves(this->planSlots(now)).ranges();
    if (this->leaving && SlotMap(written.ranges).count(this->incarnation) == 0)
        written.steward = 0;
    this->nextCallAt = now + this->terms.stewardRenewal;
    this->updatedAt = now;
    this->callPending = true;
    this->store->put(zoneSharesKey(this->zone), encode(written), this->version,
        [self = this->shared_from_this(), written](const auto& result) { self->finishUpdate(result, written); });
}

/// Takes the slots that are about to move out of the working map, so that a late renewal can't get them back.
auto ZoneSteward::reserveMoves(const SlotMap& plan) -> const SlotMap&
{
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        if (plan.ownerOf(slot) != this->working.ownerOf(slot))
            this->working.setOwner(slot, 0);
    }
    return plan;
}

auto ZoneSteward::finishUpdate(const absl::StatusOr<std::uint64_t>& result, const ZoneShares& written) -> void
{
    this->callPending = false;
    if (!this->isSteward)
        return;
    if (result.ok()) {
        this->answeredAt = this->clock.now();
        this->adopt(written, *result);
        if (this->shares.steward == 0)
            this->stepDown();
        return;
    }
    // After a lost reply the next update decides: it is conditional on the same version. Until then the slots that this
    // one was to move belong to nobody.
    if (absl::IsAborted(result.status()))
        this->settleConflict();
}

/// A conflict comes from an earlier update of this steward whose reply was lost, or from another steward.
auto ZoneSteward::settleConflict() -> void
{
    this->callPending = true;
    this->store->get(zoneSharesKey(this->zone), [self = this->shared_from_this()](const auto& result) {
        self->callPending = false;
        // A read may be stale; the conflict proved that the object is newer than the known version.
        if (!self->isSteward || !result.ok() || result->version <= self->version)
            return;
        self->answeredAt = self->clock.now();
        const auto stored = decode<ZoneShares>(result->value);
        const auto isOwn = stored.ok() && stored->steward == self->incarnation && stored->epoch == self->shares.epoch;
        if (!isOwn) {
            self->stepDown();
            return;
        }
        self->adopt(*stored, result->version);
    });
}

/// Takes a stored update of this steward as the present state; its authority counts from when it was sent.
auto ZoneSteward::adopt(const ZoneShares& stored, std::uint64_t storedVersion) -> void
{
    const auto before = SlotMap(this->shares.ranges);
    const auto after = SlotMap(stored.ranges);
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        // A slot that was given up while the update was under way stays free.
        const auto isGivenUp = this->working.ownerOf(slot) == 0 && after.ownerOf(slot) == before.ownerOf(slot);
        if (!isGivenUp)
            this->working.setOwner(slot, after.ownerOf(slot));
    }
    this->version = storedVersion;
    this->shares = stored;
    const auto sent = this->sentUpdates.find(stored.renewals);
    if (sent == this->sentUpdates.end())
        return;
    this->authorityUntil = std::max(this->authorityUntil, sent->second + this->terms.stewardLease);
    this->sentUpdates.erase(this->sentUpdates.begin(), std::next(sent));
}

auto ZoneSteward::hasAuthority(TimePoint now) const -> bool { return now < this->authorityUntil; }

auto ZoneSteward::liveHolders(TimePoint now) const -> std::vector<std::uint64_t>
{
    auto live = std::vector<std::uint64_t> {};
    for (const auto& [holder, state] : this->holders) {
        if (!state.leaving && now - state.renewedAt < this->terms.hostRenewal * 3)
            live.push_back(holder);
    }
    return live;
}

auto ZoneSteward::evenPart(TimePoint now) const -> std::size_t
{
    const auto live = std::max<std::size_t>(this->liveHolders(now).size(), 1);
    return (slotsPerZone + live - 1) / live;
}

/// A holder has lapsed when its lease is over and this steward has listened for a whole lease without hearing it.
auto ZoneSteward::hasLapsed(std::uint64_t holder, TimePoint now) const -> bool
{
    if (!this->wasListening || now < this->listeningSince + this->terms.outlast(this->terms.hostLease))
        return false;
    const auto found = this->holders.find(holder);
    return found == this->holders.end() || now >= found->second.grantedUntil;
}

/// The slots as they may be stored next: lapsed holders' slots are freed, and free slots go to live hosts below their
/// even part.
auto ZoneSteward::planSlots(TimePoint now) const -> SlotMap
{
    auto plan = this->working;
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        if (plan.ownerOf(slot) != 0 && this->hasLapsed(plan.ownerOf(slot), now))
            plan.setOwner(slot, 0);
    }
    const auto part = this->evenPart(now);
    auto slot = std::uint32_t { 0 };
    for (const auto holder : this->liveHolders(now)) {
        for (auto missing = part - std::min(part, plan.count(holder)); missing > 0; --missing) {
            while (slot < slotsPerZone && plan.ownerOf(slot) != 0)
                ++slot;
            if (slot == slotsPerZone)
                return plan;
            plan.setOwner(slot, holder);
        }
    }
    return plan;
}

/// Stored slots of a holder, cut to its even part so that the rest can move to others.
auto ZoneSteward::slotsFor(std::uint64_t holder, TimePoint now) const -> std::vector<SlotRange>
{
    if (this->holders.at(holder).leaving)
        return {};
    auto granted = SlotMap {};
    auto left = this->evenPart(now);
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone && left > 0; ++slot) {
        const auto isStored = this->working.ownerOf(slot) == holder;
        if (!isStored)
            continue;
        granted.setOwner(slot, holder);
        --left;
    }
    return granted.ranges();
}

} // namespace citronloft
