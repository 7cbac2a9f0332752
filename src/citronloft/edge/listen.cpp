#include "citronloft/edge/listen.hpp"

namespace citronloft {

auto listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Address& address, std::size_t receiveBufferBytes)
    -> absl::Status
{
    try {
        const auto endpoint = boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        if (receiveBufferBytes > 0) {
            // Accepted connections inherit it, those that wait to be accepted included.
            using ReceiveBuffer = boost::asio::socket_base::receive_buffer_size;
            acceptor.set_option(ReceiveBuffer(static_cast<int>(receiveBufferBytes)));
        }
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error& error) {
        return absl::UnavailableError(formatAddress(address) + ": cannot listen: " + error.code().message());
    }
    return absl::OkStatus();
}

} // namespace citronloft
