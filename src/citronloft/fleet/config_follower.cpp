#include "citronloft/fleet/config_follower.hpp"

#include <algorithm>
#include <array>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/log.hpp"
#include "citronloft/fleet/config_loader.hpp"

namespace citronloft {

namespace {

/// Short, since the store may never answer a watch that it took, and only two hosts of a zone watch.
constexpr auto watchWait = std::chrono::milliseconds { 1000 };
constexpr auto watchRetryDelay = std::chrono::milliseconds { 300 };
constexpr auto fetchRetryDelay = std::chrono::milliseconds { 100 };
constexpr auto maxNotifiedPeers = std::size_t { 3 };
/// Maximum size of an update within a notice; peers fetch larger updates.
constexpr auto maxNoticeUpdateBytes = std::size_t { 1024 };
/// Number of recent updates kept for peers that are a few versions behind.
constexpr auto maxRecentUpdates = std::size_t { 256 };

} // namespace

auto configSourceName(ConfigSource source) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>({ "store", "peer" });
    return names.at(static_cast<std::size_t>(source));
}

ConfigFollower::ConfigFollower(const Clock& clock, Membership& membership, PeerTransport& transport,
    std::shared_ptr<ObjectStore> store, std::shared_ptr<ConfigFetcher> fetcher, AppliedCallback onApplied)
    : clock(clock)
    , membership(membership)
    , transport(transport)
    , store(std::move(store))
    , fetcher(std::move(fetcher))
    , onApplied(std::move(onApplied))
    , confirmedAt(clock.now())
{
}

auto ConfigFollower::tick(TimePoint now) -> void
{
    if (!this->usesPlatformConfig && !this->isWatching && now >= this->nextWatchAt && this->membership.isDelegate())
        this->startWatch(now);
    const auto peer = this->membership.hostWithNewerConfig(this->version());
    if (!peer) {
        this->behindSince = TimePoint {};
        return;
    }
    if (this->behindSince == TimePoint {})
        this->behindSince = now;
    if (!this->isFetching && now >= this->nextFetchAt && now >= this->behindSince + this->peerFetchDelay)
        this->startPeerFetch(*peer, now);
}

auto ConfigFollower::usePlatformConfig(Duration fetchDelay) -> void
{
    this->usesPlatformConfig = true;
    this->peerFetchDelay = fetchDelay;
}

auto ConfigFollower::applyPlatformConfig(std::uint64_t version, Config config) -> void
{
    this->confirmedAt = this->clock.now();
    if (version <= this->version())
        return;
    auto platformRecords = toRecords(config);
    auto update = ConfigUpdate { this->version(), version, {}, diffRecords(this->records, platformRecords) };
    this->applyRecordChanges(update.changes);
    update.digest = this->digest.hex();
    this->recentUpdates.push_back(std::move(update));
    if (this->recentUpdates.size() > maxRecentUpdates)
        this->recentUpdates.pop_front();
    this->activate(version, std::move(config), ConfigSource::Store);
}

auto ConfigFollower::receive(const ConfigNotice& notice, const Address& from, TimePoint now) -> void
{
    if (notice.version <= this->version())
        return;
    const auto isApplied = notice.update && this->apply(*notice.update, ConfigSource::Peer);
    if (!isApplied && !this->isFetching)
        this->startPeerFetch(from, now);
}

/// Every host that applies a version notifies a few peers, so that the version spreads by gossip; hosts that receive no
/// notice learn of it from heartbeats.
auto ConfigFollower::notifyPeers(std::uint64_t oldVersion) -> void
{
    auto notice = ConfigNotice { this->version(), std::nullopt };
    auto update = this->serve({ oldVersion });
    if (oldVersion > 0 && update.ok() && encode(*update).size() <= maxNoticeUpdateBytes)
        notice.update = *std::move(update);
    for (const auto& peer : this->membership.peersToNotify(maxNotifiedPeers))
        this->transport.send(peer, notice);
}

auto ConfigFollower::updateFromPeer(const GossipMessage& message, TimePoint now) -> void
{
    // Notifies a sender with an older version immediately; other hosts would do so only about a second later.
    if (!this->usesPlatformConfig && message.zone == this->membership.self().zone
        && message.vitals.configVersion < this->version())
        this->transport.send(message.sender.peerAddress(), ConfigNotice { this->version(), std::nullopt });
    if (message.vitals.configVersion != this->version() || !this->current)
        return;
    const auto peerConfirmedAt = now - std::chrono::milliseconds { message.vitals.configAgeMs };
    this->confirmedAt = std::max<TimePoint>(this->confirmedAt, peerConfirmedAt);
}

