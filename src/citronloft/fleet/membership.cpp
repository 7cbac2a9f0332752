#include "citronloft/fleet/membership.hpp"

#include <algorithm>

namespace citronloft {

namespace {

auto isLive(const HostEntry& entry) -> bool { return entry.state != HostState::Stopped; }

template <typename Item> auto shuffle(std::vector<Item>& items, pcg32& random) -> void
{
    std::ranges::shuffle(items, random);
}

} // namespace

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
    this->forgetSilent(now);
    if (now >= this->nextGossipAt) {
        this->nextGossipAt = now + this->option.gossipInterval;
        ++this->own.counter;
        this->gossip(now);
    }
    if (now >= this->nextDelegateAt) {
        this->nextDelegateAt = now + this->option.delegateInterval;
        if (this->isDelegate(now))
            this->gossipBetweenZones(now);
    }
}

auto Membership::receive(const GossipMessage& message, TimePoint now) -> void
{
    if (message.sender.zone == this->own.zone) {
        this->mergeMember(message.sender, now);
        for (const auto& entry : message.members)
            this->mergeMember(entry, now);
    }
    for (const auto& summary : message.zones)
        this->mergeSummary(summary, now);
}

auto Membership::zonePeers(TimePoint now) const -> std::vector<HostEntry>
{
    auto peers = std::vector<HostEntry> {};
    for (const auto& [incarnation, member] : this->members) {
        if (isLive(member.entry) && now - member.heardAt < this->option.suspectAfter)
            peers.push_back(member.entry);
    }
    return peers;
}

auto Membership::remoteHosts(TimePoint now) const -> std::vector<HostEntry>
{
    auto hosts = std::vector<HostEntry> {};
    for (const auto& [zone, publishers] : this->summaries) {
        const auto* newest = this->newestSummary(zone, now);
        if (newest == nullptr)
            continue;
        std::ranges::copy_if(newest->summary.hosts, std::back_inserter(hosts), isLive);
    }
    return hosts;
}

auto Membership::hostsOf(const std::string& zone, TimePoint now) const -> std::vector<HostEntry>
{
    if (zone == this->own.zone) {
        auto hosts = this->zonePeers(now);
        hosts.push_back(this->own);
        return hosts;
    }
    auto hosts = std::vector<HostEntry> {};
    if (const auto* newest = this->newestSummary(zone, now))
        std::ranges::copy_if(newest->summary.hosts, std::back_inserter(hosts), isLive);
    return hosts;
}

auto Membership::isDelegate(TimePoint now) const -> bool
{
    const auto peers = this->zonePeers(now);
    const auto lower
        = std::ranges::count_if(peers, [&](const HostEntry& peer) { return peer.incarnation < this->own.incarnation; });
    return static_cast<std::size_t>(lower) < this->option.delegates;
}

auto Membership::steward(TimePoint now) const -> std::optional<HostEntry>
{
    auto hosts = this->hostsOf(this->own.zone, now);
    const auto greatest = std::ranges::max_element(hosts, {}, &HostEntry::stewardEpoch);
    if (greatest == hosts.end() || greatest->stewardEpoch == 0)
        return std::nullopt;
    return *greatest;
}

auto Membership::peerReachesStore(TimePoint now) const -> bool
{
    const auto peers = this->zonePeers(now);
    return std::ranges::any_of(peers, &HostEntry::storeReachable);
}

auto Membership::hostWithNewerConfig(std::uint64_t version, TimePoint now) const -> std::optional<HostEntry>
{
    auto candidates = this->zonePeers(now);
    const auto isNewer = [&](const HostEntry& host) { return host.configVersion > version; };
    if (!std::ranges::any_of(candidates, isNewer))
        candidates = this->remoteHosts(now);
    const auto newest = std::ranges::max_element(candidates, {}, &HostEntry::configVersion);
    if (newest == candidates.end() || !isNewer(*newest))
        return std::nullopt;
    return *newest;
}

auto Membership::mergeMember(const HostEntry& entry, TimePoint now) -> void
{
    if (entry.incarnation == this->own.incarnation || entry.zone != this->own.zone)
        return;
    this->highestEpoch = std::max({ this->highestEpoch, entry.stewardEpoch, entry.knownEpoch });
    auto [place, isNew] = this->members.try_emplace(entry.incarnation, Member { entry, now });
    if (isNew || entry.counter <= place->second.entry.counter)
        return;
    place->second = { entry, now };
}

auto Membership::mergeSummary(const ZoneSummary& summary, TimePoint now) -> void
{
    if (summary.zone == this->own.zone)
        return;
    auto [place, isNew] = this->summaries[summary.zone].try_emplace(summary.publisher, Summary { summary, now });
    if (isNew || summary.counter <= place->second.summary.counter)
        return;
    place->second = { summary, now };
}

