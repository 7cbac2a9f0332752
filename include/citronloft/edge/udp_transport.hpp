/// @file
/// @brief PeerTransport over sealed UDP datagrams.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "citronloft/base/counters.hpp"
#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief A transport that also receives.
class UdpTransport : public PeerTransport {
public:
    using Receive = std::function<void(const Address& from, const PeerMessage& message)>;

    /// @brief Starts to deliver messages.
    virtual auto start(Receive receive) -> void = 0;

    /// @brief Stops for good.
    virtual auto stop() -> void = 0;
};

/// @brief Binds a UDP socket.
/// @param secret shared by the fleet's hosts; `incarnation` names this host in its datagrams.
auto makeUdpTransport(boost::asio::io_context& context, const Address& address, const std::string& secret,
    std::uint64_t incarnation, Metrics& metrics) -> absl::StatusOr<std::shared_ptr<UdpTransport>>;

} // namespace citronloft
