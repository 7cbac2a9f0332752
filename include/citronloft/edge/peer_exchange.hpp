/// @file
/// @brief Transfers configuration and stored objects between hosts over TCP, in length-prefixed frames that are
/// authenticated with the fleet's secret.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/fleet/zone_feed.hpp"

namespace citronloft {

/// @brief Handlers for the requests of peers.
struct PeerHandlers {
    std::function<absl::StatusOr<ConfigUpdate>(const ConfigRequest&)> config;
    std::function<absl::StatusOr<ObjectBatch>(const FeedRequest&)> feed;
};

/// @brief Limits of a peer server.
struct PeerServerOption {
    /// Maximum number of connections. At the limit, the oldest that has not proved to be a host's is closed for a new
    /// one.
    std::size_t connectionLimit = std::numeric_limits<std::size_t>::max();
    /// Called when the limit is reached.
    std::function<void()> onLimit {};
};

/// @brief Server for peers' configuration and feed requests.
class PeerServer {
public:
    virtual ~PeerServer() = default;

    /// @brief Stops accepting connections.
    virtual auto stop() -> void = 0;
};

/// @brief Starts a server for peers' requests on `address`.
/// @return Unavailable if the address cannot be bound.
auto makePeerServer(boost::asio::io_context& context, const Address& address, std::string secret, PeerHandlers handlers,
    PeerServerOption option = {}) -> absl::StatusOr<std::shared_ptr<PeerServer>>;

/// @return a client that fetches configuration from peers.
auto makeConfigFetcher(boost::asio::io_context& context, std::string secret) -> std::shared_ptr<ConfigFetcher>;

/// @return a client that fetches stored objects from peers.
auto makeFeedFetcher(boost::asio::io_context& context, std::string secret) -> std::shared_ptr<FeedFetcher>;

} // namespace citronloft
