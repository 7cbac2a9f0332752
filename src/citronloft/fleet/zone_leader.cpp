#include "citronloft/fleet/zone_leader.hpp"

#include <algorithm>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

/// Minimum time between two updates that move slots.
constexpr auto minMoveInterval = std::chrono::milliseconds { 500 };
/// Delay before the slots of a new zone are first assigned, in which the zone's hosts can report.
constexpr auto newZoneDelay = std::chrono::milliseconds { 1500 };
/// Epochs of an era of the store; each era starts with the next multiple, so that epochs whose record was lost in a
/// restore are not used again.
constexpr auto epochsPerEra = std::uint32_t { 1U << 16U };

/// ZoneShares as versions without eras write it.
struct ZoneSharesWithoutEra {
    ZoneShares shares;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->shares.epoch, this->shares.zoneLeader, this->shares.leaderAddress, this->shares.renewals,
            this->shares.ranges);
    }
};

} // namespace

auto decodeZoneShares(const std::string& value) -> absl::StatusOr<ZoneShares>
{
    auto shares = decode<ZoneShares>(value);
    if (shares.ok())
        return shares;
    const auto withoutEra = decode<ZoneSharesWithoutEra>(value);
    return withoutEra.ok() ? absl::StatusOr<ZoneShares> { withoutEra->shares } : shares;
}

auto zoneSharesKey(const std::string& zone) -> std::string { return "zones/" + zone + "/shares"; }

ZoneLeader::ZoneLeader(LeaseTerms terms, std::uint64_t incarnation, std::string zone, const Clock& clock,
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

auto ZoneLeader::tick(TimePoint now) -> void
{
    this->detectPause(now);
    if (this->isLeader && this->membership.maxLeaderEpoch() > this->shares.epoch)
        this->stepDown();
    this->announceEpoch(now);
    if (this->callPending)
        return;
    if (!this->isLeader) {
        const auto canPoll = !this->leaving && this->membership.isDelegate();
        if (canPoll && now >= this->nextCallAt)
            this->pollLease(now);
        return;
    }
    const auto hasMoves = this->planSlots(now) != SlotMap(this->shares.ranges);
    if (now >= this->nextCallAt || (hasMoves && now >= this->updatedAt + minMoveInterval && this->hasValidLease(now)))
        this->sendUpdate(now);
}

auto ZoneLeader::receive(const RenewRequest& request, const Address& from, TimePoint now) -> void
{
    if (!this->isLeader || !this->hasValidLease(now) || this->shares.isDivisionUnknown)
        return;
    auto& holder = this->holders[request.incarnation];
    if (request.sequence <= holder.sequence)
        return;
    holder.sequence = request.sequence;
    holder.renewedAt = now;
    holder.leaving = request.leaving;
    this->membership.updateHeadroom(request.incarnation, request.headroom);
    const auto granted = this->grantedSlots(request.incarnation, now);
    const auto grantedMap = SlotMap(granted);
    const auto held = SlotMap(request.held);
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        const auto isOwn = this->workingMap.ownerOf(slot) == request.incarnation;
        if (isOwn && grantedMap.ownerOf(slot) == 0 && held.ownerOf(slot) == 0)
            this->workingMap.setOwner(slot, 0);
    }
    holder.grantedUntil = now + this->terms.outlast(this->terms.hostLease);
    this->transport.send(from, RenewGrant { this->incarnation, request.sequence, this->shares.epoch, granted });
}

/// Publishes this leader's epoch in heartbeats. A leader whose lease has expired publishes none, so that hosts continue
/// without a leader.
auto ZoneLeader::announceEpoch(TimePoint now) -> void
{
    const auto isActive = this->isLeader && this->hasValidLease(now);
    if (isActive && !this->wasActive)
        this->activeSince = now;
    this->wasActive = isActive;
    auto& announced = this->membership.vitals().leaderEpoch;
    const auto epoch = isActive ? this->shares.epoch : 0;
    if (announced == epoch)
        return;
    announced = epoch;
    this->membership.gossipOnNextTick();
}

auto ZoneLeader::detectPause(TimePoint now) -> void
{
    const auto wasPaused = this->lastTickAt != TimePoint {} && now - this->lastTickAt > this->terms.pauseLimit;
    this->lastTickAt = now;
    if (!wasPaused)
        return;
    this->unchangedSince = now;
    this->wasActive = false;
}

