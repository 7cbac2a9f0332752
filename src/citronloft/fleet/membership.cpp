#include "citronloft/fleet/membership.hpp"

#include <algorithm>
#include <bit>
#include <set>

#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

/// Maximum age of the lists of live hosts.
constexpr auto viewInterval = std::chrono::milliseconds { 100 };
constexpr auto suspectPerDoubling = std::chrono::milliseconds { 500 };
constexpr auto zoneRemovePerDoubling = std::chrono::seconds { 2 };
/// Maximum number of entries and of summaries in one answer; the rest follows with later heartbeats.
constexpr auto maxAnswerItems = std::size_t { 40 };
constexpr auto maxSeeds = std::size_t { 64 };

auto doublings(std::size_t count) -> int { return static_cast<int>(std::bit_width(count)); }

auto milliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

auto zoneId(const std::string& zone) -> std::uint64_t { return bucketId(zone); }

Membership::Membership(MembershipOption option, HostEntry self, PeerTransport& transport, std::uint64_t seed)
    : option(std::move(option))
    , own(std::move(self))
    , transport(transport)
    , random(seed)
    , configAge([] { return Duration::zero(); })
{
}

auto Membership::tick(TimePoint now) -> void
{
    this->refreshViews(now);
    if (this->startedAt == TimePoint {})
        this->startedAt = now;
    if (now >= this->nextGossipAt) {
        this->nextGossipAt = now + (this->isStarting(now) ? this->option.startInterval : this->option.gossipInterval);
        ++this->own.counter;
        this->removeSilent(now);
        this->gossip(now);
    }
    if (now >= this->nextPublishAt) {
        this->nextPublishAt = now + (this->isStarting(now) ? this->option.startInterval : this->option.publishInterval);
        if (this->isPublisher())
            this->publish(now);
    }
}

auto Membership::receive(const GossipMessage& message, TimePoint now) -> void
{
    this->processSender(message, now);
    const auto isOwnZone = message.zone == this->own.zone;
    if (isOwnZone) {
        for (const auto& entry : message.entries)
            this->mergeMember(entry, message.sender.ip, now);
    }
    for (const auto& summary : message.summaries)
        this->mergeSummary(summary, message.sender.ip, now);
    auto answer = this->header();
    if (isOwnZone)
        this->compareMembers(message, answer, now);
    this->compareZones(message, answer, now);
    this->addWanted(message, answer);
    const auto hasContent = !answer.entries.empty() || !answer.summaries.empty() || !answer.wantedMembers.empty()
        || !answer.wantedZones.empty();
    if (hasContent)
        this->transport.send(message.sender.peerAddress(), answer);
    this->refreshViews(now);
}

auto Membership::setState(HostState state) -> void
{
    if (this->own.state == state)
        return;
    this->own.state = state;
    ++this->own.revision;
    this->gossipOnNextTick();
}

auto Membership::setReachesTargets(bool reaches) -> void
{
    if (this->own.reachesTargets == reaches)
        return;
    this->own.reachesTargets = reaches;
    ++this->own.revision;
    this->gossipOnNextTick();
}

auto Membership::updateHeadroom(std::uint64_t incarnation, std::vector<PoolHeadroom> headroom) -> void
{
    const auto member = this->members.find(incarnation);
    if (member != this->members.end())
        member->second.entry.headroom = std::move(headroom);
}

auto Membership::addSeed(const Address& seed) -> void
{
    if (std::ranges::find(this->option.seeds, seed) != this->option.seeds.end())
        return;
    this->option.seeds.push_back(seed);
    if (this->option.seeds.size() > maxSeeds)
        this->option.seeds.erase(this->option.seeds.begin());
}

auto Membership::hostsOf(const std::string& zone) const -> std::vector<HostEntry>
{
    auto hosts = std::vector<HostEntry> {};
    if (zone == this->own.zone) {
        hosts = this->livePeers;
        hosts.push_back(this->own);
        return hosts;
    }
    std::ranges::copy_if(
        this->liveRemote, std::back_inserter(hosts), [&](const HostEntry& host) { return host.zone == zone; });
    return hosts;
}

