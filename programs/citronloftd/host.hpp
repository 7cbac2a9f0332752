/// @file
/// @brief Host of the daemon: creates its components and runs its lifecycle.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronloft/base/host_settings.hpp"
#include "citronloft/base/log_limiter.hpp"
#include "citronloft/base/metrics.hpp"
#include "citronloft/edge/gateway.hpp"
#include "citronloft/edge/peer_exchange.hpp"
#include "citronloft/edge/platform.hpp"
#include "citronloft/edge/supervisor.hpp"
#include "citronloft/edge/udp_transport.hpp"
#include "citronloft/policy/host_lifecycle.hpp"
#include "citronloft/policy/memory_trimmer.hpp"
#include "citronloft/policy/stop_window.hpp"
#include "resource_limits.hpp"

namespace citronloft {

/// @brief An entry host.
class Host {
public:
    /// @param onStopped called once, with the exit code, after the host has stopped.
    Host(boost::asio::io_context& context, HostSettings settings, std::function<void(int)> onStopped);
    ~Host();
    Host(const Host&) = delete;
    auto operator=(const Host&) -> Host& = delete;

    /// @brief Replaces the client for requests to targets and other hosts; to be called before start().
    auto useHttpClient(std::shared_ptr<HttpClient> client) -> void { this->httpClient = std::move(client); }

    /// @brief Sets whether this host reaches targets; see Gateway::setReachesTargets().
    auto setReachesTargets(bool reaches) -> void { this->gateway->setReachesTargets(reaches); }

    /// @brief Opens all sockets and starts all components.
    auto start() -> absl::Status;

    /// @brief Starts a planned stop; a second call expedites it.
    auto stop() -> void;

    /// @brief Applies the settings that can change at run time: retry limits and stop time.
    auto reload(const HostSettings& changed) -> void;

private:
    friend class FleetComponent;
    friend class ServiceComponent;
    friend class TargetProbeComponent;
    friend class AuxiliaryPortComponent;

    auto makeFleetDependencies() -> FleetHostDependencies;
    auto fleetOption() const -> FleetHostOption;
    auto gatewayOption() const -> GatewayOption;
    auto startDiscovery() -> void;
    auto recordEviction(EvictionReason reason) -> void;
    auto recordClosure(ConnectionClosure closure) -> void;
    auto addComponents() -> void;
    auto updateServingState() -> void;
    auto updateRetryBudget(TimePoint now) -> void;
    auto tickDiscovery(TimePoint now) -> void;
    [[nodiscard]] auto serveFeed(const FeedRequest& request) const -> absl::StatusOr<ObjectBatch>;
    [[nodiscard]] auto usesAdapter() const -> bool { return this->settings.adapter != "objects"; }
    auto onConfig(const std::shared_ptr<const ActiveConfig>& active) -> void;
    auto measureMemory(TimePoint now) -> void;
    auto onTick() -> void;
    auto advanceStop(TimePoint now) -> void;
    auto shutDown(int exitCode) -> void;
    [[nodiscard]] auto isDrained() const -> bool;
    [[nodiscard]] auto handleReady() const -> HttpResponse;
    auto handleStatus(const HttpRequest& request) -> HttpResponse;
    [[nodiscard]] auto handleExplain(const HttpRequest& request) const -> HttpResponse;
    [[nodiscard]] auto statusBody() const -> std::string;

    boost::asio::io_context& context;
    HostSettings settings;
    std::function<void(int)> onStopped;
    SteadyClock clock;
    Metrics metrics;
    std::uint64_t incarnation;
    std::unique_ptr<HostLifecycle> lifecycle;
    /// Bound on the bodies of all requests and answers; null if the settings state none.
    std::shared_ptr<BodyMemory> bodyMemory;
    ResourceLimits limits;
    /// Bound on what the connections of all ports hold; the same object as bodyMemory if the settings state the memory.
    std::shared_ptr<ConnectionBudget> connectionBudget;
    MemoryTrimmer memoryTrimmer;
    TimePoint nextMemoryMeasureAt {};
    LogLimiter connectionLogLimiter;
    Platform platform;
    std::shared_ptr<ZoneFeed> zoneFeed;
    std::unique_ptr<Discovery> discovery;
    std::shared_ptr<HostRegistry> registry;
    std::shared_ptr<UdpTransport> transport;
    std::unique_ptr<FleetHost> fleet;
    std::unique_ptr<Gateway> gateway;
    std::shared_ptr<HttpClient> httpClient;
    std::shared_ptr<HttpServer> service;
    TimePoint nextRetryUpdateAt {};
    std::unique_ptr<Supervisor> supervisor;
    TimePoint leavingSince {};
    StopWindow stopWindow { {} };
    bool isStopExpedited = false;
    /// True: the stopping host accepts no more connections.
    bool isServiceClosed = false;
    bool isShutDown = false;
};

} // namespace citronloft
