#include "citronloft/edge/udp_transport.hpp"

#include <array>

#include <boost/asio/ip/udp.hpp>

#include "citronloft/edge/coroutine.hpp"
#include "citronloft/fleet/sealed_datagram.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

auto dropReason(const absl::Status& status) -> std::string_view
{
    if (absl::IsPermissionDenied(status))
        return "reason=\"not-authentic\"";
    if (absl::IsAlreadyExists(status))
        return "reason=\"replayed\"";
    return "reason=\"malformed\"";
}

class AsioUdpTransport final : public UdpTransport, public std::enable_shared_from_this<AsioUdpTransport> {
public:
    AsioUdpTransport(asio::io_context& context, const std::string& secret, std::uint64_t incarnation, Metrics& metrics)
        : socket(context)
        , sealer(secret, incarnation)
        , metrics(metrics)
    {
    }

    auto open(const Address& address) -> absl::Status
    {
        try {
            const auto endpoint = Udp::endpoint(asio::ip::make_address(address.ip), address.port);
            this->socket.open(endpoint.protocol());
            this->socket.set_option(asio::socket_base::reuse_address(true));
            this->socket.bind(endpoint);
            this->socket.non_blocking(true);
        } catch (const boost::system::system_error& error) {
            return absl::UnavailableError(formatAddress(address) + "/udp: cannot bind: " + error.code().message());
        }
        return absl::OkStatus();
    }

    auto start(MessageHandler handler) -> void override
    {
        this->onMessage = std::move(handler);
        this->receiveNext();
    }

    auto stop() -> void override
    {
        auto ignored = boost::system::error_code {};
        this->socket.close(ignored);
    }

    auto send(const Address& to, const PeerMessage& message) -> void override
    {
        const auto datagram = this->sealer.seal(message);
        if (!datagram.ok()) {
            this->metrics.count("citronloft_peer_send_failures_total", "reason=\"too-long\"");
            return;
        }
        auto error = boost::system::error_code {};
        const auto ip = asio::ip::make_address(to.ip, error);
        if (!error)
            this->socket.send_to(asio::buffer(*datagram), Udp::endpoint(ip, to.port), 0, error);
        if (error)
            this->metrics.count("citronloft_peer_send_failures_total", "reason=\"network\"");
        this->metrics.count("citronloft_peer_bytes_total", "direction=\"sent\"", datagram->size());
        this->metrics.count("citronloft_peer_messages_total", "direction=\"sent\"");
    }

private:
    auto receiveNext() -> void
    {
        this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (error == asio::error::operation_aborted || !self->socket.is_open())
                    return;
                if (!error)
                    runContained("datagram", [&] { self->deliver(size); });
                self->receiveNext();
            });
    }

    auto deliver(std::size_t size) -> void
    {
        this->metrics.count("citronloft_peer_bytes_total", "direction=\"received\"", size);
        this->metrics.count("citronloft_peer_messages_total", "direction=\"received\"");
        const auto message = this->sealer.open(std::string { this->buffer.data(), size });
        if (!message.ok()) {
            this->metrics.count("citronloft_peer_messages_dropped_total", dropReason(message.status()));
            return;
        }
        this->onMessage({ this->sender.address().to_string(), this->sender.port() }, *message);
    }

    Udp::socket socket;
    DatagramSealer sealer;
    Metrics& metrics;
    MessageHandler onMessage;
    Udp::endpoint sender;
    std::array<char, maxDatagramBytes + 1> buffer {};
};

} // namespace

auto makeUdpTransport(boost::asio::io_context& context, const Address& address, const std::string& secret,
    std::uint64_t incarnation, Metrics& metrics) -> absl::StatusOr<std::shared_ptr<UdpTransport>>
{
    auto transport = std::make_shared<AsioUdpTransport>(context, secret, incarnation, metrics);
    if (const auto status = transport->open(address); !status.ok())
        return status;
    return transport;
}

} // namespace citronloft