auto ZoneLeader::pollLease(TimePoint now) -> void
{
    this->nextCallAt = now + this->terms.leaderRenewalInterval;
    this->callPending = true;
    this->store->get(zoneSharesKey(this->zone), [self = this->shared_from_this()](auto result) {
        self->callPending = false;
        const auto time = self->clock.now();
        if (result.ok()) {
            self->processShares(*result, time);
            return;
        }
        if (absl::IsNotFound(result.status())) {
            self->processMissingShares(time);
            return;
        }
        // After an outage the current leader gets time to renew first.
        self->earliestTakeover = time + self->terms.leaderRenewalInterval * 2;
    });
}

auto ZoneLeader::processShares(const StoredObject& object, TimePoint now) -> void
{
    this->storeAnswerAt = now;
    const auto found = decodeZoneShares(object.value);
    if (!found.ok()) {
        LogEvent(LogLevel::Error, "zone-shares-malformed").with("zone", this->zone);
        return;
    }
    this->observe(*found, object.version, now);
    this->membership.addSeed(found->leaderAddress);
    const auto isCopy = found->era < object.version.era;
    const auto isFree = !isCopy && (found->zoneLeader == this->incarnation || found->zoneLeader == 0);
    const auto isUnrenewed = now - this->unchangedSince > this->terms.outlast(this->terms.leaderLease);
    if (isFree || (isUnrenewed && now >= this->earliestTakeover))
        this->takeOver(now);
}

/// Takes over a zone without an object. If the store was restored, the object of a live leader may be lost.
auto ZoneLeader::processMissingShares(TimePoint now) -> void
{
    const auto era = this->store->era();
    this->storeAnswerAt = now;
    this->observe({}, { era, 0 }, now);
    if (era == 0 || now - this->unchangedSince > this->terms.outlast(this->terms.leaderLease))
        this->takeOver(now);
}

auto ZoneLeader::observe(const ZoneShares& found, const StoreRevision& foundVersion, TimePoint now) -> void
{
    if (foundVersion == this->version && this->unchangedSince != TimePoint {})
        return;
    this->version = foundVersion;
    this->shares = found;
    this->unchangedSince = now;
}

auto ZoneLeader::takeOver(TimePoint now) -> void
{
    auto newLease = this->shares;
    const auto era = this->version.era;
    if (newLease.era < era) {
        newLease.era = era;
        newLease.ranges.clear();
        newLease.isDivisionUnknown = true;
    }
    const auto firstEpoch = static_cast<std::uint32_t>(era) * epochsPerEra;
    newLease.epoch = std::max({ this->shares.epoch, this->membership.maxLeaderEpoch(), firstEpoch }) + 1;
    newLease.zoneLeader = this->incarnation;
    newLease.leaderAddress = this->membership.self().peerAddress();
    ++newLease.renewals;
    this->callPending = true;
    const auto expected = this->version.number == 0 ? absentVersion : this->version;
    this->store->put(zoneSharesKey(this->zone), encode(newLease), expected,
        [self = this->shared_from_this(), newLease, now](const auto& result) {
            self->callPending = false;
            const auto time = self->clock.now();
            if (result.ok())
                self->becomeLeader(newLease, *result, now, time);
            // After a lost reply the next poll finds this host stored as leader and takes over again.
            self->unchangedSince = time;
        });
}

auto ZoneLeader::becomeLeader(ZoneShares newLease, const StoreRevision& newVersion, TimePoint sentAt, TimePoint now)
    -> void
{
    const auto isNewZone = newLease.ranges.empty();
    this->storeAnswerAt = now;
    this->shares = std::move(newLease);
    this->version = newVersion;
    this->isLeader = true;
    this->lastRenewal = this->shares.renewals;
    this->sentUpdates.clear();
    this->leaseValidUntil = sentAt + this->terms.leaderLease;
    this->wasActive = false;
    this->workingMap = SlotMap(this->shares.ranges);
    this->holders.clear();
    this->nextCallAt = now + this->terms.leaderRenewalInterval;
    this->updatedAt = isNewZone ? now + newZoneDelay : now;
    this->announceEpoch(now);
    LogEvent(LogLevel::Info, "steward-started").with("zone", this->zone).with("epoch", this->shares.epoch);
}

