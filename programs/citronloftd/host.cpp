#include "host.hpp"

#include <algorithm>
#include <array>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/http_object_store.hpp"
#include "citronloft/edge/process_memory.hpp"
#include "components.hpp"
#include "platform.hpp"

namespace citronloft {

namespace {

constexpr auto percentPerUnit = 100.0;
/// The platform limits shifts between regions per window of two seconds.
constexpr auto shiftWindowsPerMinute = 30.0;
/// Fractions of the platform's limits that the fleet uses; the rest is a margin, since hosts do not know each other's
/// state exactly.
constexpr auto usableShiftFraction = 0.6;
constexpr auto usableRetryFraction = 0.6;
constexpr auto retryUpdateInterval = std::chrono::seconds { 1 };
/// Twice the longest round trip between two regions of a deployment, 110 ms, plus a margin for a busy target.
constexpr auto targetConnectTimeout = std::chrono::milliseconds { 400 };
constexpr auto targetAckTimeout = std::chrono::milliseconds { 1000 };
/// Maximum number of hosts in a summary of another zone; covers the largest zone of current deployments.
constexpr auto hostsPerSummary = std::size_t { 24 };
/// False: every host watches the store itself. Reading through one host per zone stays disabled until the second entry
/// of KNOWN-RED.txt is fixed.
constexpr auto usesZoneReaders = false;
/// Interval at which a zone's reader repeats what it has announced, since notices can be lost.
constexpr auto changeNoticeInterval = std::chrono::milliseconds { 1000 };
/// Maximum size of a target's answer; the memory of the host limits it further.
constexpr auto maxAnswerBytes = std::uint64_t { 64 } * 1024 * 1024;
/// Interval at which the memory of the process is measured, besides measurements while it grows.
constexpr auto memoryInterval = std::chrono::milliseconds { 100 };
constexpr auto bytesPerMegabyte = 1e6;
constexpr auto exitClean = 0;
constexpr auto exitFailed = 1;
constexpr auto exitNotDrained = 3;

auto parseLendingStrategy(const std::string& name) -> LendingStrategy
{
    if (name == "none")
        return LendingStrategy::None;
    return name == "zone" ? LendingStrategy::Zone : LendingStrategy::Fleet;
}

/// @return a budget for all that the process holds or, if that cannot be measured, for what its connections hold.
auto makeConnectionBudget(const ResourceLimits& limits, bool isMeasured) -> std::shared_ptr<ConnectionBudget>
{
    auto budget = std::make_shared<ConnectionBudget>(
        isMeasured ? limits.processBytes : limits.connectionBytes, limits.callerConnections);
    if (isMeasured)
        budget->setMeter(residentBytes);
    return budget;
}

auto makeHostEntry(const HostSettings& settings, std::uint64_t incarnation) -> HostEntry
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
    , limits(resourceLimitsOf(this->settings))
    , connectionBudget(makeConnectionBudget(this->limits, this->settings.memoryMb > 0 && residentBytes().has_value()))
    , memoryTrimmer(this->limits.processBytes)
{
    if (this->settings.memoryMb > 0)
        this->bodyMemory = this->connectionBudget;
    this->connectionBudget->onEviction([this](EvictionReason reason) { this->recordEviction(reason); });
}

Host::~Host() = default;

auto Host::start() -> absl::Status
{
    auto created = makeUdpTransport(this->context, { this->settings.ip, this->settings.peerPort },
        this->settings.fleetSecret, this->incarnation, this->metrics);
    if (!created.ok())
        return created.status();
    this->transport = *created;
    const auto dependencies = this->makeFleetDependencies();
    this->fleet = std::make_unique<FleetHost>(this->fleetOption(), makeHostEntry(this->settings, this->incarnation),
        dependencies, randomId(), [this](const auto& active) { this->onConfig(active); });
    this->gateway
        = std::make_unique<Gateway>(this->context, this->clock, this->metrics, *this->fleet, this->gatewayOption());
    this->startDiscovery();
    this->addComponents();
    const auto status = this->supervisor->start();
    if (status.ok())
        LogEvent(LogLevel::Info, "host-started")
            .with("zone", this->settings.zone)
            .with("ip", this->settings.ip)
            .with("placement", this->settings.placement)
            .with("resident_bytes", residentBytes().value_or(0));
    return status;
}

auto Host::makeFleetDependencies() -> FleetHostDependencies
{
    if (this->usesAdapter()) {
        auto option = PlatformOption {};
        option.address = this->settings.platform;
        option.memoryBytes = static_cast<std::size_t>(this->settings.memoryMb * bytesPerMegabyte);
        option.regionOfZone = this->settings.regionOfZone;
        option.lookupTtl = this->settings.lookupTtl;
        option.shiftPercentPerMinute
            = this->settings.maxShiftFraction * percentPerUnit * shiftWindowsPerMinute * usableShiftFraction;
        this->platform = makeFleetPlatform(this->context, this->clock, this->metrics, std::move(option));
    } else {
        auto option = HttpObjectStoreOption {};
        option.address = this->settings.platform;
        this->platform.store = makeHttpObjectStore(this->context, this->clock, this->metrics, option);
    }
    return { this->clock, *this->transport, this->platform.store,
        makeConfigFetcher(this->context, this->settings.fleetSecret) };
}

auto Host::fleetOption() const -> FleetHostOption
{
    auto option = FleetHostOption {};
    option.membership.seeds = this->settings.seeds;
    option.rates = this->usesAdapter() ? demandRateOption() : RateLimiterOption {};
    option.rates.strategy = parseLendingStrategy(this->settings.lending);
    if (!this->usesAdapter())
        return option;
    option.shares = ShareStrategy::Demand;
    option.tolerance = { this->settings.rateOverage, this->settings.rateSlack, Duration { this->settings.rateWindow } };
    option.usesPlatformConfig = true;
    option.membership.hostsPerSummary = hostsPerSummary;
    return option;
}

auto Host::gatewayOption() const -> GatewayOption
{
    auto option = GatewayOption {};
    option.zone = this->settings.zone;
    option.fleetSecret = this->settings.fleetSecret;
    option.httpClient = this->httpClient;
    option.client.bodyMemory = this->bodyMemory;
    if (this->bodyMemory)
        option.client.bodyLimitBytes = maxAnswerBytes;
    option.client.maxConnections = this->limits.targetConnections;
    option.queue = this->settings.queue == "fifo" ? QueueStrategy::Fifo : QueueStrategy::Fair;
    if (!this->usesAdapter())
        return option;
    option.dialect = this->platform.dialect;
    option.queue = QueueStrategy::Urgency;
    option.discoversTargets = true;
    option.placement = parsePlacement(this->settings.placement);
    option.servesLookups = false;
    option.limitsFirstAttempt = false;
    option.client.connectTimeout = targetConnectTimeout;
    option.client.tcpUserTimeout = targetAckTimeout;
    option.targets = discoveredPoolOption();
    option.retry.initialBalance = 0;
    return option;
}

auto Host::recordEviction(EvictionReason reason) -> void
{
    const auto name = std::string { evictionReasonName(reason) };
    this->metrics.count("citronloft_connections_evicted_total", "reason=\"" + name + "\"");
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->connectionLogLimiter.allow("connection-evicted", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "connection-evicted")
        .with("reason", name)
        .with("held_bytes", this->connectionBudget->usedBytes())
        .with("limit_bytes", this->connectionBudget->limit())
        .with("connections", this->connectionBudget->connections())
        .with("left_out", suppressedLines);
}

auto Host::recordClosure(ConnectionClosure closure) -> void
{
    const auto name = std::string { connectionClosureName(closure) };
    this->metrics.count("citronloft_connections_closed_total", "reason=\"" + name + "\"");
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->connectionLogLimiter.allow("connection-closed", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "connection-closed")
        .with("reason", name)
        .with("connections", this->connectionBudget->connections())
        .with("left_out", suppressedLines);
}

auto Host::startDiscovery() -> void
{
    if (!this->usesAdapter())
        return;
    this->fleet->onZoneLoads([this](const std::vector<TargetLoad>& loads) { this->gateway->updateZoneLoads(loads); });
    this->gateway->setColdRateShare([this](const LiveTarget& target) {
        return target.coldRate * this->fleet->coldTargetFraction(target.target.zone, target.instance);
    });
    this->gateway->setLimitShare([this](const LiveTarget& target, double perSecond, bool isRecent) {
        return perSecond * this->fleet->limitedTargetFraction(target.target.zone, target.instance, perSecond, isRecent);
    });
    this->fleet->limits().onObservations(
        [this](const std::vector<LimitObservation>& observations) { this->gateway->mergeLimits(observations); });
    auto listener = DiscoveryListener {};
    listener.onConfig = [this](ActiveConfig active) {
        this->fleet->config().applyPlatformConfig(active.version, std::move(active.config));
    };
    listener.onTargets = [this](DiscoveredTargets targets) { this->gateway->setDiscoveredTargets(std::move(targets)); };
    listener.onEvacuatedZones = [this](std::set<std::string> zones) {
        for (const auto& zone : zones)
            LogEvent(LogLevel::Info, "zone-evacuated").with("zone", zone);
        this->gateway->setEvacuatedZones(std::move(zones));
    };
    listener.onQuarantines
        = [this](const std::set<std::string>& names) { this->fleet->quarantine().updateStored(names); };
    this->registry
        = std::make_shared<HostRegistry>(RegisteredHost { this->settings.zone, this->settings.ip }, this->clock,
            this->platform.store, randomId(), [this](const auto& hosts) { this->fleet->updateRegisteredHosts(hosts); });
    auto feedOption = ZoneFeedOption {};
    if (!usesZoneReaders)
        feedOption.noticeInterval = changeNoticeInterval;
    this->zoneFeed = std::make_shared<ZoneFeed>(
        feedOption, this->clock, this->platform.feed, makeFeedFetcher(this->context, this->settings.fleetSecret));
    this->fleet->onFeedNotice([this](const Address& from, const FeedNotice& notice) {
        if (usesZoneReaders)
            this->zoneFeed->processNotice(from, notice, this->clock.now());
        else
            this->discovery->expectRevisions(notice.states, this->clock.now());
    });
    this->discovery = std::make_unique<Discovery>(
        this->clock, this->metrics, this->zoneFeed, this->platform.decoder, randomId(), std::move(listener));
}

/// Follows the store directly or, with zone readers, through the reader of the zone. The reader announces its copies to
/// its zone, so that the other hosts notice changes that their own watches have missed.
auto Host::tickDiscovery(TimePoint now) -> void
{
    const auto isReader = this->fleet->isStoreReader();
    this->zoneFeed->tick(!usesZoneReaders || isReader, now);
    this->discovery->setIsReader(isReader);
    const auto hosts = this->fleet->recentMaxHostCount();
    this->discovery->setReaderCount(usesZoneReaders ? hosts / this->fleet->zoneHostCount() : hosts);
    this->discovery->tick(now);
    if (!isReader)
        return;
    auto states = this->discovery->feedStates();
    // Hosts that watch the store themselves need to hear of changes only, not of each answer without one.
    for (auto& state : states)
        state.revision = usesZoneReaders ? state.revision : state.changeRevision;
    if (auto notice = this->zoneFeed->takeDueNotice(std::move(states), now))
        this->fleet->sendFeedNotice(*std::move(notice));
}

auto Host::serveFeed(const FeedRequest& request) const -> absl::StatusOr<ObjectBatch>
{
    if (!this->discovery)
        return absl::UnavailableError("this host has no copy of the store: discovery is not in use");
    return this->discovery->serve(request);
}

auto Host::addComponents() -> void
{
    this->supervisor = std::make_unique<Supervisor>(
        this->context, this->clock, SupervisorOption {}, [this](const absl::Status& reason) {
            LogEvent(LogLevel::Error, "host-failed").with("reason", reason.ToString());
            this->shutDown(exitFailed);
        });
    this->supervisor->add("fleet", std::make_shared<FleetComponent>(*this));
    this->supervisor->add("service", std::make_shared<ServiceComponent>(*this));
    const auto addPort
        = [this](const char* name, std::uint16_t port, bool isRequired, AuxiliaryPortComponent::Handler handler) {
              if (port != 0)
                  this->supervisor->add(
                      name, std::make_shared<AuxiliaryPortComponent>(*this, port, isRequired, std::move(handler)));
          };
    addPort("status", this->settings.statusPort, !this->usesAdapter(),
        [this](const HttpRequest& request, const CallerContext&) { return this->handleStatus(request); });
    addPort("ready", this->settings.readyPort, true,
        [this](const HttpRequest&, const CallerContext&) { return this->handleReady(); });
    addPort("lookup", this->settings.lookupPort, true, [this](const HttpRequest& request, const CallerContext& caller) {
        return this->gateway->handleLookup(request, caller);
    });
    if (!this->usesAdapter())
        this->supervisor->add("probe", std::make_shared<TargetProbeComponent>(*this));
}

auto Host::stop() -> void
{
    if (this->lifecycle->state() == HostState::Leaving) {
        this->isStopExpedited = true;
        return;
    }
    this->lifecycle->process(HostEvent::StopRequested);
    this->leavingSince = this->clock.now();
    const auto active = this->fleet->config().active();
    const auto ttl = active ? active->config.settings.lookupTtl : std::chrono::milliseconds { 0 };
    this->stopWindow = StopWindow({ this->leavingSince, ttl, this->settings.maxStopDuration });
    this->gateway->beginStop(this->stopWindow.latestExitAt());
    this->fleet->leave();
    this->gateway->refreshLookups();
    this->service->closeAfterAnswers();
    LogEvent(LogLevel::Info, "host-leaving").with("lookup_ttl_ms", ttl.count());
}

auto Host::reload(const HostSettings& changed) -> void
{
    const auto isSame = changed == this->settings;
    LogEvent(LogLevel::Info, "settings-reloaded").with("changed", isSame ? 0 : 1);
    this->settings.retryRatio = changed.retryRatio;
    this->settings.retrySlack = changed.retrySlack;
    this->settings.maxStopDuration = changed.maxStopDuration;
    this->nextRetryUpdateAt = TimePoint {};
}

/// Divides the fleet-wide retry limit evenly among the live hosts, once per interval.
auto Host::updateRetryBudget(TimePoint now) -> void
{
    if (now < this->nextRetryUpdateAt)
        return;
    this->nextRetryUpdateAt = now + retryUpdateInterval;
    const auto hosts = static_cast<double>(this->fleet->recentMaxHostCount());
    auto option = RetryOption {};
    option.budgetRatio = this->settings.retryRatio * usableRetryFraction;
    option.budgetCap = std::max(this->settings.retrySlack * usableRetryFraction / hosts, 1.0);
    this->gateway->setRetryOption(option);
}

auto Host::onConfig(const std::shared_ptr<const ActiveConfig>& active) -> void
{
    this->gateway->setConfig(active);
    if (this->service)
        this->service->setLimits(active->config.settings.callers);
    if (!this->usesAdapter())
        this->updateServingState();
    LogEvent(LogLevel::Info, "config-in-force")
        .with("version", active->version)
        .with("source", configSourceName(active->source));
}

auto Host::updateServingState() -> void
{
    this->lifecycle->process(HostEvent::ConfigApplied);
    const auto active = this->fleet->config().active();
    const auto& drained = active->config.drainingHosts;
    const auto address = formatAddress({ this->settings.ip, this->settings.servicePort });
    const auto isDrained = std::ranges::find(drained, address) != drained.end();
    // A drained host announces the state Leaving but continues to serve until it is stopped or undrained.
    if (this->lifecycle->state() == HostState::Serving)
        this->fleet->membership().setState(isDrained ? HostState::Leaving : HostState::Serving);
    this->gateway->refreshLookups();
}

auto Host::measureMemory(TimePoint now) -> void
{
    if (this->settings.memoryMb <= 0 || now < this->nextMemoryMeasureAt)
        return;
    this->nextMemoryMeasureAt = now + memoryInterval;
    this->connectionBudget->measure();
    if (!this->memoryTrimmer.isDue(this->connectionBudget->overheadBytes(), now))
        return;
    returnFreeMemory();
    this->connectionBudget->measure();
    this->memoryTrimmer.recordTrimmed(this->connectionBudget->overheadBytes(), now);
    this->metrics.count("citronloft_memory_trims_total");
}

auto Host::onTick() -> void
{
    this->measureMemory(this->clock.now());
    this->fleet->tick();
    this->gateway->tick();
    if (this->discovery) {
        const auto now = this->clock.now();
        this->tickDiscovery(now);
        this->registry->tick(now);
        this->updateRetryBudget(now);
        const auto hasConfig = this->discovery->isReady() && this->fleet->config().active() != nullptr;
        const auto isInitialized = hasConfig && this->fleet->hasRateFractions(now);
        if (this->lifecycle->state() == HostState::Joining && isInitialized)
            this->updateServingState();
    }
    if (this->lifecycle->state() == HostState::Leaving)
        this->advanceStop(this->clock.now());
}

auto Host::advanceStop(TimePoint now) -> void
{
    const auto isOverdue = this->stopWindow.isOverdue(now);
    const auto canClose = this->isStopExpedited || this->stopWindow.canClose(now, this->gateway->lastRequestAt());
    if (canClose && !std::exchange(this->isServiceClosed, true)) {
        LogEvent(LogLevel::Info, "service-closed").with("in_flight", this->service->inFlight());
        this->gateway->refuseLongRequests();
        this->service->closeIdle();
    }
    if (this->stopWindow.refusesUnsent(now))
        this->gateway->refuseUnsent();
    if (!this->isDrained() && !isOverdue)
        return;
    this->lifecycle->process(HostEvent::Drained);
    const auto drainTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->leavingSince);
    LogEvent(LogLevel::Info, "host-drained").with("drain_ms", drainTime.count()).with("overdue", isOverdue ? 1 : 0);
    this->shutDown(isOverdue ? exitNotDrained : exitClean);
}

/// An expedited stop skips the wait for cached look-ups to expire and for the hand-over.
auto Host::isDrained() const -> bool
{
    if (this->service->inFlight() > 0)
        return false;
    return this->isStopExpedited || (this->isServiceClosed && this->fleet->hasHandedOver());
}

auto Host::shutDown(int exitCode) -> void
{
    if (std::exchange(this->isShutDown, true))
        return;
    this->fleet->end();
    this->supervisor->stop();
    this->transport->stop();
    this->onStopped(exitCode);
}

} // namespace citronloft
