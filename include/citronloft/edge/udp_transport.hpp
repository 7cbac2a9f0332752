/// @file
/// @brief PeerTransport over authenticated UDP datagrams.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "citronloft/base/metrics.hpp"
#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief Transport that sends and receives peer messages.
class UdpTransport : public PeerTransport {
public:
    using MessageHandler = std::function<void(const Address& from, const PeerMessage& message)>;

    /// @brief Starts receiving; `receive` is called for each authentic message.
    virtual auto start(MessageHandler receive) -> void = 0;

    /// @brief Closes the socket; the transport cannot be restarted.
    virtual auto stop() -> void = 0;
};

/// @brief Creates a transport with a UDP socket bound to `address`.
/// @param secret shared by all hosts of the fleet.
/// @param incarnation identifies this host in its datagrams.
/// @return Unavailable if the address cannot be bound.
auto makeUdpTransport(boost::asio::io_context& context, const Address& address, const std::string& secret,
    std::uint64_t incarnation, Metrics& metrics) -> absl::StatusOr<std::shared_ptr<UdpTransport>>;

} // namespace citronloft