auto Membership::randomPeers(std::size_t count) -> std::vector<Address>
{
    auto peers = std::vector<Address> {};
    for (const auto& peer : this->livePeers)
        peers.push_back(peer.peerAddress());
    std::ranges::shuffle(peers, this->random);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

auto Membership::peersToNotify(std::size_t count) -> std::vector<Address>
{
    auto peers = this->randomPeers(count);
    if (this->livePeers.empty())
        return peers;
    // Live peers are sorted by incarnation; the successor of the last one is the first.
    const auto next = std::ranges::upper_bound(this->livePeers, this->own.incarnation, {}, &HostEntry::incarnation);
    const auto successor = (next == this->livePeers.end() ? this->livePeers.front() : *next).peerAddress();
    if (std::ranges::find(peers, successor) == peers.end())
        peers.push_back(successor);
    return peers;
}

auto Membership::isDelegate() const -> bool { return this->isPublisher() || this->hasLowestIncarnation(); }

auto Membership::zoneLeader() const -> std::optional<ZoneLeaderInfo>
{
    if (this->currentLeader.epoch == 0)
        return std::nullopt;
    const auto isSelf = this->currentLeader.incarnation == this->own.incarnation;
    const auto found = std::ranges::find(this->livePeers, this->currentLeader.incarnation, &HostEntry::incarnation);
    if (!isSelf && found == this->livePeers.end())
        return std::nullopt;
    return this->currentLeader;
}

auto Membership::hostWithNewerConfig(std::uint64_t version) const -> std::optional<Address>
{
    if (this->newestConfig.version <= version)
        return std::nullopt;
    return this->newestConfig.address;
}

auto Membership::processSender(const GossipMessage& message, TimePoint now) -> void
{
    const auto& vitals = message.vitals;
    if (vitals.configVersion >= this->newestConfig.version)
        this->newestConfig = { vitals.configVersion, message.sender.peerAddress() };
    if (message.zone != this->own.zone)
        return;
    this->mergeMember(message.sender, message.sender.ip, now);
    if (const auto member = this->members.find(message.sender.incarnation); member != this->members.end())
        member->second.contactAt = now;
    this->maxReportedEpoch
        = std::max({ this->maxReportedEpoch, vitals.leaderEpoch, vitals.knownEpoch, message.zoneLeader.epoch });
    if (message.zoneLeader.epoch > this->currentLeader.epoch)
        this->currentLeader = message.zoneLeader;
    if (vitals.leaderEpoch > this->currentLeader.epoch)
        this->currentLeader = { vitals.leaderEpoch, message.sender.incarnation, message.sender.peerAddress() };
}

auto Membership::mergeMember(HostEntry entry, const std::string& from, TimePoint now) -> void
{
    if (entry.incarnation == this->own.incarnation)
        return;
    entry.zone = this->own.zone;
    auto [place, isNew] = this->members.try_emplace(entry.incarnation, Member { entry, now, from });
    this->isViewStale |= isNew;
    auto& known = place->second;
    if (isNew || (entry.counter <= known.entry.counter && entry.revision <= known.entry.revision))
        return;
    if (entry.counter > known.entry.counter) {
        known.heardAt = now;
        known.heardFrom = from;
    }
    if (entry.revision >= known.entry.revision) {
        entry.counter = std::max(entry.counter, known.entry.counter);
        known.entry = std::move(entry);
    }
    this->isViewStale = true;
}

auto Membership::mergeSummary(const ZoneSummary& summary, const std::string& from, TimePoint now) -> void
{
    auto [place, isNew] = this->zones.try_emplace(zoneId(summary.zone), Zone { summary, now, from });
    this->isViewStale |= isNew;
    auto& known = place->second;
    if (isNew || (summary.counter <= known.summary.counter && summary.revision <= known.summary.revision))
        return;
    if (summary.counter > known.summary.counter) {
        known.heardAt = now;
        known.heardFrom = from;
    }
    if (summary.revision >= known.summary.revision) {
        const auto counter = std::max(summary.counter, known.summary.counter);
        known.summary = summary;
        known.summary.counter = counter;
    }
    this->isViewStale = true;
}

/// Updates counters, requests entries that this host lacks and adds those that the sender lacks.
auto Membership::compareMembers(const GossipMessage& message, GossipMessage& answer, TimePoint now) -> void
{
    for (const auto& digest : message.members) {
        if (digest.id == this->own.incarnation)
            continue;
        const auto found = this->members.find(digest.id);
        if (found == this->members.end() || digest.revision > found->second.entry.revision) {
            answer.wantedMembers.push_back(digest.id);
            continue;
        }
        auto& known = found->second;
        if (digest.revision < known.entry.revision)
            answer.entries.push_back(known.entry);
        if (digest.counter <= known.entry.counter)
            continue;
        known.entry.counter = digest.counter;
        known.heardAt = now;
        known.heardFrom = message.sender.ip;
        this->isViewStale = true;
    }
}

auto Membership::compareZones(const GossipMessage& message, GossipMessage& answer, TimePoint now) -> void
{
    for (const auto& digest : message.zones) {
        const auto found = this->zones.find(digest.id);
        if (found == this->zones.end() || digest.revision > found->second.summary.revision) {
            answer.wantedZones.push_back(digest.id);
            continue;
        }
        auto& known = found->second;
        if (digest.revision < known.summary.revision && answer.summaries.size() < maxAnswerItems)
            answer.summaries.push_back(known.summary);
        if (digest.counter <= known.summary.counter)
            continue;
        known.summary.counter = digest.counter;
        known.heardAt = now;
        known.heardFrom = message.sender.ip;
        this->isViewStale = true;
    }
}

auto Membership::addWanted(const GossipMessage& message, GossipMessage& answer) const -> void
{
    for (const auto id : message.wantedMembers) {
        const auto found = this->members.find(id);
        if (found != this->members.end() && answer.entries.size() < maxAnswerItems)
            answer.entries.push_back(found->second.entry);
    }
    for (const auto id : message.wantedZones) {
        const auto found = this->zones.find(id);
        if (found != this->zones.end() && answer.summaries.size() < maxAnswerItems)
            answer.summaries.push_back(found->second.summary);
    }
}

auto Membership::removeSilent(TimePoint now) -> void
{
    const auto memberLimit = this->suspectLimit() * this->option.retentionFactor;
    std::erase_if(this->members, [&](const auto& item) { return now - item.second.heardAt > memberLimit; });
    const auto zoneLimit = this->zoneLimit() * this->option.retentionFactor;
    std::erase_if(this->zones, [&](const auto& item) { return now - item.second.heardAt > zoneLimit; });
}

/// Rebuilds the lists of live hosts after news, and often enough to detect silent hosts.
auto Membership::refreshViews(TimePoint now) -> void
{
    if (now - this->viewsUpdatedAt < (this->isViewStale ? viewInterval / 5 : viewInterval))
        return;
    this->isViewStale = false;
    this->viewsUpdatedAt = now;
    this->refreshPeers(now);
    this->refreshRemote(now);
}

auto Membership::refreshPeers(TimePoint now) -> void
{
    const auto suspectAfter = this->suspectLimit();
    this->livePeers.clear();
    for (auto& [incarnation, member] : this->members) {
        const auto wasListed = member.isListed;
        member.isListed = member.entry.isLive() && now - member.heardAt < suspectAfter;
        if (member.isListed)
            this->livePeers.push_back(member.entry);
        if (member.isListed == wasListed)
            continue;
        LogEvent(LogLevel::Info, member.isListed ? "host-listed" : "host-unlisted")
            .with("host", member.entry.ip)
            .with("incarnation", incarnation)
            .with("state", hostStateName(member.entry.state))
            .with("counter", member.entry.counter)
            .with("heard_ms", milliseconds(now - member.heardAt))
            .with("heard_from", member.heardFrom)
            .with("contact_ms", member.contactAt == TimePoint {} ? -1 : milliseconds(now - member.contactAt))
            .with("limit_ms", milliseconds(suspectAfter));
    }
}

auto Membership::refreshRemote(TimePoint now) -> void
{
    const auto removeAfter = this->zoneLimit();
    auto previous = std::exchange(this->liveRemote, {});
    for (const auto& [id, zone] : this->zones) {
        if (zone.summary.zone == this->own.zone || now - zone.heardAt >= removeAfter)
            continue;
        for (auto host : zone.summary.hosts) {
            host.zone = zone.summary.zone;
            this->liveRemote.push_back(std::move(host));
        }
    }
    if (!std::ranges::equal(previous, this->liveRemote, {}, &HostEntry::incarnation, &HostEntry::incarnation))
        this->logUnlistedRemote(previous, now);
}

auto Membership::logUnlistedRemote(const std::vector<HostEntry>& previous, TimePoint now) const -> void
{
    auto incarnations = std::set<std::uint64_t> {};
    for (const auto& host : this->liveRemote)
        incarnations.insert(host.incarnation);
    for (const auto& host : previous) {
        if (incarnations.contains(host.incarnation))
            continue;
        const auto zone = this->zones.find(zoneId(host.zone));
        const auto isKnown = zone != this->zones.end();
        LogEvent(LogLevel::Info, "remote-host-unlisted")
            .with("host", host.ip)
            .with("zone", host.zone)
            .with("heard_ms", isKnown ? milliseconds(now - zone->second.heardAt) : -1)
            .with("heard_from", isKnown ? zone->second.heardFrom : std::string {})
            .with("revision", isKnown ? zone->second.summary.revision : 0)
            .with("limit_ms", milliseconds(this->zoneLimit()));
    }
}

auto Membership::isPublisher() const -> bool
{
    if (const auto knownLeader = this->zoneLeader())
        return knownLeader->incarnation == this->own.incarnation;
    return this->hasLowestIncarnation();
}

auto Membership::hasLowestIncarnation() const -> bool
{
    return std::ranges::none_of(
        this->livePeers, [&](const HostEntry& peer) { return peer.incarnation < this->own.incarnation; });
}

auto Membership::isLiveAddress(const Address& address) const -> bool
{
    const auto isSame = [&](const HostEntry& host) { return host.peerAddress() == address; };
    return address == this->own.peerAddress() || std::ranges::any_of(this->livePeers, isSame)
        || std::ranges::any_of(this->liveRemote, isSame);
}

auto Membership::suspectLimit() const -> Duration
{
    return this->option.suspectAfter + suspectPerDoubling * doublings(this->members.size());
}

auto Membership::zoneLimit() const -> Duration
{
    return this->option.zoneRemoveAfter + zoneRemovePerDoubling * doublings(this->zones.size())
        + suspectPerDoubling * doublings(this->members.size());
}

} // namespace citronloft