auto Membership::forgetSilent(TimePoint now) -> void
{
    // Entries stay for a while after removal, so that late gossip of an old counter can't bring them back.
    constexpr auto rememberFactor = 6;
    const auto memberLimit = this->option.removeAfter * rememberFactor;
    std::erase_if(this->members, [&](const auto& item) { return now - item.second.heardAt > memberLimit; });
    const auto summaryLimit = this->option.zoneRemoveAfter * rememberFactor;
    for (auto& [zone, publishers] : this->summaries)
        std::erase_if(publishers, [&](const auto& item) { return now - item.second.heardAt > summaryLimit; });
}

auto Membership::gossip(TimePoint now) -> void
{
    auto peers = this->zonePeers(now);
    shuffle(peers, this->random);
    const auto outgoing = this->message(now, true, false);
    for (auto i = std::size_t { 0 }; i < std::min(this->option.gossipFanout, peers.size()); ++i)
        this->transport.send(peers[i].peerAddress(), outgoing);
    this->greetSeeds(now);
}

auto Membership::gossipBetweenZones(TimePoint now) -> void
{
    auto hosts = this->remoteHosts(now);
    shuffle(hosts, this->random);
    const auto outgoing = this->message(now, false, true);
    for (auto i = std::size_t { 0 }; i < std::min(this->option.gossipFanout, hosts.size()); ++i)
        this->transport.send(hosts[i].peerAddress(), outgoing);
}

auto Membership::greetSeeds(TimePoint now) -> void
{
    auto unknown = std::vector<Address> {};
    std::ranges::copy_if(
        this->option.seeds, std::back_inserter(unknown), [&](const Address& seed) { return !this->isKnown(seed); });
    if (unknown.empty())
        return;
    shuffle(unknown, this->random);
    unknown.resize(std::min(unknown.size(), this->option.gossipFanout));
    // The zone of an unknown host is unknown too, so it gets everything.
    const auto greeting = this->message(now, true, true);
    for (const auto& seed : unknown)
        this->transport.send(seed, greeting);
}

auto Membership::message(TimePoint now, bool withMembers, bool withOwnZone) -> GossipMessage
{
    auto outgoing = GossipMessage {};
    outgoing.sender = this->own;
    outgoing.configAgeMs = static_cast<std::uint32_t>(std::min<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(this->configAge()).count(), UINT32_MAX));
    if (withMembers) {
        outgoing.members = this->zonePeers(now);
        shuffle(outgoing.members, this->random);
        outgoing.members.resize(std::min(outgoing.members.size(), this->option.membersPerMessage));
    }
    if (withOwnZone)
        outgoing.zones.push_back(this->ownSummary(now));
    auto others = std::vector<const Summary*> {};
    for (const auto& [zone, publishers] : this->summaries) {
        if (const auto* newest = this->newestSummary(zone, now))
            others.push_back(newest);
    }
    const auto count = std::min(others.size(), this->option.summariesPerMessage);
    for (auto i = std::size_t { 0 }; i < count; ++i)
        outgoing.zones.push_back(others[(this->summaryCursor + i) % others.size()]->summary);
    this->summaryCursor += count;
    return outgoing;
}

auto Membership::ownSummary(TimePoint now) -> ZoneSummary
{
    auto summary = ZoneSummary { this->own.zone, this->own.incarnation, this->own.counter, {} };
    summary.hosts = this->hostsOf(this->own.zone, now);
    shuffle(summary.hosts, this->random);
    summary.hosts.resize(std::min(summary.hosts.size(), this->option.hostsPerSummary));
    return summary;
}

auto Membership::newestSummary(const std::string& zone, TimePoint now) const -> const Summary*
{
    const auto publishers = this->summaries.find(zone);
    if (publishers == this->summaries.end())
        return nullptr;
    const auto newest
        = std::ranges::max_element(publishers->second, {}, [](const auto& item) { return item.second.heardAt; });
    if (newest == publishers->second.end() || now - newest->second.heardAt > this->option.zoneRemoveAfter)
        return nullptr;
    return &newest->second;
}

auto Membership::isKnown(const Address& address) const -> bool
{
    if (address == this->own.peerAddress())
        return true;
    const auto isSame = [&](const HostEntry& host) { return host.peerAddress() == address; };
    const auto isMember
        = std::ranges::any_of(this->members, [&](const auto& item) { return isSame(item.second.entry); });
    return isMember || std::ranges::any_of(this->summaries, [&](const auto& zone) {
        return std::ranges::any_of(zone.second,
            [&](const auto& publisher) { return std::ranges::any_of(publisher.second.summary.hosts, isSame); });
    });
}

} // namespace citronloft
