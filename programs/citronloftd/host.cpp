#include "host.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/http_object_store.hpp"
#include "citronloft/fleet/slot_map.hpp"
#include "components.hpp"

namespace citronloft {

namespace {

/// After the callers' cached look-ups have run out, time for requests that are on their way.
constexpr auto stopGrace = std::chrono::milliseconds { 1000 };
/// A planned stop that has not drained by then ends all the same.
constexpr auto greatestStopTime = std::chrono::seconds { 60 };
constexpr auto exitClean = 0;
constexpr auto exitFailed = 1;
constexpr auto exitNotDrained = 3;

auto lendingOf(const std::string& name) -> LendingStrategy
{
    if (name == "none")
        return LendingStrategy::None;
    return name == "zone" ? LendingStrategy::Zone : LendingStrategy::Fleet;
}

auto entryOf(const HostSettings& settings, std::uint64_t incarnation) -> HostEntry
{
    auto entry = HostEntry {};
    entry.incarnation = incarnation;
    entry.zone = settings.zone;
    entry.ip = settings.ip;
    entry.peerPort = settings.peerPort;
    entry.servicePort = settings.servicePort;
    entry.statusPort = settings.statusPort;
    return entry;
}

} // namespace

Host::Host(boost::asio::io_context& context, HostSettings settings, std::function<void(int)> onStopped)
    : context(context)
    , settings(std::move(settings))
    , onStopped(std::move(onStopped))
    , incarnation(randomId() | 1U)
    , lifecycle(makeHostLifecycle())
{
}

Host::~Host() = default;

auto Host::start() -> absl::Status
{
    auto made = makeUdpTransport(this->context, { this->settings.ip, this->settings.peerPort },
        this->settings.fleetSecret, this->incarnation, this->metrics);
    if (!made.ok())
        return made.status();
    this->transport = *made;
    auto storeOption = HttpObjectStoreOption {};
    storeOption.address = this->settings.platform;
    const auto surroundings = FleetSurroundings { this->clock, *this->transport,
        makeHttpObjectStore(this->context, this->clock, this->metrics, storeOption),
        makeConfigFetcher(this->context, this->settings.fleetSecret) };
    auto option = FleetHostOption {};
    option.membership.seeds = this->settings.seeds;
    option.rates.strategy = lendingOf(this->settings.lending);
    this->fleet = std::make_unique<FleetHost>(option, entryOf(this->settings, this->incarnation), surroundings,
        randomId(), [this](const auto& active) { this->onConfig(active); });
    auto gatewayOption = GatewayOption {};
    gatewayOption.zone = this->settings.zone;
    gatewayOption.fleetSecret = this->settings.fleetSecret;
    gatewayOption.queue = this->settings.queue == "fifo" ? QueueStrategy::Fifo : QueueStrategy::Fair;
    this->gateway = std::make_unique<Gateway>(this->context, this->clock, this->metrics, *this->fleet, gatewayOption);
    this->supervisor = std::make_unique<Supervisor>(
        this->context, this->clock, SupervisorOption {}, [this](const absl::Status& reason) {
            LogEvent(LogLevel::Error, "host-failed").with("reason", reason.ToString());
            this->finish(exitFailed);
        });
    this->supervisor->add("fleet", std::make_shared<FleetComponent>(*this));
    this->supervisor->add("service", std::make_shared<ServiceComponent>(*this));
    this->supervisor->add("status", std::make_shared<StatusComponent>(*this));
    this->supervisor->add("probe", std::make_shared<ProbeComponent>(*this));
    const auto status = this->supervisor->start();
    if (status.ok())
        LogEvent(LogLevel::Info, "host-started").with("zone", this->settings.zone).with("ip", this->settings.ip);
    return status;
}

auto Host::stop() -> void
{
    if (this->lifecycle->state() == HostState::Leaving) {
        this->isHastened = true;
        return;
    }
    this->lifecycle->process(HostEvent::StopRequested);
    this->leavingSince = this->clock.now();
    const auto active = this->fleet->config().active();
    const auto ttl = active ? active->config.settings.lookupTtl : std::chrono::milliseconds { 0 };
    this->quietUntil = this->leavingSince + ttl + stopGrace;
    this->fleet->leave();
    this->service->closeAfterAnswers();
    LogEvent(LogLevel::Info, "host-leaving").with("lookup_ttl_ms", ttl.count());
}

auto Host::onConfig(const std::shared_ptr<const ActiveConfig>& active) -> void
{
    this->gateway->setConfig(active);
    this->lifecycle->process(HostEvent::ConfigInForce);
    const auto& drained = active->config.drainingHosts;
    const auto address = formatAddress({ this->settings.ip, this->settings.servicePort });
    const auto isDrained = std::ranges::find(drained, address) != drained.end();
    // A drained host shows itself as leaving and goes on serving until it is stopped or put back.
    if (this->lifecycle->state() == HostState::Serving)
        this->fleet->membership().setState(isDrained ? HostState::Leaving : HostState::Serving);
    LogEvent(LogLevel::Info, "config-in-force").with("version", active->version);
}

auto Host::onTick() -> void
{
    this->fleet->tick();
    this->gateway->tick();
    if (this->lifecycle->state() == HostState::Leaving)
        this->advanceStop(this->clock.now());
}

auto Host::advanceStop(TimePoint now) -> void
{
    const auto isOverdue = now > this->leavingSince + greatestStopTime;
    if (!this->isDrained(now) && !isOverdue)
        return;
    this->lifecycle->process(HostEvent::Drained);
    const auto drainTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->leavingSince);
    LogEvent(LogLevel::Info, "host-drained").with("drain_ms", drainTime.count()).with("overdue", isOverdue ? 1 : 0);
    this->finish(isOverdue ? exitNotDrained : exitClean);
}