auto ZoneLeader::stepDown() -> void
{
    LogEvent(LogLevel::Info, "steward-ended").with("zone", this->zone).with("epoch", this->shares.epoch);
    this->isLeader = false;
    this->announceEpoch(this->clock.now());
    this->unchangedSince = TimePoint {};
    this->holders.clear();
}

auto ZoneLeader::sendUpdate(TimePoint now) -> void
{
    auto newShares = this->shares;
    newShares.renewals = ++this->lastRenewal;
    this->sentUpdates[newShares.renewals] = now;
    // If the lease has expired, this update only renews it; slots move with a later update.
    if (this->hasValidLease(now)) {
        newShares.isDivisionUnknown = this->shares.isDivisionUnknown && !this->haveEarlierLeasesExpired(now);
        newShares.ranges = this->reserveMoves(this->planSlots(now)).ranges();
    }
    if (this->leaving && SlotMap(newShares.ranges).count(this->incarnation) == 0)
        newShares.zoneLeader = 0;
    this->sentWorkingMap = this->workingMap;
    this->nextCallAt = now + this->terms.leaderRenewalInterval;
    this->updatedAt = now;
    this->callPending = true;
    this->store->put(zoneSharesKey(this->zone), encode(newShares), this->version,
        [self = this->shared_from_this(), newShares](const auto& result) { self->finishUpdate(result, newShares); });
}

/// Removes the slots that are about to move from the working map, so that a late renewal cannot reclaim them.
auto ZoneLeader::reserveMoves(const SlotMap& plan) -> const SlotMap&
{
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        if (plan.ownerOf(slot) != this->workingMap.ownerOf(slot))
            this->workingMap.setOwner(slot, 0);
    }
    return plan;
}

auto ZoneLeader::finishUpdate(const absl::StatusOr<StoreRevision>& result, const ZoneShares& newShares) -> void
{
    this->callPending = false;
    if (!this->isLeader)
        return;
    if (result.ok()) {
        this->storeAnswerAt = this->clock.now();
        this->applyStored(newShares, *result);
        if (this->shares.zoneLeader == 0)
            this->stepDown();
        return;
    }
    // After a lost reply the next update resolves the outcome, since it is conditional on the same version. Until then,
    // the slots that this update was to move have no owner.
    if (absl::IsAborted(result.status()))
        this->resolveConflict();
}

/// Reads the object back after a conflict, which is caused by an earlier update of this leader whose reply was lost, by
/// another leader, or by a restore of the store.
auto ZoneLeader::resolveConflict() -> void
{
    this->callPending = true;
    this->store->get(zoneSharesKey(this->zone), [self = this->shared_from_this()](const auto& result) {
        self->callPending = false;
        if (!self->isLeader)
            return;
        const auto isRestored = self->store->era() > self->version.era;
        if (absl::IsNotFound(result.status()) && isRestored)
            return self->replaceCopy({}, absentVersion);
        // The conflict proved that the object is newer than the known version; anything else is a stale read.
        if (!result.ok() || result->version <= self->version)
            return;
        self->storeAnswerAt = self->clock.now();
        const auto storedUpdate = decodeZoneShares(result->value);
        if (storedUpdate.ok() && storedUpdate->era < result->version.era)
            return self->replaceCopy(*storedUpdate, result->version);
        const auto isOwn = storedUpdate.ok() && storedUpdate->zoneLeader == self->incarnation
            && storedUpdate->epoch == self->shares.epoch;
        if (!isOwn) {
            self->stepDown();
            return;
        }
        self->applyStored(*storedUpdate, result->version);
    });
}

/// Lets the next update replace an object from a copy of the store. While this leader's lease is valid no other host
/// can have become leader; without it one can, in what the copy lacks.
auto ZoneLeader::replaceCopy(const ZoneShares& copy, const StoreRevision& copyVersion) -> void
{
    const auto now = this->clock.now();
    if (copy.epoch > this->shares.epoch || !this->hasValidLease(now)) {
        this->stepDown();
        return;
    }
    this->version = copyVersion;
    this->shares.era = this->store->era();
    this->nextCallAt = now;
    LogEvent(LogLevel::Info, "steward-restored").with("zone", this->zone).with("epoch", this->shares.epoch);
}

