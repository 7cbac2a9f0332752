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
    if (!this->isWatching && now >= this->nextWatchAt && this->membership.isDelegate())
        this->startWatch(now);
    if (this->isFetching || now < this->nextFetchAt)
        return;
    if (const auto peer = this->membership.hostWithNewerConfig(this->version()))
        this->startFetch(*peer, now);
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
    if (message.zone == this->membership.self().zone && message.vitals.configVersion < this->version())
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
    auto update = ConfigUpdate { 0, this->version(), this->digest, {} };
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
            if (self->putInForce(*std::move(loaded), manifest.version, manifest.digest, {}))
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
    const auto startsHere = update.fromVersion == 0 || update.fromVersion == this->version();
    if (update.toVersion <= this->version() || !startsHere)
        return false;
    auto changed = update.fromVersion == 0 ? ConfigRecords {} : this->records;
    applyChanges(changed, update.changes);
    if (digestOf(changed) != update.digest) {
        LogEvent(LogLevel::Error, "config-digest-mismatch").with("version", update.toVersion);
        return false;
    }
    const auto delta = update.fromVersion > 0 ? update.changes : std::vector<RecordChange> {};
    return this->putInForce(std::move(changed), update.toVersion, update.digest, delta);
}

auto ConfigFollower::putInForce(
    ConfigRecords newRecords, std::uint64_t version, std::string newDigest, std::vector<RecordChange> delta) -> bool
{
    if (version <= this->version())
        return false;
    auto config = fromRecords(newRecords);
    if (!config.ok()) {
        LogEvent(LogLevel::Error, "config-invalid").with("version", version).with("reason", config.status().ToString());
        return false;
    }
    const auto oldVersion = this->version();
    if (delta.empty())
        this->recent.clear();
    else
        this->recent.push_back({ this->version(), version, {}, std::move(delta) });
    if (this->recent.size() > recentLimit)
        this->recent.pop_front();
    this->records = std::move(newRecords);
    this->digest = std::move(newDigest);
    this->current = std::make_shared<const ActiveConfig>(ActiveConfig { version, *std::move(config) });
    this->membership.vitals().configVersion = version;
    this->notifyPeers(oldVersion);
    this->inForce(this->current);
    return true;
}

} // namespace citronloft
