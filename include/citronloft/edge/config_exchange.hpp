/// @file
/// @brief Configuration and copies of the store from host to host over TCP: length-prefixed frames, authenticated under
/// the fleet's secret.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/fleet/zone_feed.hpp"

namespace citronloft {

/// @brief What a host answers its peers.
struct PeerAnswers {
    std::function<absl::StatusOr<ConfigUpdate>(const ConfigRequest&)> config;
    std::function<absl::StatusOr<ObjectBatch>(const FeedRequest&)> feed;
};

/// @brief Serves peers until it is stopped.
class ConfigServer {
public:
    virtual ~ConfigServer() = default;

    virtual auto stop() -> void = 0;
};

/// @brief Listens for peers' requests on `address`.
auto makeConfigServer(boost::asio::io_context& context, const Address& address, std::string secret, PeerAnswers answers)
    -> absl::StatusOr<std::shared_ptr<ConfigServer>>;

/// @brief Fetches configuration from peers' servers.
auto makeConfigFetcher(boost::asio::io_context& context, std::string secret) -> std::shared_ptr<ConfigFetcher>;

/// @brief Fetches copies of the store from peers' servers.
auto makeFeedFetcher(boost::asio::io_context& context, std::string secret) -> std::shared_ptr<FeedFetcher>;

} // namespace citronloft
