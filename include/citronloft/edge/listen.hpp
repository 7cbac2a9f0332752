/// @file
/// @brief Opens listening sockets.
#pragma once

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief Binds `acceptor` to `address` and starts listening; port 0 selects a free port.
/// @param receiveBufferBytes receive buffer of each connection; 0 keeps the system's default. The system holds up to
/// one and a half times as many unread bytes.
/// @return Unavailable with the address and the system's error if that fails.
auto listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address, std::size_t receiveBufferBytes = 0)
    -> absl::Status;

} // namespace citronloft
