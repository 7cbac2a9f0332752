#include "citronloft/fleet/fleet_host.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <xxhash.h>

#include "citronloft/fleet/slot_map.hpp"
#include "citronloft/policy/target_senders.hpp"

namespace citronloft {

namespace {

/// Time after the store's last answer for which it is considered reachable.
constexpr auto storeReachableFor = std::chrono::seconds { 5 };
/// Maximum time for a leaving host to hand over its slots and role; without a zone leader or a store no host can take
/// them.
constexpr auto maxHandOverTime = std::chrono::seconds { 8 };
constexpr auto linkBurstSeconds = 1.0;
/// Interval of demand notices. A change of demand can be unknown to other hosts for this time; what is admitted twice
/// meanwhile must fit into the tolerance.
constexpr auto demandInterval = std::chrono::milliseconds { 300 };
/// Fractions of the tolerance used for rates, bursts and initial tokens; the rest covers requests that wait between
/// admission and execution, and lost notices.
constexpr auto rateToleranceFraction = 0.6;
constexpr auto burstToleranceFraction = 0.1;
constexpr auto startToleranceFraction = 0.15;
/// Time in which a starting host learns of its zone by gossip if the registry has not been read before.
constexpr auto registryWait = std::chrono::seconds { 3 };
/// Interval at which requests in quarantine are read from a store without a feed.
constexpr auto quarantinePollInterval = std::chrono::seconds { 10 };
/// Time for which unreachable hosts are counted where the fleet divides a limit evenly; regions can lose contact for
/// minutes.
constexpr auto hostCountMemory = std::chrono::minutes { 10 };

/// Interval at which an unchanged sum is repeated; two lost messages do not let it exceed its maximum age.
constexpr auto loadRepeatInterval = std::chrono::milliseconds { 300 };
constexpr auto loadMaxAge = std::chrono::seconds { 1 };
/// Two hosts sum the zone's loads, so that the failure of one has no effect.
const auto loadRelayRoles = std::to_array({ bucketId("load-relay/0"), bucketId("load-relay/1") });
const auto storeReaderRole = bucketId("store-reader");

auto seconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

} // namespace

/// Directory of lenders from the membership: zone peers first, then hosts of other zones.
class FleetHost::LenderDirectory final : public PeerDirectory {
public:
    explicit LenderDirectory(const Membership& members)
        : members(members)
    {
    }

    auto setRegions(std::map<std::string, std::string> regions) -> void { this->regionOfZone = std::move(regions); }

    [[nodiscard]] auto lenders() const -> std::vector<Lender> override
    {
        auto list = std::vector<Lender> {};
        for (const auto& peer : this->members.zonePeers())
            list.push_back({ peer.incarnation, peer.peerAddress(), LenderDistance::Zone });
        for (const auto& host : this->members.remoteHosts())
            list.push_back({ host.incarnation, host.peerAddress(), LenderDistance::OtherRegion });
        return list;
    }

    [[nodiscard]] auto zoneHolder(std::uint64_t bucket) const -> std::optional<Lender> override
    {
        const auto& self = this->members.self();
        auto best
            = self.state == HostState::Leaving ? HolderChoice {} : HolderChoice { nullptr, holderScore(self, bucket) };
        for (const auto& peer : this->members.zonePeers())
            best.offer(peer, bucket);
        if (best.host == nullptr)
            return std::nullopt;
        return Lender { best.host->incarnation, best.host->peerAddress(), LenderDistance::Zone };
    }

    [[nodiscard]] auto remoteHolders(std::uint64_t bucket) const -> std::vector<Lender> override
    {
        auto choices = std::map<std::string, HolderChoice> {};
        for (const auto& host : this->members.remoteHosts())
            choices[host.zone].offer(host, bucket);
        const auto ownRegion = this->regionOf(this->members.self().zone);
        auto holders = std::vector<Lender> {};
        for (const auto& [zone, choice] : choices) {
            const auto distance
                = this->regionOf(zone) == ownRegion ? LenderDistance::Region : LenderDistance::OtherRegion;
            if (choice.host != nullptr)
                holders.push_back({ choice.host->incarnation, choice.host->peerAddress(), distance });
        }
        std::ranges::stable_sort(holders, {}, &Lender::distance);
        return holders;
    }

private:
    /// Host with the highest rendezvous hashing score so far; null means this host.
    struct HolderChoice {
        const HostEntry* host = nullptr;
        std::uint64_t score = 0;

