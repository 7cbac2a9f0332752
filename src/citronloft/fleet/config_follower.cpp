#include "citronloft/fleet/config_follower.hpp"

#include <algorithm>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/log.hpp"
#include "citronloft/fleet/config_loader.hpp"

namespace citronloft {

namespace {

constexpr auto watchWait = std::chrono::seconds { 10 };
constexpr auto watchRetryDelay = std::chrono::milliseconds { 300 };
constexpr auto fetchRetryDelay = std::chrono::milliseconds { 100 };
constexpr auto noticeFanout = std::size_t { 3 };
/// A notice carries no more; the peer fetches larger changes.
constexpr auto greatestNoticeBytes = std::size_t { 1024 };
/// Deltas kept for peers that are a few versions behind.
constexpr auto recentLimit = std::size_t { 256 };

} // namespace

ConfigFollower::ConfigFollower(const Clock& clock, Membership& membership, PeerTransport& transport,
    std::shared_ptr<ObjectStore> store, std::shared_ptr<ConfigFetcher> fetcher, InForce inForce)
    : clock(clock)
    , membership(membership)
    , transport(transport)
    , store(std::move(store))
    , fetcher(std::move(fetcher))
    , inForce(std::move(inForce))
    , freshAt(clock.now())
{
}

auto ConfigFollower::tick(TimePoint now) -> void
{
    if (!this->isOffered && !this->isWatching && now >= this->nextWatchAt && this->membership.isDelegate())
        this->startWatch(now);
    const auto peer = this->membership.hostWithNewerConfig(this->version());
    if (!peer) {
        this->behindSince = TimePoint {};
        return;
    }
    if (this->behindSince == TimePoint {})
        this->behindSince = now;
    if (!this->isFetching && now >= this->nextFetchAt && now >= this->behindSince + this->fetchPatience)
        this->startFetch(*peer, now);
}

auto ConfigFollower::followOffers(Duration patience) -> void
{
    this->isOffered = true;
    this->fetchPatience = patience;
}

auto ConfigFollower::offer(std::uint64_t version, Config config) -> void
{
    this->freshAt = this->clock.now();
    if (version <= this->version())
        return;
    auto offered = toRecords(config);
    auto update = ConfigUpdate { this->version(), version, {}, diffRecords(this->records, offered) };
    this->changeRecords(update.changes);
    update.digest = this->digest.hex();
    this->recent.push_back(std::move(update));
    if (this->recent.size() > recentLimit)
        this->recent.pop_front();
    this->finish(version, std::move(config));
}

auto ConfigFollower::receive(const ConfigNotice& notice, const Address& from, TimePoint now) -> void
{
    if (notice.version <= this->version())
        return;
    const auto isApplied = notice.update && this->apply(*notice.update);
    if (!isApplied && !this->isFetching)
        this->startFetch(from, now);
}

/// Each host that puts a version in force tells a few others, so that it spreads like an epidemic; heartbeats reach
/// those that no notice reached.
auto ConfigFollower::notifyPeers(std::uint64_t oldVersion) -> void
{
    auto notice = ConfigNotice { this->version(), std::nullopt };
    auto update = this->serve({ oldVersion });
    if (oldVersion > 0 && update.ok() && encode(*update).size() <= greatestNoticeBytes)
        notice.update = *std::move(update);
    for (const auto& peer : this->membership.peersToNotify(noticeFanout))
        this->transport.send(peer, notice);
}

auto ConfigFollower::notePeer(const GossipMessage& message, TimePoint now) -> void
{
    // A sender that is behind is told at once; it would hear of it from somebody else a second later.
    if (!this->isOffered && message.zone == this->membership.self().zone
        && message.vitals.configVersion < this->version())
        this->transport.send(message.sender.peerAddress(), ConfigNotice { this->version(), std::nullopt });
    if (message.vitals.configVersion != this->version() || !this->current)
        return;
    const auto peerFreshAt = now - std::chrono::milliseconds { message.vitals.configAgeMs };
    this->freshAt = std::max<TimePoint>(this->freshAt, peerFreshAt);
}

auto ConfigFollower::serve(const ConfigRequest& request) const -> absl::StatusOr<ConfigUpdate>
{
    if (request.haveVersion >= this->version())
        return absl::NotFoundError("no newer version");
    auto update = ConfigUpdate { 0, this->version(), this->digest.hex(), {} };
    const auto first = std::ranges::find(this->recent, request.haveVersion, &ConfigUpdate::fromVersion);
    if (request.haveVersion > 0 && first != this->recent.end()) {
        update.fromVersion = request.haveVersion;
        for (auto step = first; step != this->recent.end(); ++step)
            update.changes.insert(update.changes.end(), step->changes.begin(), step->changes.end());
        return update;
    }
    update.changes = diffRecords({}, this->records);
    return update;
}

auto ConfigFollower::startWatch(TimePoint now) -> void
{
    this->isWatching = true;
    this->nextWatchAt = now + watchRetryDelay;
    this->store->watch(
        manifestKey, this->watchedVersion, watchWait, [self = this->shared_from_this()](const auto& result) {
            self->isWatching = false;
            if (result.ok()) {
                self->nextWatchAt = self->clock.now();
                self->withManifest(*result);
            } else if (absl::IsNotFound(result.status()) && self->watchedVersion != absentVersion) {
                // The store says that nothing newer was accepted while it was asked.
                self->freshAt = self->clock.now();
                self->nextWatchAt = self->clock.now();
            }
        });
}

auto ConfigFollower::withManifest(const StoredObject& object) -> void
{
    const auto manifest = decode<ConfigManifest>(object.value);
    if (!manifest.ok()) {
        LogEvent(LogLevel::Error, "manifest-malformed").with("reason", manifest.status().ToString());
        return;
    }
    // A stale read may show an older object; the watch goes on from the newest that was seen.
    if (object.version < this->watchedVersion)
        return;
    if (manifest->version <= this->version()) {
        this->watchedVersion = object.version;
        if (manifest->version == this->version())
            this->freshAt = this->clock.now();
        return;
    }
    const auto update = ConfigUpdate { manifest->deltaFrom, manifest->version, manifest->digest, manifest->delta };
    if (manifest->deltaFrom == this->version() && this->version() > 0 && this->apply(update)) {
        this->watchedVersion = object.version;
        this->freshAt = this->clock.now();
        return;
    }
    // The watch is repeated from the old version until the chunks have been read.
    this->isWatching = true;
    loadRecords(this->store, *manifest,
        [self = this->shared_from_this(), manifest = *manifest, seen = object.version](auto loaded) {
            self->isWatching = false;
            if (!loaded.ok()) {
                self->nextWatchAt = self->clock.now() + watchRetryDelay;
                return;
            }
            self->watchedVersion = std::max(self->watchedVersion, seen);
            if (self->putAllInForce(*std::move(loaded), manifest.version, manifest.digest))
                self->freshAt = self->clock.now();
        });
}

auto ConfigFollower::startFetch(const Address& peer, TimePoint now) -> void
{
    this->isFetching = true;
    this->nextFetchAt = now + fetchRetryDelay;
    this->fetcher->fetch(peer, { this->version() }, [self = this->shared_from_this()](const auto& update) {
        self->isFetching = false;
        if (update.ok())
            self->apply(*update);
    });
}

/// @return whether the update's version is in force now.
auto ConfigFollower::apply(const ConfigUpdate& update) -> bool
{
    if (update.toVersion <= this->version())
        return false;
    if (update.fromVersion == 0) {
        auto records = ConfigRecords {};
        applyChanges(records, update.changes);
        return this->putAllInForce(std::move(records), update.toVersion, update.digest);
    }
    return update.fromVersion == this->version() && this->putDeltaInForce(update);
}

auto ConfigFollower::putAllInForce(ConfigRecords newRecords, std::uint64_t version, const std::string& expected) -> bool
{
    if (version <= this->version())
        return false;
    auto newDigest = RecordsDigest {};
    for (const auto& [name, value] : newRecords)
        newDigest.add(name, value);
    auto config = fromRecords(newRecords);
    if (newDigest.hex() != expected || !config.ok()) {
        LogEvent(LogLevel::Error, "config-refused").with("version", version).with("status", config.status().ToString());
        return false;
    }
    this->records = std::move(newRecords);
    this->digest = newDigest;
    this->recent.clear();
    this->finish(version, *std::move(config));
    return true;
}

/// Costs as much as the changes, not as the whole; a change that does not lead to the expected digest is taken back.
auto ConfigFollower::putDeltaInForce(const ConfigUpdate& update) -> bool
{
    auto config = this->current->config;
    const auto undo = this->changeRecords(update.changes);
    const auto status = applyToConfig(config, update.changes);
    if (!status.ok() || this->digest.hex() != update.digest) {
        LogEvent(LogLevel::Error, "config-refused").with("version", update.toVersion).with("status", status.ToString());
        this->changeRecords(undo);
        return false;
    }
    this->recent.push_back(update);
    if (this->recent.size() > recentLimit)
        this->recent.pop_front();
    this->finish(update.toVersion, std::move(config));
    return true;
}

/// @return the changes that take these back.
auto ConfigFollower::changeRecords(const std::vector<RecordChange>& changes) -> std::vector<RecordChange>
{
    auto undo = std::vector<RecordChange> {};
    for (const auto& change : changes) {
        const auto old = this->records.find(change.name);
        if (old != this->records.end()) {
            this->digest.remove(old->first, old->second);
            undo.insert(undo.begin(), { change.name, old->second });
            this->records.erase(old);
        } else {
            undo.insert(undo.begin(), { change.name, std::nullopt });
        }
        if (!change.value)
            continue;
        this->digest.add(change.name, *change.value);
        this->records[change.name] = *change.value;
    }
    return undo;
}

auto ConfigFollower::finish(std::uint64_t version, Config config) -> void
{
    const auto oldVersion = this->version();
    this->current = std::make_shared<const ActiveConfig>(ActiveConfig { version, std::move(config) });
    this->membership.vitals().configVersion = version;
    if (!this->isOffered)
        this->notifyPeers(oldVersion);
    this->inForce(this->current);
}

} // namespace citronloft
