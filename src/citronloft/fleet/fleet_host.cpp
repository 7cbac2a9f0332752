#include "citronloft/fleet/fleet_host.hpp"

#include <algorithm>

#include "citronloft/base/log.hpp"
#include "citronloft/fleet/slot_map.hpp"

namespace citronloft {

namespace {

/// The store counts as reachable for so long after its last answer.
constexpr auto storeReachableFor = std::chrono::seconds { 5 };
/// Time for a leaving host to give its slots and its role away; without a steward or a store nobody takes them.
constexpr auto greatestHandOverTime = std::chrono::seconds { 8 };
constexpr auto linkBurstSeconds = 1.0;

} // namespace

/// Lends from membership's view: zone peers first, then the hosts of other zones.
class FleetHost::LenderList final : public PeerDirectory {
public:
    explicit LenderList(const Membership& members)
        : members(members)
    {
    }

    [[nodiscard]] auto lenders() const -> std::vector<Lender> override
    {
        auto list = std::vector<Lender> {};
        for (const auto& peer : this->members.zonePeers())
            list.push_back({ peer.incarnation, peer.peerAddress(), true });
        for (const auto& host : this->members.remoteHosts())
            list.push_back({ host.incarnation, host.peerAddress(), false });
        return list;
    }

private:
    const Membership& members;
};

FleetHost::FleetHost(FleetHostOption option, HostEntry self, FleetSurroundings surroundings, std::uint64_t seed,
    ConfigFollower::InForce inForce)
    : option(option)
    , surroundings(surroundings)
    , evenShares({}, self.ip, surroundings.clock.now())
    , members(option.membership, self, surroundings.transport, seed)
    , lenders(std::make_unique<LenderList>(members))
    , holder(std::make_shared<ShareHolder>(
          option.lease, self.incarnation, surroundings.clock, members, surroundings.transport, surroundings.store))
    , limiter(option.rates, option.lease, self.incarnation, *lenders, surroundings.transport)
    , zoneSteward(std::make_shared<ZoneSteward>(option.lease, self.incarnation, self.zone, surroundings.clock, members,
          surroundings.transport, surroundings.store))
    , claimRegistry(std::make_shared<ClaimRegistry>(surroundings.store))
    , inForce(std::move(inForce))
{
    this->follower = std::make_shared<ConfigFollower>(surroundings.clock, this->members, surroundings.transport,
        surroundings.store, surroundings.fetcher, [this](const auto& active) { this->putInForce(active); });
    if (option.isConfigOffered)
        this->follower->followOffers(option.fetchPatience);
    this->members.setConfigAge([this] { return this->follower->age(this->surroundings.clock.now()); });
}

FleetHost::~FleetHost() = default;

auto FleetHost::tick() -> void
{
    const auto now = this->surroundings.clock.now();
    auto& vitals = this->members.vitals();
    const auto answeredAt = this->zoneSteward->storeAnsweredAt();
    vitals.storeReachable = answeredAt != TimePoint {} && now - answeredAt < storeReachableFor;
    vitals.knownEpoch = this->holder->knownEpoch();
    this->members.tick(now);
    if (this->option.shares == ShareStrategy::Leased) {
        this->zoneSteward->tick(now);
        this->holder->tick(now);
    }
    this->follower->tick(now);
    this->limiter.setSlots(this->usableSlots(now), now);
    this->limiter.tick(now);
}

auto FleetHost::usableSlots(TimePoint now) -> std::vector<SlotRange>
{
    if (this->option.shares == ShareStrategy::Leased)
        return this->holder->usable(now);
    for (const auto& peer : this->members.zonePeers())
        this->evenShares.note(peer.ip, now);
    auto slots = this->evenShares.usable(now);
    if (countSlots(slots) != this->knownSlots) {
        this->knownSlots = countSlots(slots);
        LogEvent(LogLevel::Info, "shares-changed")
            .with("slots", this->knownSlots)
            .with("zone_hosts", this->members.zonePeers().size() + 1);
    }
    return slots;
}

auto FleetHost::receive(const Address& from, const PeerMessage& message) -> void
{
    const auto now = this->surroundings.clock.now();
    if (const auto* gossip = std::get_if<GossipMessage>(&message)) {
        this->members.receive(*gossip, now);
        this->follower->notePeer(*gossip, now);
    } else if (const auto* request = std::get_if<RenewRequest>(&message)) {
        this->zoneSteward->receive(*request, from, now);
    } else if (const auto* grant = std::get_if<RenewGrant>(&message)) {
        this->holder->receive(*grant, from, now);
        this->limiter.setSlots(this->usableSlots(now), now);
    } else if (const auto* ask = std::get_if<LoanAsk>(&message)) {
        // A paused host may run this before its next tick; what it lends must still be its own.
        this->limiter.setSlots(this->usableSlots(now), now);
        this->limiter.receive(*ask, from, now);
    } else if (const auto* loan = std::get_if<LoanGrant>(&message)) {
        this->limiter.receive(*loan, now);
    } else if (const auto* notice = std::get_if<ConfigNotice>(&message)) {
        this->follower->receive(*notice, from, now);
    } else if (const auto* loads = std::get_if<LoadNotice>(&message)) {
        auto& newest = this->newestLoads[loads->sender];
        if (loads->sequence > newest && this->takeLoads)
            this->takeLoads(loads->sender, loads->loads);
        newest = std::max(newest, loads->sequence);
    }
}

auto FleetHost::noteRegistered(const std::vector<RegisteredHost>& hosts) -> void
{
    const auto now = this->surroundings.clock.now();
    const auto& self = this->members.self();
    // The newest seeds are kept, so this zone's hosts come last.
    for (const auto isOwnZone : { false, true }) {
        for (const auto& host : hosts) {
            if (host.ip == self.ip || (host.zone == self.zone) != isOwnZone)
                continue;
            if (isOwnZone)
                this->evenShares.note(host.ip, now);
            this->members.addSeed({ host.ip, self.peerPort });
        }
    }
}

auto FleetHost::shareLoads(std::vector<TargetLoad> loads) -> void
{
    const auto notice = LoadNotice { this->members.self().incarnation, ++this->loadSequence, std::move(loads) };
    for (const auto& peer : this->members.zonePeers())
        this->surroundings.transport.send(peer.peerAddress(), notice);
}

auto FleetHost::leave() -> void
{
    this->handOverUntil = this->surroundings.clock.now() + greatestHandOverTime;
    this->holder->leave();
    this->zoneSteward->leave();
    this->members.setState(HostState::Leaving);
}

auto FleetHost::hasHandedOver() const -> bool
{
    if (this->option.shares == ShareStrategy::Even)
        return true;
    const auto isOver = this->surroundings.clock.now() >= this->handOverUntil;
    return isOver || (this->holder->hasHandedOver() && this->zoneSteward->heldEpoch() == 0);
}

auto FleetHost::zonePart() const -> double
{
    const auto slots = countSlots(this->holder->usable(this->surroundings.clock.now()));
    return static_cast<double>(slots) / slotsPerZone;
}

auto FleetHost::putInForce(const std::shared_ptr<const ActiveConfig>& active) -> void
{
    const auto now = this->surroundings.clock.now();
    this->limiter.setBuckets(bucketsOf(active->config, this->members.self().zone), now);
    this->inForce(active);
}

auto teamBucketName(const std::string& team) -> std::string { return "team/" + team; }

auto shiftBucketName(const std::string& from, const std::string& to, bool bytes) -> std::string
{
    return (bytes ? "link/" : "shift/") + from + "/" + to;
}

auto bucketsOf(const Config& config, const std::string& zone) -> std::vector<BucketSpec>
{
    auto specs = std::vector<BucketSpec> {};
    auto parts = std::vector<std::uint32_t> {};
    for (const auto& item : config.zones)
        parts.push_back(item.part);
    const auto place = std::ranges::find(config.zones, zone, &Zone::name);
    const auto index = static_cast<std::size_t>(place - config.zones.begin());
    for (const auto& team : config.teams)
        specs.push_back(makeBucketSpec(teamBucketName(team.name), team.rate, team.burst, parts, index));
    const auto region = place == config.zones.end() ? std::string {} : place->region;
    for (const auto& shift : config.shifts) {
        // Only the zones of the sending region hold a part of what may leave it.
        auto senders = parts;
        for (auto i = std::size_t { 0 }; i < senders.size(); ++i)
            senders[i] = config.zones[i].region == shift.from ? senders[i] : 0;
        const auto bytesBurst = shift.bytesPerSecond * linkBurstSeconds;
        specs.push_back(
            makeBucketSpec(shiftBucketName(shift.from, shift.to, false), shift.rate, shift.burst, senders, index));
        specs.push_back(makeBucketSpec(
            shiftBucketName(shift.from, shift.to, true), shift.bytesPerSecond, bytesBurst, senders, index));
    }
    return specs;
}

} // namespace citronloft
