#include "components.hpp"

#include "citronloft/base/log.hpp"
#include "citronloft/edge/coroutine.hpp"

namespace citronloft {

namespace {

constexpr auto tickInterval = std::chrono::milliseconds { 20 };
constexpr auto probeInterval = std::chrono::milliseconds { 1000 };
/// Delay of the event loop from which a line is logged; answers of targets and the store are read as late as this.
constexpr auto loggedLoopDelay = std::chrono::milliseconds { 250 };

} // namespace

FleetComponent::FleetComponent(Host& host)
    : host(host)
    , timer(host.context)
{
}

auto FleetComponent::start() -> absl::Status
{
    const auto& settings = this->host.settings;
    auto option = PeerServerOption {};
    option.connectionLimit = this->host.limits.peerConnections;
    option.onLimit = [this] { this->host.recordEviction(EvictionReason::PeerPort); };
    auto server = makePeerServer(this->host.context, { settings.ip, settings.peerPort }, settings.fleetSecret,
        { [this](const ConfigRequest& request) { return this->host.fleet->config().serve(request); },
            [this](const FeedRequest& request) { return this->host.serveFeed(request); } },
        std::move(option));
    if (!server.ok())
        return server.status();
    this->configServer = *server;
    this->host.transport->start([this](const Address& from, const PeerMessage& message) {
        this->host.supervisor->runGuarded("fleet", [&] { this->host.fleet->receive(from, message); });
    });
    this->scheduleTick();
    return absl::OkStatus();
}

auto FleetComponent::stop() -> void
{
    this->timer.cancel();
    if (this->configServer)
        this->configServer->stop();
}

auto FleetComponent::scheduleTick() -> void
{
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        const auto dueAt = TimePoint { this->timer.expiry() };
        this->recordLoopDelay(this->host.clock.now() - dueAt);
        this->scheduleTick();
        this->host.gateway->recordLoopTick(dueAt, this->timer.expiry());
        this->host.supervisor->runGuarded("fleet", [this] { this->host.onTick(); });
    });
}

auto FleetComponent::recordLoopDelay(Duration delay) -> void
{
    this->host.metrics.observe("citronloft_event_loop_delay_seconds", delay);
    auto suppressedLines = std::uint64_t { 0 };
    if (delay < loggedLoopDelay || !this->logLimiter.allow("event-loop-late", this->host.clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "event-loop-late")
        .with("delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count())
        .with("in_flight", this->host.gateway->inFlight())
        .with("left_out", suppressedLines);
}

ServiceComponent::ServiceComponent(Host& host)
    : host(host)
{
}

auto ServiceComponent::start() -> absl::Status
{
    auto option = HttpServerOption {};
    option.bodyMemory = this->host.bodyMemory;
    option.connectionBudget = this->host.connectionBudget;
    option.receiveBufferBytes = this->host.limits.receiveBufferBytes;
    option.onClosure = [this](ConnectionClosure closure) { this->host.recordClosure(closure); };
    option.onRefusal = [this](ResultCode code) {
        const auto label = "code=\"" + std::string { resultInfo(code).name } + "\"";
        this->host.metrics.count("citronloft_results_total", label);
    };
    const auto handler = [this](HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) {
        return this->host.gateway->handle(request, caller, yield);
    };
    const auto& settings = this->host.settings;
    auto server = makeHttpServer(this->host.context, { settings.ip, settings.servicePort }, handler, option);
    if (!server.ok())
        return server.status();
    this->host.service = *server;
    return absl::OkStatus();
}

auto ServiceComponent::stop() -> void
{
    if (this->host.service)
        this->host.service->closeIdle();
}

AuxiliaryPortComponent::AuxiliaryPortComponent(Host& host, std::uint16_t port, bool isRequired, Handler handler)
    : host(host)
    , port(port)
    , isRequired(isRequired)
    , handler(std::move(handler))
{
}

auto AuxiliaryPortComponent::start() -> absl::Status
{
    const auto handle = [this](const HttpRequest& request, const CallerContext& caller,
                            const boost::asio::yield_context&) { return this->handler(request, caller); };
    auto option = HttpServerOption {};
    option.bodyMemory = this->host.bodyMemory;
    option.connectionBudget = this->host.connectionBudget;
    option.receiveBufferBytes = this->host.limits.receiveBufferBytes;
    option.onClosure = [this](ConnectionClosure closure) { this->host.recordClosure(closure); };
    auto created = makeHttpServer(this->host.context, { this->host.settings.ip, this->port }, handle, option);
    if (!created.ok() && !this->isRequired) {
        LogEvent(LogLevel::Warning, "port-not-opened")
            .with("port", this->port)
            .with("reason", created.status().ToString());
        return absl::OkStatus();
    }
    if (!created.ok())
        return created.status();
    this->server = *created;
    return absl::OkStatus();
}

auto AuxiliaryPortComponent::stop() -> void
{
    if (this->server)
        this->server->closeIdle();
}

TargetProbeComponent::TargetProbeComponent(Host& host)
    : host(host)
    , timer(host.context)
{
}

auto TargetProbeComponent::start() -> absl::Status
{
    this->isRunning = std::make_shared<bool>(true);
    this->runProbes();
    return absl::OkStatus();
}

auto TargetProbeComponent::stop() -> void
{
    if (this->isRunning)
        *this->isRunning = false;
    this->timer.cancel();
}

auto TargetProbeComponent::runProbes() -> void
{
    startCoroutine(
        this->host.context, "target-probes", [this, running = this->isRunning](boost::asio::yield_context yield) {
            while (*running) {
                runContained("target-probes", [&] { this->host.gateway->probeTargets(yield); });
                auto error = boost::system::error_code {};
                this->timer.expires_after(probeInterval);
                if (*running)
                    this->timer.async_wait(yield[error]);
            }
        });
}

} // namespace citronloft
