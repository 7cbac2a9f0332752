/// @file
/// @brief The daemon's supervised components.
#pragma once

#include "host.hpp"

namespace citronloft {

/// @brief Ticks the fleet components and receives peers' messages and configuration requests.
class FleetComponent final : public Component {
public:
    explicit FleetComponent(Host& host);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    auto scheduleTick() -> void;

    Host& host;
    boost::asio::steady_timer timer;
    std::shared_ptr<ConfigServer> configServer;
};

/// @brief The callers' port.
class ServiceComponent final : public Component {
public:
    explicit ServiceComponent(Host& host);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    Host& host;
};

/// @brief A port beside the callers' one: status pages, readiness or look-ups.
class PortComponent final : public Component {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&, const CallerContext&)>;

    /// @param isNeeded false: a port that is taken is logged, and the host starts without it.
    PortComponent(Host& host, std::uint16_t port, bool isNeeded, Handler handler);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    Host& host;
    std::uint16_t port;
    bool isNeeded;
    Handler handler;
    std::shared_ptr<HttpServer> server;
};

/// @brief Reads the targets' own reports.
class ProbeComponent final : public Component {
public:
    explicit ProbeComponent(Host& host);

    auto start() -> absl::Status override;
    auto stop() -> void override;

private:
    auto schedule() -> void;

    Host& host;
    boost::asio::steady_timer timer;
    std::shared_ptr<bool> isRunning;
};

} // namespace citronloft
