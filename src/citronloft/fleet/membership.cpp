#include "citronloft/fleet/membership.hpp"

#include <algorithm>

namespace citronloft {

namespace {

/// Greatest age of the lists of live hosts.
constexpr auto viewInterval = std::chrono::milliseconds { 100 };

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
    this->refreshViews(now);
    if (now >= this->nextGossipAt) {
        this->nextGossipAt = now + this->option.gossipInterval;
        ++this->own.counter;
        this->forgetSilent(now);
        this->gossip(now);
    }
    if (now >= this->nextDelegateAt) {
        this->nextDelegateAt = now + this->option.delegateInterval;
        if (this->isDelegate())
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
    this->refreshViews(now);
}

/// Rebuilds the lists of live hosts when something was heard, and often enough to notice silence.
auto Membership::refreshViews(TimePoint now) -> void
{
    if (!this->isViewStale && now - this->viewedAt < viewInterval)
        return;
    this->isViewStale = false;
    this->viewedAt = now;
    this->livePeers.clear();
    for (const auto& [incarnation, member] : this->members) {
        if (isLive(member.entry) && now - member.heardAt < this->option.suspectAfter)
            this->livePeers.push_back(member.entry);
    }
    this->liveRemote.clear();
    for (const auto& [zone, publishers] : this->summaries) {
        if (const auto* newest = this->newestSummary(zone, now))
            std::ranges::copy_if(newest->summary.hosts, std::back_inserter(this->liveRemote), isLive);
    }
}

auto Membership::hostsOf(const std::string& zone, TimePoint now) const -> std::vector<HostEntry>
{
    if (zone == this->own.zone) {
        auto hosts = this->livePeers;
        hosts.push_back(this->own);
        return hosts;
    }
    auto hosts = std::vector<HostEntry> {};
    if (const auto* newest = this->newestSummary(zone, now))
        std::ranges::copy_if(newest->summary.hosts, std::back_inserter(hosts), isLive);
    return hosts;
}

auto Membership::isDelegate() const -> bool
{
    const auto lower = std::ranges::count_if(
        this->livePeers, [&](const HostEntry& peer) { return peer.incarnation < this->own.incarnation; });
    return static_cast<std::size_t>(lower) < this->option.delegates;
}

auto Membership::steward() const -> std::optional<HostEntry>
{
    const auto* greatest = &this->own;
    for (const auto& peer : this->livePeers) {
        if (peer.stewardEpoch > greatest->stewardEpoch)
            greatest = &peer;
    }
    return greatest->stewardEpoch == 0 ? std::nullopt : std::optional { *greatest };
}

auto Membership::hostWithNewerConfig(std::uint64_t version) const -> std::optional<HostEntry>
{
    for (const auto* candidates : { &this->livePeers, &this->liveRemote }) {
        const auto newest = std::ranges::max_element(*candidates, {}, &HostEntry::configVersion);
        if (newest != candidates->end() && newest->configVersion > version)
            return *newest;
    }
    return std::nullopt;
}

auto Membership::mergeMember(const HostEntry& entry, TimePoint now) -> void
{
    if (entry.incarnation == this->own.incarnation || entry.zone != this->own.zone)
        return;
    this->highestEpoch = std::max({ this->highestEpoch, entry.stewardEpoch, entry.knownEpoch });
    auto [place, isNew] = this->members.try_emplace(entry.incarnation, Member { entry, now });
    this->isViewStale |= isNew;
    if (isNew || entry.counter <= place->second.entry.counter)
        return;
    place->second = { entry, now };
    this->isViewStale = true;
}

auto Membership::mergeSummary(const ZoneSummary& summary, TimePoint now) -> void
{
    if (summary.zone == this->own.zone)
        return;
    auto [place, isNew] = this->summaries[summary.zone].try_emplace(summary.publisher, Summary { summary, now });
    this->isViewStale |= isNew;
    if (isNew || summary.counter <= place->second.summary.counter)
        return;
    place->second = { summary, now };
    this->isViewStale = true;
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
    auto peers = this->livePeers;
    shuffle(peers, this->random);
    const auto outgoing = this->message(now, true, false);
    for (auto i = std::size_t { 0 }; i < std::min(this->option.gossipFanout, peers.size()); ++i)
        this->transport.send(peers[i].peerAddress(), outgoing);
    this->greetSeeds(now);
    this->greetSilentMember(now);
}

auto Membership::gossipBetweenZones(TimePoint now) -> void
{
    auto hosts = this->liveRemote;
    shuffle(hosts, this->random);
    const auto outgoing = this->message(now, false, true);
    for (auto i = std::size_t { 0 }; i < std::min(this->option.gossipFanout, hosts.size()); ++i)
        this->transport.send(hosts[i].peerAddress(), outgoing);
}

auto Membership::greetSeeds(TimePoint now) -> void
{
    auto unknown = std::vector<Address> {};
    std::ranges::copy_if(this->option.seeds, std::back_inserter(unknown),
        [&](const Address& seed) { return !this->isLiveAddress(seed); });
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
        outgoing.members = this->livePeers;
        shuffle(outgoing.members, this->random);
        outgoing.members.resize(std::min(outgoing.members.size(), this->option.membersPerMessage));
    }
    if (withOwnZone)
        outgoing.zones.push_back(this->ownSummary());
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

auto Membership::ownSummary() -> ZoneSummary
{
    auto summary = ZoneSummary { this->own.zone, this->own.incarnation, this->own.counter, {} };
    summary.hosts = this->livePeers;
    summary.hosts.push_back(this->own);
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

/// Two sides that each took the other for gone find each other again only if one of them still tries.
auto Membership::greetSilentMember(TimePoint now) -> void
{
    auto silent = std::vector<Address> {};
    for (const auto& [incarnation, member] : this->members) {
        if (isLive(member.entry) && now - member.heardAt >= this->option.suspectAfter)
            silent.push_back(member.entry.peerAddress());
    }
    if (silent.empty())
        return;
    const auto chosen = this->random(static_cast<std::uint32_t>(silent.size()));
    this->transport.send(silent[chosen], this->message(now, true, false));
}

auto Membership::addSeed(const Address& seed) -> void
{
    constexpr auto greatestSeeds = std::size_t { 64 };
    if (std::ranges::find(this->option.seeds, seed) != this->option.seeds.end())
        return;
    this->option.seeds.push_back(seed);
    if (this->option.seeds.size() > greatestSeeds)
        this->option.seeds.erase(this->option.seeds.begin());
}

auto Membership::isLiveAddress(const Address& address) const -> bool
{
    const auto isSame = [&](const HostEntry& host) { return host.peerAddress() == address; };
    return address == this->own.peerAddress() || std::ranges::any_of(this->livePeers, isSame)
        || std::ranges::any_of(this->liveRemote, isSame);
}

} // namespace citronloft
