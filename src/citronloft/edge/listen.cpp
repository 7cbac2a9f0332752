#include "citronloft/edge/listen.hpp"

namespace citronloft {

auto listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address) -> absl::Status
{
    try {
        const auto endpoint = boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error& error) {
        return absl::UnavailableError(formatAddress(address) + ": cannot listen: " + error.code().message());
    }
    return absl::OkStatus();
}

} // namespace citronloft