auto ConfigFollower::serve(const ConfigRequest& request) const -> absl::StatusOr<ConfigUpdate>
{
    if (request.knownVersion >= this->version())
        return absl::NotFoundError("this host has no newer configuration version than the requested one");
    auto update = ConfigUpdate { 0, this->version(), this->digest.hex(), {} };
    const auto first = std::ranges::find(this->recentUpdates, request.knownVersion, &ConfigUpdate::fromVersion);
    if (request.knownVersion > 0 && first != this->recentUpdates.end()) {
        update.fromVersion = request.knownVersion;
        for (auto step = first; step != this->recentUpdates.end(); ++step)
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
                self->processManifest(*result);
            } else if (absl::IsNotFound(result.status()) && self->watchedVersion != absentVersion) {
                // The watch timed out: no newer version was accepted in the meantime.
                self->confirmedAt = self->clock.now();
                self->nextWatchAt = self->clock.now();
            }
        });
}

auto ConfigFollower::processManifest(const StoredObject& object) -> void
{
    const auto manifest = decode<ConfigManifest>(object.value);
    if (!manifest.ok()) {
        LogEvent(LogLevel::Error, "manifest-malformed").with("reason", manifest.status().ToString());
        return;
    }
    // A stale read can return an older object; the watch continues from the newest version seen.
    if (object.version < this->watchedVersion)
        return;
    if (manifest->version <= this->version()) {
        this->watchedVersion = object.version;
        if (manifest->version == this->version())
            this->confirmedAt = this->clock.now();
        return;
    }
    const auto update = ConfigUpdate { manifest->deltaFrom, manifest->version, manifest->digest, manifest->delta };
    if (manifest->deltaFrom == this->version() && this->version() > 0 && this->apply(update, ConfigSource::Store)) {
        this->watchedVersion = object.version;
        this->confirmedAt = this->clock.now();
        return;
    }
    // No watch starts while the chunks are read; if reading fails, the next one starts from the old version again.
    this->isWatching = true;
    loadRecords(this->store, *manifest,
        [self = this->shared_from_this(), manifest = *manifest, objectVersion = object.version](auto loaded) {
            self->isWatching = false;
            if (!loaded.ok()) {
                self->nextWatchAt = self->clock.now() + watchRetryDelay;
                return;
            }
            self->watchedVersion = std::max(self->watchedVersion, objectVersion);
            if (self->applyRecords(*std::move(loaded), manifest.version, manifest.digest, ConfigSource::Store))
                self->confirmedAt = self->clock.now();
        });
}

auto ConfigFollower::startPeerFetch(const Address& peer, TimePoint now) -> void
{
    this->isFetching = true;
    this->nextFetchAt = now + fetchRetryDelay;
    this->fetcher->fetch(peer, { this->version() }, [self = this->shared_from_this()](const auto& update) {
        self->isFetching = false;
        if (update.ok())
            self->apply(*update, ConfigSource::Peer);
    });
}

/// @return whether the update was applied.
auto ConfigFollower::apply(const ConfigUpdate& update, ConfigSource source) -> bool
{
    if (update.toVersion <= this->version())
        return false;
    if (update.fromVersion == 0) {
        auto records = ConfigRecords {};
        applyChanges(records, update.changes);
        return this->applyRecords(std::move(records), update.toVersion, update.digest, source);
    }
    return update.fromVersion == this->version() && this->applyDelta(update, source);
}

auto ConfigFollower::applyRecords(
    ConfigRecords newRecords, std::uint64_t version, const std::string& expected, ConfigSource source) -> bool
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
    this->recentUpdates.clear();
    this->activate(version, *std::move(config), source);
    return true;
}

/// Costs time in proportion to the changes, not to the configuration. Reverts the changes if they do not lead to the
/// expected digest.
auto ConfigFollower::applyDelta(const ConfigUpdate& update, ConfigSource source) -> bool
{
    auto config = this->current->config;
    const auto undo = this->applyRecordChanges(update.changes);
    const auto status = applyToConfig(config, update.changes);
    if (!status.ok() || this->digest.hex() != update.digest) {
        LogEvent(LogLevel::Error, "config-refused").with("version", update.toVersion).with("status", status.ToString());
        this->applyRecordChanges(undo);
        return false;
    }
    this->recentUpdates.push_back(update);
    if (this->recentUpdates.size() > maxRecentUpdates)
        this->recentUpdates.pop_front();
    this->activate(update.toVersion, std::move(config), source);
    return true;
}

/// @return the changes that revert these.
auto ConfigFollower::applyRecordChanges(const std::vector<RecordChange>& changes) -> std::vector<RecordChange>
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

auto ConfigFollower::activate(std::uint64_t version, Config config, ConfigSource source) -> void
{
    const auto oldVersion = this->version();
    this->current = std::make_shared<const ActiveConfig>(ActiveConfig { version, std::move(config), source });
    this->membership.vitals().configVersion = version;
    if (!this->usesPlatformConfig)
        this->notifyPeers(oldVersion);
    this->onApplied(this->current);
}

} // namespace citronloft
