/// @file
/// @brief Opens listening sockets.
#pragma once

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief Binds `acceptor` to `address` and starts listening; port 0 selects a free port.
/// @return Unavailable with the address and the system's error if that fails.
auto listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address) -> absl::Status;

} // namespace citronloft
