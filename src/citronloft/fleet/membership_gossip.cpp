#include <algorithm>
#include <bit>

#include "citronloft/fleet/membership.hpp"

namespace citronloft {

namespace {

/// Number of seeds contacted per round. A starting host finds its zone among about six seeds within two rounds.
constexpr auto contactsWhileStarting = std::size_t { 4 };
constexpr auto contactsAfterStart = std::size_t { 1 };

/// Reduces headroom to its order of magnitude, which is sufficient for other zones.
auto coarseHeadroom(const std::vector<PoolHeadroom>& headroom) -> std::vector<std::uint16_t>
{
    auto coarse = std::vector<std::uint16_t> {};
    for (const auto& pool : headroom)
        coarse.push_back(static_cast<std::uint16_t>(std::bit_width(pool.freeSlots)));
    return coarse;
}

/// Includes a hash of the publisher in the revision. While a zone has two publishers, as during its start, their
/// summaries differ, and equal revisions would keep both in circulation.
auto nextRevision(std::uint64_t revision, std::uint64_t incarnation) -> std::uint64_t
{
    constexpr auto publisherBits = 16;
    constexpr auto hashFactor = 0x9e3779b97f4a7c15ULL;
    const auto publisher = (incarnation * hashFactor) >> (64 - publisherBits);
    return (((revision >> publisherBits) + 1) << publisherBits) | publisher;
}

auto isSameHost(const HostEntry& left, const HostEntry& right) -> bool
{
    return left.incarnation == right.incarnation && left.revision == right.revision
        && coarseHeadroom(left.headroom) == coarseHeadroom(right.headroom);
}

/// Returns a random subset of at most `limit` digests.
template <typename Items> auto sampleDigests(const Items& items, std::size_t limit, pcg32& random)
{
    auto digests = std::vector<ItemDigest> {};
    for (const auto& [id, item] : items)
        digests.push_back(item);
    if (digests.size() <= limit)
        return digests;
    std::ranges::shuffle(digests, random);
    digests.resize(limit);
    return digests;
}

} // namespace

auto Membership::gossip(TimePoint now) -> void
{
    this->ownVitals.configAgeMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(this->configAge()).count(), 0, UINT32_MAX));
    const auto message = this->heartbeat(this->option.memberDigests, this->option.zoneDigests);
    for (const auto& peer : this->randomPeers(this->option.gossipFanout))
        this->transport.send(peer, message);
    this->contactSeeds(now);
    this->contactSuspectedMember(now);
}

/// Publishes the zone's summary to its own hosts by gossip, and directly to two hosts of other zones.
auto Membership::publish(TimePoint now) -> void
{
    auto hosts = this->makeOwnSummary();
    auto& known = this->zones[zoneId(this->own.zone)];
    known.heardAt = now;
    known.summary.zone = this->own.zone;
    ++known.summary.counter;
    if (!std::ranges::equal(hosts, known.summary.hosts, isSameHost)) {
        known.summary.revision = nextRevision(known.summary.revision, this->own.incarnation);
        known.summary.hosts = std::move(hosts);
    }
    auto remote = std::vector<Address> {};
    for (const auto& host : this->liveRemote)
        remote.push_back(host.peerAddress());
    std::ranges::shuffle(remote, this->random);
    remote.resize(std::min<std::size_t>(remote.size(), 2));
    const auto message = this->heartbeat(0, this->zones.size());
    for (const auto& address : remote)
        this->transport.send(address, message);
}

/// Contacts seeds whose hosts are unknown. The zone of a seed is unknown until it answers, so the message contains
/// digests of both members and zones.
auto Membership::contactSeeds(TimePoint now) -> void
{
    auto unknown = std::vector<Address> {};
    std::ranges::copy_if(this->option.seeds, std::back_inserter(unknown),
        [&](const Address& seed) { return !this->isLiveAddress(seed); });
    std::ranges::shuffle(unknown, this->random);
    unknown.resize(std::min(unknown.size(), this->isStarting(now) ? contactsWhileStarting : contactsAfterStart));
    for (const auto& seed : unknown)
        this->transport.send(seed, this->heartbeat(this->option.memberDigests, this->zones.size()));
}

/// Contacts a random suspected member. Two groups of hosts that each consider the other departed find each other again
/// only if one of them keeps trying.
auto Membership::contactSuspectedMember(TimePoint now) -> void
{
    auto suspected = std::vector<Address> {};
    for (const auto& [incarnation, member] : this->members) {
        if (member.entry.isLive() && now - member.heardAt >= this->suspectLimit())
            suspected.push_back(member.entry.peerAddress());
    }
    if (suspected.empty())
        return;
    const auto chosen = this->random(static_cast<std::uint32_t>(suspected.size()));
    this->transport.send(suspected[chosen], this->heartbeat(this->option.memberDigests, this->option.zoneDigests));
}

auto Membership::heartbeat(std::size_t memberDigests, std::size_t zoneDigests) -> GossipMessage
{
    auto message = this->header();
    auto members = std::map<std::uint64_t, ItemDigest> {};
    for (const auto& peer : this->livePeers)
        members[peer.incarnation] = { peer.incarnation, peer.counter, peer.revision };
    auto zoneItems = std::map<std::uint64_t, ItemDigest> {};
    for (const auto& [id, zone] : this->zones)
        zoneItems[id] = { id, zone.summary.counter, zone.summary.revision };
    message.members = sampleDigests(members, memberDigests, this->random);
    message.zones = sampleDigests(zoneItems, zoneDigests, this->random);
    return message;
}

auto Membership::header() const -> GossipMessage
{
    auto message = GossipMessage {};
    message.zone = this->own.zone;
    message.sender = this->own;
    message.vitals = this->ownVitals;
    message.zoneLeader = this->currentLeader;
    return message;
}

/// Selects the hosts with the lowest hashed incarnations, so that the selection is stable while they live.
auto Membership::makeOwnSummary() const -> std::vector<HostEntry>
{
    auto hosts = this->hostsOf(this->own.zone);
    std::ranges::sort(hosts, {}, [](const HostEntry& host) { return host.incarnation * 0x9e3779b97f4a7c15ULL; });
    hosts.resize(std::min(hosts.size(), this->option.hostsPerSummary));
    return hosts;
}

} // namespace citronloft
