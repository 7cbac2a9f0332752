/// @file
/// @brief Supervised components of the daemon.
#pragma once

#include "citronloft/base/log_limiter.hpp"
#include "host.hpp"

namespace citronloft {

/// @brief Runs the periodic work of the host, and receives messages and configuration requests of peers.
class FleetComponent final : public Component {
public:
    explicit FleetComponent(Host& host);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    auto scheduleTick() -> void;
    auto recordLoopDelay(Duration delay) -> void;

    Host& host;
    boost::asio::steady_timer timer;
    LogLimiter logLimiter;
    std::shared_ptr<PeerServer> configServer;
};

/// @brief Serves the callers' port.
class ServiceComponent final : public Component {
public:
    explicit ServiceComponent(Host& host);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    Host& host;
};

/// @brief Serves an additional HTTP port: status pages, readiness or look-ups.
class AuxiliaryPortComponent final : public Component {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&, const CallerContext&)>;

    /// @param isRequired false: if the port cannot be opened, a warning is logged and the host starts without it.
    AuxiliaryPortComponent(Host& host, std::uint16_t port, bool isRequired, Handler handler);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    Host& host;
    std::uint16_t port;
    bool isRequired;
    Handler handler;
    std::shared_ptr<HttpServer> server;
};

/// @brief Polls the health reports of the targets.
class TargetProbeComponent final : public Component {
public:
    explicit TargetProbeComponent(Host& host);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    auto runProbes() -> void;

    Host& host;
    boost::asio::steady_timer timer;
    std::shared_ptr<bool> isRunning;
};

} // namespace citronloft
