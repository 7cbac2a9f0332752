/// @file
/// @brief Opens listening sockets.
#pragma once

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief Binds `acceptor` to `address` and listens; port 0 picks a free one.
/// @return Unavailable with address and reason if that failed.
auto listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address) -> absl::Status;

} // namespace citronloft