        auto offer(const HostEntry& candidate, std::uint64_t bucket) -> void
        {
            const auto candidateScore = holderScore(candidate, bucket);
            if (candidate.state == HostState::Leaving || candidateScore <= this->score)
                return;
            this->host = &candidate;
            this->score = candidateScore;
        }
    };

    static auto holderScore(const HostEntry& host, std::uint64_t bucket) -> std::uint64_t
    {
        return XXH3_64bits_withSeed(host.ip.data(), host.ip.size(), bucket);
    }

    [[nodiscard]] auto regionOf(const std::string& zone) const -> std::string
    {
        const auto found = this->regionOfZone.find(zone);
        return found == this->regionOfZone.end() ? std::string {} : found->second;
    }

    const Membership& members;
    std::map<std::string, std::string> regionOfZone;
};

FleetHost::FleetHost(FleetHostOption option, HostEntry self, FleetHostDependencies dependencies, std::uint64_t seed,
    ConfigFollower::AppliedCallback onConfigApplied)
    : option(option)
    , dependencies(dependencies)
    , demandShares({}, self.ip)
    , recentMaxHosts(hostCountMemory)
    , members(option.membership, self, dependencies.transport, seed)
    , limitExchange(members, dependencies.transport)
    , quarantineService(members, dependencies.transport, dependencies.clock, dependencies.store,
          option.usesPlatformConfig ? std::nullopt : std::optional<Duration> { quarantinePollInterval }, seed)
    , lenders(std::make_unique<LenderDirectory>(members))
    , holder(std::make_shared<SlotLeaseHolder>(
          option.lease, self.incarnation, dependencies.clock, members, dependencies.transport, dependencies.store))
    , limiter(option.rates, option.lease, self.incarnation, *lenders, dependencies.transport)
    , leaderCandidate(std::make_shared<ZoneLeader>(option.lease, self.incarnation, self.zone, dependencies.clock,
          members, dependencies.transport, dependencies.store))
    , claimRegistry(std::make_shared<ClaimRegistry>(dependencies.store, dependencies.clock))
    , onConfigApplied(std::move(onConfigApplied))
    , zoneLoads(loadMaxAge)
{
    this->follower = std::make_shared<ConfigFollower>(dependencies.clock, this->members, dependencies.transport,
        dependencies.store, dependencies.fetcher, [this](const auto& active) { this->applyConfig(active); });
    if (option.usesPlatformConfig)
        this->follower->usePlatformConfig(option.fetchDelay);
    this->members.setConfigAge([this] { return this->follower->age(this->dependencies.clock.now()); });
}

FleetHost::~FleetHost() = default;

auto FleetHost::tick() -> void
{
    const auto now = this->dependencies.clock.now();
    auto& vitals = this->members.vitals();
    const auto answeredAt = this->leaderCandidate->storeAnsweredAt();
    vitals.storeReachable = answeredAt != TimePoint {} && now - answeredAt < storeReachableFor;
    vitals.knownEpoch = this->holder->knownEpoch();
    this->members.tick(now);
    if (this->option.shares == ShareStrategy::Leased) {
        this->leaderCandidate->tick(now);
        this->holder->tick(now);
    }
    this->follower->tick(now);
    this->claimRegistry->tick(now);
    this->updateSlots(now);
    this->limiter.tick(now);
    if (this->option.shares == ShareStrategy::Demand)
        this->announceDemands(now);
    this->relayLoads(now);
    this->limitExchange.tick(this->noticeSequence, now);
    this->quarantineService.tick(this->noticeSequence, now);
}

auto FleetHost::updateSlots(TimePoint now) -> void
{
    if (this->option.shares == ShareStrategy::Leased)
        this->limiter.setSlots(this->holder->usableSlots(now), now);
}

auto FleetHost::announceDemands(TimePoint now) -> void
{
    if (now < this->nextDemandsAt)
        return;
    this->nextDemandsAt = now + demandInterval;
    this->demandShares.removeExpired(now);
    for (const auto& host : this->members.zonePeers())
        this->demandShares.recordHost(host.ip, now);
    auto notice = DemandNotice {};
    this->limiter.assignHolders();
    this->limiter.setFleetSize({ this->zones, this->demandShares.hosts() });
    notice.demands = this->demandShares.announce(this->limiter.demands(this->demandShares), now);
    notice.unheard = this->demandShares.hostsWithoutRecentReport(now);
    this->sendToZone(std::move(notice));
    if (this->members.isDelegate())
        this->sendZoneDemand(now);
    this->updateRateFractions(now);
    this->recentMaxHosts.record(this->demandShares.hosts(), now);
}

auto FleetHost::sendToZone(DemandNotice notice) -> void
{
    notice.sender = this->members.self().incarnation;
    notice.sequence = ++this->noticeSequence;
    for (const auto& host : this->members.zonePeers())
        this->dependencies.transport.send(host.peerAddress(), notice);
}

auto FleetHost::end() -> void
{
    if (this->option.shares == ShareStrategy::Demand) {
        auto notice = DemandNotice {};
        notice.isLast = true;
        this->sendToZone(std::move(notice));
    }
    this->members.setState(HostState::Stopped);
    this->members.tick(this->dependencies.clock.now());
}

/// A host that knows no other host would use every rate in full. It therefore waits for the registry or, while the
/// store is unreachable, for gossip from its peers.
auto FleetHost::hasRateFractions(TimePoint now) const -> bool
{
    return this->isRegistryRead || (this->fractionsAvailableAt != TimePoint {} && now >= this->fractionsAvailableAt);
}

auto FleetHost::updateRateFractions(TimePoint now) -> void
{
    if (this->fractionsAvailableAt == TimePoint {})
        this->fractionsAvailableAt = now + registryWait;
    if (!this->hasRateFractions(now))
        return;
    this->limiter.setRateFractions(
        [this](std::uint64_t bucket, double rate) { return this->demandShares.fractionOf(bucket, rate); }, now);
}

/// Sends the zone's demand to one host of each other zone, which forwards it within its zone, where traffic is cheap.
auto FleetHost::sendZoneDemand(TimePoint now) -> void
{
    const auto& self = this->members.self();
    const auto notice = ZoneDemandNotice { self.incarnation, ++this->noticeSequence, self.zone,
        static_cast<std::uint32_t>(this->demandShares.zoneHostCount()), false, this->demandShares.zoneDemands(),
        this->demandShares.zonesWithoutRecentReport(now) };
    auto hostsByZone = std::map<std::string, std::vector<const HostEntry*>> {};
    for (const auto& host : this->members.remoteHosts())
        hostsByZone[host.zone].push_back(&host);
    for (const auto& [zone, hosts] : hostsByZone)
        this->dependencies.transport.send(hosts[this->noticeSequence % hosts.size()]->peerAddress(), notice);
}

auto FleetHost::processZoneDemandNotice(const ZoneDemandNotice& notice, TimePoint now) -> void
{
    const auto& own = this->members.self().zone;
    if (!this->recordSequence(notice.sender, notice.sequence) || notice.zone == own)
        return;
    const auto hearsUs = std::ranges::find(notice.unheard, own) == notice.unheard.end();
    this->demandShares.recordZoneReport(notice.zone, notice.hosts, { notice.demands, hearsUs }, now);
    auto relayed = notice;
    relayed.isRelayed = true;
    this->zoneNotices.insert_or_assign(notice.zone, relayed);
    if (notice.isRelayed)
        return;
    for (const auto& peer : this->members.zonePeers())
        this->dependencies.transport.send(peer.peerAddress(), relayed);
}

auto FleetHost::processDemandNotice(const Address& from, const DemandNotice& notice, TimePoint now) -> void
{
    if (!this->recordSequence(notice.sender, notice.sequence))
        return;
    if (notice.isLast) {
        this->demandShares.removeHost(from.ip);
        return;
    }
    const auto hearsUs = std::ranges::find(notice.unheard, this->members.self().ip) == notice.unheard.end();
    if (!this->demandShares.recordHostReport(from.ip, { notice.demands, hearsUs }, now))
        return;
    // A host that starts while another zone is unreachable learns that zone's last demand from its peers.
    for (const auto& [zone, remembered] : this->zoneNotices)
        this->dependencies.transport.send(from, remembered);
}

auto FleetHost::receive(const Address& from, const PeerMessage& message) -> void
{
    const auto now = this->dependencies.clock.now();
    if (const auto* gossip = std::get_if<GossipMessage>(&message)) {
        this->members.receive(*gossip, now);
        this->follower->updateFromPeer(*gossip, now);
    } else if (const auto* request = std::get_if<RenewRequest>(&message)) {
        this->leaderCandidate->receive(*request, from, now);
    } else if (const auto* grant = std::get_if<RenewGrant>(&message)) {
        this->holder->receive(*grant, from, now);
        this->updateSlots(now);
    } else if (const auto* loanRequest = std::get_if<LoanRequest>(&message)) {
        // A host that was paused can receive this before its next tick; it must lend only from slots that it still
        // holds.
        this->updateSlots(now);
        this->limiter.receive(*loanRequest, from, now);
    } else if (const auto* loan = std::get_if<LoanGrant>(&message)) {
        this->limiter.receive(*loan, now);
    } else if (const auto* notice = std::get_if<ConfigNotice>(&message)) {
        this->follower->receive(*notice, from, now);
    } else if (const auto* loads = std::get_if<LoadNotice>(&message)) {
        if (this->recordSequence(loads->sender, loads->sequence))
            this->recordLoads(*loads, now);
    } else if (const auto* zoneLoads = std::get_if<ZoneLoadNotice>(&message)) {
        if (this->recordSequence(zoneLoads->sender, zoneLoads->sequence) && this->zoneLoadsHandler)
            this->zoneLoadsHandler(zoneLoads->loads);
    } else if (const auto* feed = std::get_if<FeedNotice>(&message)) {
        if (this->recordSequence(feed->sender, feed->sequence) && this->feedNoticeHandler)
            this->feedNoticeHandler(from, *feed);
    } else if (const auto* limits = std::get_if<LimitNotice>(&message)) {
        if (this->recordSequence(limits->sender, limits->sequence))
            this->limitExchange.receive(*limits, now);
    } else if (const auto* losses = std::get_if<LossNotice>(&message)) {
        if (this->recordSequence(losses->sender, losses->sequence))
            this->quarantineService.receive(*losses, now);
    } else if (const auto* demand = std::get_if<DemandNotice>(&message)) {
        this->processDemandNotice(from, *demand, now);
    } else if (const auto* zoneDemand = std::get_if<ZoneDemandNotice>(&message)) {
        this->processZoneDemandNotice(*zoneDemand, now);
    }
}

auto FleetHost::recordSequence(std::uint64_t sender, std::uint64_t sequence) -> bool
{
    auto& newest = this->newestNotices[sender];
    return std::exchange(newest, std::max(newest, sequence)) < sequence;
}

auto FleetHost::updateRegisteredHosts(const std::vector<RegisteredHost>& hosts) -> void
{
    const auto now = this->dependencies.clock.now();
    const auto& self = this->members.self();
    this->isRegistryRead = true;
    auto hostsOfZone = std::map<std::string, std::size_t> {};
    // The newest seeds are kept, so this zone's hosts are added last.
    for (const auto isOwnZone : { false, true }) {
        for (const auto& host : hosts) {
            if (host.ip == self.ip || (host.zone == self.zone) != isOwnZone)
                continue;
            if (isOwnZone)
                this->demandShares.recordHost(host.ip, now);
            else
                ++hostsOfZone[host.zone];
            this->members.addSeed({ host.ip, self.peerPort });
        }
    }
    for (const auto& [zone, count] : hostsOfZone)
        this->demandShares.recordZoneHostCount(zone, count, now);
    this->recentMaxHosts.record(this->demandShares.hosts(), now);
    if (this->option.shares == ShareStrategy::Demand)
        this->updateRateFractions(now);
}

auto FleetHost::publishLoads(const std::vector<TargetLoad>& loads, Duration interval) -> void
{
    this->relayInterval = interval;
    const auto notice = LoadNotice { this->members.self().incarnation, ++this->noticeSequence, loads };
    for (const auto role : loadRelayRoles) {
        if (const auto relay = this->lenders->zoneHolder(role))
            this->dependencies.transport.send(relay->address, notice);
        else
            this->recordLoads(notice, this->dependencies.clock.now());
    }
}

auto FleetHost::isStoreReader() const -> bool { return !this->lenders->zoneHolder(storeReaderRole).has_value(); }

auto FleetHost::sendFeedNotice(FeedNotice notice) -> void
{
    notice.sender = this->members.self().incarnation;
    notice.sequence = ++this->noticeSequence;
    for (const auto& peer : this->members.zonePeers())
        this->dependencies.transport.send(peer.peerAddress(), notice);
}

/// Hosts send their loads only to hosts that they consider relays, so a host that receives loads acts as one.
auto FleetHost::recordLoads(const LoadNotice& notice, TimePoint now) -> void
{
    this->zoneLoads.record(notice.sender, notice.loads, now);
}

/// Sends each host the sum without its own loads, which it knows more accurately.
auto FleetHost::relayLoads(TimePoint now) -> void
{
    if (now < this->nextRelayAt)
        return;
    this->zoneLoads.removeExpired(now);
    const auto hasChanged = this->zoneLoads.takeChanged();
    if (!hasChanged && (now < this->relayRepeatAt || this->zoneLoads.isEmpty()))
        return;
    this->nextRelayAt = now + this->relayInterval;
    this->relayRepeatAt = now + loadRepeatInterval;
    const auto self = this->members.self().incarnation;
    for (const auto& peer : this->members.zonePeers()) {
        const auto sum = this->zoneLoads.sumExcluding(peer.incarnation);
        this->dependencies.transport.send(peer.peerAddress(), ZoneLoadNotice { self, ++this->noticeSequence, sum });
    }
    if (this->zoneLoadsHandler)
        this->zoneLoadsHandler(this->zoneLoads.sumExcluding(self));
    this->zoneLoads.clearReports();
}

auto FleetHost::leave() -> void
{
    this->handOverDeadline = this->dependencies.clock.now() + maxHandOverTime;
    this->holder->leave();
    this->leaderCandidate->leave();
    this->members.setState(HostState::Leaving);
}

auto FleetHost::hasHandedOver() const -> bool
{
    if (this->option.shares == ShareStrategy::Demand)
        return true;
    const auto isTimedOut = this->dependencies.clock.now() >= this->handOverDeadline;
    return isTimedOut || (this->holder->hasHandedOver() && this->leaderCandidate->heldEpoch() == 0);
}

auto FleetHost::zoneSlotFraction() const -> double
{
    const auto slots = countSlots(this->holder->usableSlots(this->dependencies.clock.now()));
    return static_cast<double>(slots) / slotsPerZone;
}

/// Hosts that are remembered but not heard from are included: a host that is unreachable from here may continue to
/// send.
auto FleetHost::registeredZoneHosts() const -> std::vector<std::string>
{
    auto hosts = this->demandShares.otherHosts();
    hosts.push_back(this->members.self().ip);
    return hosts;
}

auto FleetHost::coldTargetFraction(const std::string& zone, const std::string& target) const -> double
{
    const auto& self = this->members.self();
    if (!this->isRegistryRead || zone != self.zone)
        return 0;
    return senderRateFraction(target, self.ip, this->registeredZoneHosts());
}

auto FleetHost::limitedTargetFraction(
    const std::string& zone, const std::string& target, double perSecond, bool isRecent) const -> double
{
    auto option = TargetSenderOption {};
    if (!isRecent)
        return option.usedFraction / static_cast<double>(this->recentMaxHosts.value());
    const auto& self = this->members.self();
    if (!this->isRegistryRead || zone != self.zone)
        return 0;
    const auto hosts = this->registeredZoneHosts();
    // Each sender adds a burst of one request, which a higher limit tolerates more of.
    const auto senders = static_cast<double>(option.senderCount) + std::floor(perSecond);
    option.senderCount = static_cast<std::size_t>(std::min(senders, static_cast<double>(hosts.size())));
    return senderRateFraction(target, self.ip, hosts, option);
}

auto FleetHost::applyConfig(const std::shared_ptr<const ActiveConfig>& active) -> void
{
    const auto now = this->dependencies.clock.now();
    auto regions = std::map<std::string, std::string> {};
    for (const auto& zone : active->config.zones)
        regions.emplace(zone.name, zone.region);
    this->zones = regions.size();
    this->lenders->setRegions(std::move(regions));
    this->limiter.setBuckets(bucketsOf(active->config, this->members.self().zone, this->option.tolerance), now);
    // Updates the fractions immediately, so that the first request of a new team need not wait for the next notice.
    if (this->option.shares == ShareStrategy::Demand)
        this->updateRateFractions(now);
    this->onConfigApplied(active);
}

auto teamBucketName(const std::string& team) -> std::string { return "team/" + team; }

auto shiftBucketName(const std::string& from, const std::string& to, bool bytes) -> std::string
{
    return (bytes ? "link/" : "shift/") + from + "/" + to;
}

auto RateTolerance::extraRate(double rate) const -> double
{
    return (rate * this->overage + this->slack / seconds(this->window)) * rateToleranceFraction;
}

auto RateTolerance::extraBurst(double burst) const -> double
{
    return (burst * this->overage + this->slack) * burstToleranceFraction;
}

auto RateTolerance::startTokens(double rate, double burst) const -> double
{
    return ((rate * seconds(this->window) + burst) * this->overage + this->slack) * startToleranceFraction;
}

auto bucketsOf(const Config& config, const std::string& zone, const RateTolerance& tolerance) -> std::vector<BucketSpec>
{
    auto specs = std::vector<BucketSpec> {};
    auto zoneWeights = std::vector<std::uint32_t> {};
    for (const auto& item : config.zones)
        zoneWeights.push_back(item.part);
    const auto zonePosition = std::ranges::find(config.zones, zone, &Zone::name);
    const auto index = static_cast<std::size_t>(zonePosition - config.zones.begin());
    for (const auto& team : config.teams) {
        const auto rate = team.rate + tolerance.extraRate(team.rate);
        const auto burst = team.burst + tolerance.extraBurst(team.burst);
        auto spec = makeBucketSpec(teamBucketName(team.name), rate, burst, zoneWeights, index);
        const auto initialTokens = tolerance.startTokens(team.rate, team.burst);
        spec.startMicroTokens = static_cast<std::int64_t>(initialTokens * static_cast<double>(microTokensPerToken));
        specs.push_back(spec);
    }
    const auto region = zonePosition == config.zones.end() ? std::string {} : zonePosition->region;
    for (const auto& shift : config.shifts) {
        // Only the zones of the sending region share the limit on traffic that leaves it.
        auto senderWeights = zoneWeights;
        for (auto i = std::size_t { 0 }; i < senderWeights.size(); ++i)
            senderWeights[i] = config.zones[i].region == shift.from ? senderWeights[i] : 0;
        const auto bytesBurst = shift.bytesPerSecond * linkBurstSeconds;
        specs.push_back(makeBucketSpec(
            shiftBucketName(shift.from, shift.to, false), shift.rate, shift.burst, senderWeights, index));
        specs.push_back(makeBucketSpec(
            shiftBucketName(shift.from, shift.to, true), shift.bytesPerSecond, bytesBurst, senderWeights, index));
    }
    return specs;
}

} // namespace citronloft
