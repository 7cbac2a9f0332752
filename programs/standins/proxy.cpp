/// @file
/// @brief Loopback TCP proxy that injects connection faults: delay, reset, and loss of data in one or both directions.

#include <iostream>
#include <list>
#include <map>

#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>

#include "citronloft/edge/http_server.hpp"
#include "standin_control.hpp"

namespace citronloft {

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using Tcp = asio::ip::tcp;

constexpr auto bufferBytes = std::size_t { 16 * 1024 };

/// Faults injected into all connections of one listener.
struct ConnectionFaults {
    std::int64_t delayMs = 0;
    /// 1: data from client to server is dropped, as on a link that fails in one direction.
    std::int64_t dropsRequests = 0;
    /// 1: data from server to client is dropped.
    std::int64_t dropsAnswers = 0;
};

/// A proxied connection.
struct ProxiedConnection {
    explicit ProxiedConnection(asio::io_context& context)
        : client(context)
        , server(context)
    {
    }

    Tcp::socket client;
    Tcp::socket server;
};

/// Forwards connections to one address to another port of the same IP address.
class PortForwarder : public std::enable_shared_from_this<PortForwarder> {
public:
    PortForwarder(asio::io_context& context, const Tcp::endpoint& listen, std::uint16_t serverPort)
        : context(context)
        , acceptor(context, listen)
        , server(listen.address(), serverPort)
    {
    }

    auto start() -> void
    {
        asio::spawn(
            this->context, [self = this->shared_from_this()](asio::yield_context yield) { self->accept(yield); },
            asio::detached);
    }

    /// Resets all open connections.
    auto reset() -> void
    {
        auto ignored = boost::system::error_code {};
        for (const auto& connection : this->connections) {
            for (auto* socket : { &connection->client, &connection->server }) {
                socket->set_option(Tcp::socket::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }
    }

    ConnectionFaults faults;

private:
    auto accept(asio::yield_context yield) -> void
    {
        while (true) {
            auto error = boost::system::error_code {};
            auto connection = std::make_shared<ProxiedConnection>(this->context);
            this->acceptor.async_accept(connection->client, yield[error]);
            if (error)
                continue;
            asio::spawn(
                this->context,
                [self = this->shared_from_this(), connection](
                    asio::yield_context inner) { self->relay(connection, inner); },
                asio::detached);
        }
    }

    auto relay(const std::shared_ptr<ProxiedConnection>& connection, asio::yield_context yield) -> void
    {
        auto error = boost::system::error_code {};
        connection->server.async_connect(this->server, yield[error]);
        if (error)
            return;
        const auto position = this->connections.insert(this->connections.end(), connection);
        asio::spawn(
            this->context,
            [self = this->shared_from_this(), connection](asio::yield_context inner) {
                self->relayBytes(connection->server, connection->client, self->faults.dropsAnswers, inner);
            },
            asio::detached);
        this->relayBytes(connection->client, connection->server, this->faults.dropsRequests, yield);
        this->connections.erase(position);
    }

    auto relayBytes(Tcp::socket& from, Tcp::socket& to, const std::int64_t& dropsBytes, asio::yield_context yield)
        -> void
    {
        auto buffer = std::array<char, bufferBytes> {};
        auto error = boost::system::error_code {};
        while (!error) {
            const auto size = from.async_read_some(asio::buffer(buffer), yield[error]);
            if (error)
                break;
            if (this->faults.delayMs > 0)
                sleepFor(this->context, std::chrono::milliseconds { this->faults.delayMs }, yield);
            if (dropsBytes == 0)
                asio::async_write(to, asio::buffer(buffer, size), yield[error]);
        }
        auto ignored = boost::system::error_code {};
        to.shutdown(Tcp::socket::shutdown_send, ignored);
    }

    asio::io_context& context;
    Tcp::acceptor acceptor;
    Tcp::endpoint server;
    std::list<std::shared_ptr<ProxiedConnection>> connections;
};

/// Port forwarders by listening address, controlled through one HTTP server.
class ProxyStandin {
public:
    explicit ProxyStandin(asio::io_context& context)
        : context(context)
    {
    }

    auto add(const Address& address, std::uint16_t serverPort) -> void
    {
        const auto endpoint = Tcp::endpoint(asio::ip::make_address(address.ip), address.port);
        auto forwarder = std::make_shared<PortForwarder>(this->context, endpoint, serverPort);
        forwarder->start();
        this->forwarders[formatAddress(address)] = forwarder;
    }

    /// Handles /control?address=IP:PORT&delay_ms=N&drop_requests=0|1&drop_answers=0|1&reset=1
    auto control(const HttpRequest& request) -> HttpResponse
    {
        auto response = HttpResponse {};
        const auto found = this->forwarders.find(std::string { queryValue(request.target, "address") });
        if (found == this->forwarders.end()) {
            response.status = 404;
            return response;
        }
        auto& forwarder = *found->second;
        auto resetFlag = std::int64_t { 0 };
        readIntegerParameter(request, "delay_ms", forwarder.faults.delayMs);
        readIntegerParameter(request, "drop_requests", forwarder.faults.dropsRequests);
        readIntegerParameter(request, "drop_answers", forwarder.faults.dropsAnswers);
        readIntegerParameter(request, "reset", resetFlag);
        if (resetFlag > 0)
            forwarder.reset();
        response.status = 200;
        return response;
    }

private:
    asio::io_context& context;
    std::map<std::string, std::shared_ptr<PortForwarder>> forwarders;
};

} // namespace

} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    using namespace citronloft;
    auto listen = std::vector<std::string> {};
    auto controlAddress = std::string {};
    auto serverPort = std::uint16_t { 0 };
    auto options = po::options_description("standin_proxy");
    options.add_options()("listen", po::value(&listen)->multitoken()->required(), "addresses to listen on")(
        "server-port", po::value(&serverPort)->required(), "port of the servers, on the same IP addresses")(
        "control", po::value(&controlAddress)->required(), "address for control requests");
    auto values = po::variables_map {};
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    auto context = boost::asio::io_context { 1 };
    auto proxy = ProxyStandin(context);
    for (const auto& text : listen)
        proxy.add(*parseAddress(text), serverPort);
    const auto server = makeHttpServer(context, *parseAddress(controlAddress),
        [&](HttpRequest& request, CallerContext&, boost::asio::yield_context) { return proxy.control(request); });
    if (!server.ok()) {
        std::cerr << "standin_proxy: " << server.status().message() << "\n";
        return 1;
    }
    auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
