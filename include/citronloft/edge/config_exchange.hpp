/// @file
/// @brief Configuration from host to host over TCP: length-prefixed frames, authenticated under the fleet's secret.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "citronloft/fleet/config_follower.hpp"

namespace citronloft {

/// @brief Serves configuration to peers until it is stopped.
class ConfigServer {
public:
    using Serve = std::function<absl::StatusOr<ConfigUpdate>(const ConfigRequest&)>;

    virtual ~ConfigServer() = default;

    virtual auto stop() -> void = 0;
};

/// @brief Listens for peers' requests on `address`.
auto makeConfigServer(boost::asio::io_context& context, const Address& address, std::string secret,
    ConfigServer::Serve serve) -> absl::StatusOr<std::shared_ptr<ConfigServer>>;

/// @brief Fetches configuration from peers' servers.
auto makeConfigFetcher(boost::asio::io_context& context, std::string secret) -> std::shared_ptr<ConfigFetcher>;

} // namespace citronloft
