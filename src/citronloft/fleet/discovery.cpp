#include "citronloft/fleet/discovery.hpp"

#include <algorithm>

#include "citronloft/base/log.hpp"
#include "citronloft/fleet/quarantine_registry.hpp"

namespace citronloft {

namespace {

/// Pause in a burst of target events for each host that reads the store. It limits the fleet to about 40 calls per
/// second of the 2,000 that the store answers; most of the rest is needed for starts and for the targets themselves.
constexpr auto burstPausePerHost = std::chrono::milliseconds { 24 };
constexpr auto minBurstPause = std::chrono::milliseconds { 600 };
/// Half of the shortest time in which a leaving target must be out of use (2.5 s).
constexpr auto maxBurstPause = std::chrono::milliseconds { 1200 };
/// Wait of the watches of a zone's reader. With the time after which they count as lost, and that in which the other
/// hosts catch up, it stays below the shortest bound on changes (2.5 s).
constexpr auto readerWatchWait = std::chrono::milliseconds { 1500 };
/// Time without a revision from the zone's reader after which a host finds out by itself whether the store answers; two
/// lost notices.
constexpr auto readerSilenceTime = std::chrono::milliseconds { 2200 };
/// Wait of the watches of such a host for each host of the fleet. It limits the fleet to about 200 calls per second of
/// the 2,000 that the store answers.
constexpr auto watchWaitPerHost = std::chrono::milliseconds { 20 };
/// Pause before the first call after the store became unavailable.
constexpr auto minStoreBackoff = std::chrono::milliseconds { 400 };
/// Maximum age of a copy from which the store is restored.
constexpr auto maxCopyAge = std::chrono::seconds { 60 };
/// Time for which a target that was gone before a restore is ignored. By then the platform has removed its object
/// again, which it does after three silent heartbeat intervals (1.5 s), or has heard of it.
constexpr auto departedIgnoreTime = std::chrono::seconds { 6 };

auto namesOf(const ObjectMirror::Objects& objects) -> std::set<std::string>
{
    auto names = std::set<std::string> {};
    for (const auto& [name, object] : objects)
        names.insert(name);
    return names;
}

/// @return whether what a copy of the store says of a target is no later than what is known. A run of a target whose
/// statements have no sequence leaves that open.
auto isOutdated(const TargetEntry& copied, const TargetEntry& known) -> bool
{
    if (copied.live.startedAtMs != known.live.startedAtMs)
        return copied.live.startedAtMs < known.live.startedAtMs;
    return copied.sequence > 0 && copied.sequence <= known.sequence;
}

} // namespace

Discovery::Discovery(const Clock& clock, Metrics& metrics, std::shared_ptr<ObjectFeed> feed,
    std::shared_ptr<const PlatformDecoder> decoder, std::uint64_t seed, DiscoveryListener listener)
    : clock(clock)
    , metrics(metrics)
    , decoder(std::move(decoder))
    , listener(std::move(listener))
{
    const auto storeBackoff
        = std::make_shared<StoreBackoff>(StoreBackoffOption { .minBackoff = minStoreBackoff }, seed);
    const auto mirror = [&](std::string kind, ObjectMirror::ChangedCallback changed) {
        auto option = ObjectMirrorOption {};
        option.kind = std::move(kind);
        return std::make_shared<ObjectMirror>(std::move(option), clock, feed, storeBackoff, std::move(changed));
    };
    this->configs = mirror(this->decoder->configKind(), [this](const auto& objects) { this->updateConfig(objects); });
    this->targets = mirror(this->decoder->targetKind(), [this](const auto& objects) { this->updateTargets(objects); });
    this->evacuations
        = mirror(this->decoder->evacuationKind(), [this](const auto& objects) { this->updateEvacuatedZones(objects); });
    this->quarantines
        = mirror(quarantineKind, [this](const auto& objects) { this->listener.onQuarantines(namesOf(objects)); });
}

auto Discovery::tick(TimePoint now) -> void
{
    this->configs->tick(now);
    this->targets->tick(now);
    this->evacuations->tick(now);
    this->quarantines->tick(now);
    if (now >= this->nextTargetUpdateAt)
        this->updateTargets(this->targets->objects());
}

auto Discovery::setReaderCount(std::size_t hosts) -> void
{
    this->readerCount = hosts;
    const auto pause = burstPausePerHost * static_cast<std::int64_t>(hosts);
    this->targets->setMaxPause(std::clamp<Duration>(pause, minBurstPause, maxBurstPause));
}

auto Discovery::setIsReader(bool isReader) -> void
{
    const auto wait = this->watchWait(isReader);
    for (auto* mirror : this->mirrors())
        mirror->setWatchWait(wait);
}

/// A host that has never heard of a reader waits for long: in a fleet whose readers send nothing that it understands,
/// no host can tell how many others call the store as often.
auto Discovery::watchWait(bool isReader) const -> Duration
{
    const auto maxWait = ObjectMirrorOption {}.watchWait;
    if (isReader)
        return readerWatchWait;
    if (!this->readerHeardAt || this->clock.now() - *this->readerHeardAt < readerSilenceTime)
        return maxWait;
    const auto wait = watchWaitPerHost * static_cast<std::int64_t>(this->readerCount);
    return std::clamp<Duration>(wait, readerWatchWait, maxWait);
}

auto Discovery::expectRevisions(const std::vector<FeedState>& states, TimePoint now) -> void
{
    // A reader that has lost the store announces nothing.
    if (!states.empty())
        this->readerHeardAt = now;
    for (auto* mirror : this->mirrors()) {
        const auto state = std::ranges::find(states, bucketId(mirror->kind()), &FeedState::kind);
        if (state != states.end())
            mirror->expectRevision(state->changeRevision, now);
    }
}

auto Discovery::mirrors() const -> std::array<ObjectMirror*, 4>
{
    return { this->configs.get(), this->targets.get(), this->evacuations.get(), this->quarantines.get() };
}

auto Discovery::feedStates() const -> std::vector<FeedState>
{
    auto states = std::vector<FeedState> {};
    for (const auto* mirror : this->mirrors()) {
        if (const auto revision = mirror->currentRevision())
            states.push_back({ bucketId(mirror->kind()), *revision, mirror->changeRevision() });
    }
    return states;
}

auto Discovery::serve(const FeedRequest& request) const -> absl::StatusOr<ObjectBatch>
{
    for (const auto* mirror : this->mirrors()) {
        if (mirror->kind() == request.kind)
            return mirror->changesAfter(request.since);
    }
    return absl::InvalidArgumentError("feed request: expected the kind of a mirrored object, got " + request.kind);
}

auto Discovery::isReady() const -> bool
{
    return this->configs->isReady() && this->targets->isReady() && this->evacuations->isReady()
        && this->quarantines->isReady();
}

auto Discovery::updateConfig(const ObjectMirror::Objects& objects) -> void
{
    for (const auto& [name, object] : objects) {
        if (object.revision <= this->configRevision)
            continue;
        auto config = this->decoder->decodeConfig(object);
        if (absl::IsNotFound(config.status()))
            continue;
        this->configRevision = object.revision;
        if (config.ok()) {
            this->listener.onConfig(*std::move(config));
            continue;
        }
        this->metrics.count("citronloft_malformed_objects_total", "kind=\"config\"");
        LogEvent(LogLevel::Error, "config-refused")
            .with("revision", formatRevision(object.revision))
            .with("reason", std::string { config.status().message() });
    }
}

auto Discovery::updateTargets(const ObjectMirror::Objects& objects) -> void
{
    const auto now = this->clock.now();
    this->recordDepartures(objects);
    this->nextTargetUpdateAt = TimePoint::max();
    auto found = DiscoveredTargets {};
    auto current = std::map<std::string, CachedEntry> {};
    for (const auto& [name, object] : objects) {
        const auto old = this->entries.find(name);
        const auto isKnown = old != this->entries.end();
        const auto isUnchanged = isKnown && old->second.revision == object.revision;
        auto known = isUnchanged
            ? std::move(old->second)
            : this->update(object, isKnown ? std::optional { std::move(old->second) } : std::nullopt);
        if (now < known.ignoredUntil)
            this->nextTargetUpdateAt = std::min(this->nextTargetUpdateAt, known.ignoredUntil);
        else if (known.entry)
            found[known.entry->pool].push_back(known.entry->live);
        current.emplace(name, std::move(known));
    }
    this->entries = std::move(current);
    this->listener.onTargets(std::move(found));
}

/// Remembers the targets whose objects are no longer present for as long as a copy of the store can contain them.
auto Discovery::recordDepartures(const ObjectMirror::Objects& objects) -> void
{
    const auto now = this->clock.now();
    std::erase_if(this->departed, [&](const auto& item) { return now >= item.second.forgetAt; });
    for (auto& [name, known] : this->entries) {
        if (!known.entry || objects.contains(name))
            continue;
        LogEvent(LogLevel::Info, "target-gone")
            .with("target", known.entry->live.key())
            .with("draining", known.entry->live.target.draining ? 1 : 0)
            .with("known_revision", formatRevision(known.revision));
        this->departed.insert_or_assign(name, DepartedTarget { std::move(known), now + maxCopyAge });
    }
}

/// @return the entry for a new or changed object; what is known instead if the object is from a copy of the store and
/// not later than that.
auto Discovery::update(const MirroredObject& object, const std::optional<CachedEntry>& known) -> CachedEntry
{
    auto updated = CachedEntry { object.revision, this->decode(object) };
    if (!updated.entry)
        return updated;
    const auto isOutdatedBy = [&](const CachedEntry& other) {
        return other.entry && object.revision.era > other.revision.era && isOutdated(*updated.entry, *other.entry);
    };
    if (known && isOutdatedBy(*known)) {
        updated.entry = known->entry;
        updated.ignoredUntil = known->ignoredUntil;
        return updated;
    }
    const auto gone = this->departed.find(object.name);
    if (gone == this->departed.end() || !isOutdatedBy(gone->second.last))
        return updated;
    LogEvent(LogLevel::Info, "target-outdated")
        .with("target", updated.entry->live.key())
        .with("revision", formatRevision(object.revision))
        .with("known_revision", formatRevision(gone->second.last.revision));
    updated.ignoredUntil = this->clock.now() + departedIgnoreTime;
    return updated;
}

auto Discovery::decode(const MirroredObject& object) -> std::optional<TargetEntry>
{
    auto entry = this->decoder->decodeTarget(object);
    if (!entry.ok()) {
        this->metrics.count("citronloft_malformed_objects_total", "kind=\"target\"");
        this->logIgnored(object, entry.status());
        return std::nullopt;
    }
    if (entry->coldFor.count() > 0)
        entry->live.coldUntil = this->clock.now() + entry->coldFor;
    LogEvent(LogLevel::Info, "target-seen")
        .with("target", entry->live.key())
        .with("address", entry->live.target.address)
        .with("pool", entry->pool)
        .with("draining", entry->live.target.draining ? 1 : 0)
        .with("cold_ms", entry->coldFor.count())
        .with("sequence", entry->sequence)
        .with("revision", formatRevision(object.revision));
    return *std::move(entry);
}

auto Discovery::logIgnored(const MirroredObject& object, const absl::Status& reason) -> void
{
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-ignored", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "target-ignored")
        .with("name", object.name)
        .with("revision", formatRevision(object.revision))
        .with("reason", std::string { reason.message() })
        .with("suppressed", suppressedLines);
}

auto Discovery::updateEvacuatedZones(const ObjectMirror::Objects& objects) -> void
{
    this->listener.onEvacuatedZones(namesOf(objects));
}

} // namespace citronloft