/// Makes a stored update of this leader the current state; the lease counts from the time at which it was sent.
auto ZoneLeader::applyStored(const ZoneShares& storedUpdate, const StoreRevision& storedVersion) -> void
{
    const auto after = SlotMap(storedUpdate.ranges);
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        // A slot that was released while the update was in progress remains free.
        const auto isReleased = this->workingMap.ownerOf(slot) == 0 && this->sentWorkingMap.ownerOf(slot) != 0;
        if (!isReleased)
            this->workingMap.setOwner(slot, after.ownerOf(slot));
    }
    this->version = storedVersion;
    this->shares = storedUpdate;
    const auto sent = this->sentUpdates.find(storedUpdate.renewals);
    if (sent == this->sentUpdates.end())
        return;
    this->leaseValidUntil = std::max(this->leaseValidUntil, sent->second + this->terms.leaderLease);
    this->sentUpdates.erase(this->sentUpdates.begin(), std::next(sent));
}

auto ZoneLeader::hasValidLease(TimePoint now) const -> bool { return now < this->leaseValidUntil; }

auto ZoneLeader::liveHolders(TimePoint now) const -> std::vector<std::uint64_t>
{
    auto live = std::vector<std::uint64_t> {};
    for (const auto& [holder, state] : this->holders) {
        if (!state.leaving && now - state.renewedAt < this->terms.hostRenewalInterval * 3)
            live.push_back(holder);
    }
    return live;
}

auto ZoneLeader::evenShare(TimePoint now) const -> std::size_t
{
    const auto live = std::max<std::size_t>(this->liveHolders(now).size(), 1);
    return (slotsPerZone + live - 1) / live;
}

/// @return whether this leader has been active for a complete host lease, so that every lease which an earlier leader
/// can have granted has expired.
auto ZoneLeader::haveEarlierLeasesExpired(TimePoint now) const -> bool
{
    return this->wasActive && now >= this->activeSince + this->terms.outlast(this->terms.hostLease);
}

/// @return whether a holder's lease has expired; false while it can have one of an earlier leader.
auto ZoneLeader::hasExpired(std::uint64_t holder, TimePoint now) const -> bool
{
    if (!this->haveEarlierLeasesExpired(now))
        return false;
    const auto found = this->holders.find(holder);
    return found == this->holders.end() || now >= found->second.grantedUntil;
}

/// @return the slots as they can be stored next: slots of expired holders are freed, and free slots are assigned to
/// live hosts with less than an even share.
auto ZoneLeader::planSlots(TimePoint now) const -> SlotMap
{
    auto plan = this->workingMap;
    if (this->shares.isDivisionUnknown)
        return plan;
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone; ++slot) {
        if (plan.ownerOf(slot) != 0 && this->hasExpired(plan.ownerOf(slot), now))
            plan.setOwner(slot, 0);
    }
    const auto share = this->evenShare(now);
    auto slot = std::uint32_t { 0 };
    for (const auto holder : this->liveHolders(now)) {
        for (auto missing = share - std::min(share, plan.count(holder)); missing > 0; --missing) {
            while (slot < slotsPerZone && plan.ownerOf(slot) != 0)
                ++slot;
            if (slot == slotsPerZone)
                return plan;
            plan.setOwner(slot, holder);
        }
    }
    return plan;
}

/// @return the stored slots of a holder, limited to an even share so that the others can move to other hosts.
auto ZoneLeader::grantedSlots(std::uint64_t holder, TimePoint now) const -> std::vector<SlotRange>
{
    if (this->holders.at(holder).leaving)
        return {};
    auto granted = SlotMap {};
    auto remaining = this->evenShare(now);
    for (auto slot = std::uint32_t { 0 }; slot < slotsPerZone && remaining > 0; ++slot) {
        const auto isStored = this->workingMap.ownerOf(slot) == holder;
        if (!isStored)
            continue;
        granted.setOwner(slot, holder);
        --remaining;
    }
    return granted.ranges();
}

} // namespace citronloft