/// Requests always finish; a hastened stop only leaves out the wait for cached look-ups and the hand-over.
auto Host::isDrained(TimePoint now) const -> bool
{
    if (this->service->inFlight() > 0)
        return false;
    return this->isHastened || (now >= this->quietUntil && this->fleet->hasHandedOver());
}

auto Host::finish(int exitCode) -> void
{
    if (std::exchange(this->isFinished, true))
        return;
    this->fleet->membership().setState(HostState::Stopped);
    this->fleet->membership().tick(this->clock.now());
    this->supervisor->stop();
    this->transport->stop();
    this->onStopped(exitCode);
}

auto Host::handleStatus(const HttpRequest& request) -> HttpResponse
{
    auto response = HttpResponse {};
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto state = this->lifecycle->state();
    response.fields.set("Content-Type", "application/json");
    if (path == "/healthz") {
        response.status = state == HostState::Serving ? 200 : 503;
        response.body = nlohmann::json { { "state", hostStateName(state) } }.dump();
    } else if (path == "/status") {
        response.body = this->statusBody();
    } else if (path == "/metrics") {
        const auto& rates = this->fleet->rates().stats();
        this->metrics.set("citronloft_rate_admitted", "how=\"at-once\"", static_cast<double>(rates.admittedAtOnce));
        this->metrics.set("citronloft_rate_admitted", "how=\"loan\"", static_cast<double>(rates.admittedAfterLoan));
        this->metrics.set("citronloft_rate_refused", "why=\"empty\"", static_cast<double>(rates.refusedEmpty));
        this->metrics.set("citronloft_rate_refused", "why=\"late\"", static_cast<double>(rates.refusedLate));
        this->metrics.set("citronloft_rate_asks", "direction=\"sent\"", static_cast<double>(rates.asksSent));
        this->metrics.set("citronloft_rate_asks", "direction=\"received\"", static_cast<double>(rates.asksReceived));
        response.fields.set("Content-Type", "text/plain; version=0.0.4");
        response.body = this->metrics.prometheus();
    } else {
        response.status = 404;
        response.body = R"({"error":"unknown path; try /healthz, /status or /metrics"})";
    }
    return response;
}

auto Host::statusBody() const -> std::string
{
    const auto now = this->clock.now();
    const auto& self = this->fleet->membership().self();
    const auto& vitals = this->fleet->membership().vitals();
    auto pools = nlohmann::json::object();
    for (const auto& [name, admission] : this->gateway->pools()) {
        auto targets = nlohmann::json::array();
        for (const auto& view : admission->targets().views(now))
            targets.push_back({ { "address", view.address }, { "state", targetStateName(view.state) },
                { "in_flight", view.inFlight }, { "limit", view.limit } });
        pools[name]
            = { { "queued", admission->queued() }, { "headroom", admission->headroom() }, { "targets", targets } };
    }
    auto peers = nlohmann::json::array();
    for (const auto& peer : this->fleet->membership().zonePeers())
        peers.push_back({ { "address", formatAddress(peer.peerAddress()) }, { "state", hostStateName(peer.state) },
            { "status", formatAddress({ peer.ip, peer.statusPort }) } });
    auto remote = nlohmann::json::array();
    for (const auto& host : this->fleet->membership().remoteHosts())
        remote.push_back({ { "address", formatAddress(host.peerAddress()) }, { "zone", host.zone },
            { "status", formatAddress({ host.ip, host.statusPort }) } });
    auto moved = nlohmann::json::object();
    if (const auto active = this->fleet->config().active()) {
        for (const auto& zone : active->config.zones)
            moved[zone.name] = this->gateway->lookups().planner().movedPart(zone.name);
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(this->fleet->config().age(now));
    return nlohmann::json {
        { "address", formatAddress({ self.ip, self.servicePort }) },
        { "incarnation", std::to_string(self.incarnation) },
        { "zone", self.zone },
        { "state", hostStateName(this->lifecycle->state()) },
        { "config_version", vitals.configVersion },
        { "config_age_ms", age.count() },
        { "steward_epoch", vitals.stewardEpoch },
        { "known_epoch", vitals.knownEpoch },
        { "slots", countSlots(this->fleet->shares().usable(now)) },
        { "lease_unconfirmed", this->fleet->shares().isUnconfirmed(now) },
        { "store_reachable", vitals.storeReachable },
        { "in_flight", this->gateway->inFlight() },
        { "pools", pools },
        { "zone_peers", peers },
        { "remote_hosts", remote },
        { "moved_part", moved },
    }
        .dump();
}

} // namespace citronloft
