/// @file
/// @brief Loopback proxy that harms the connections it carries: late, reset, silent, or cut one way.

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

/// What happens to the connections of one listener.
struct Harm {
    std::int64_t delayMs = 0;
    /// 1: bytes towards the server vanish, as on a link that is cut one way.
    std::int64_t dropsRequests = 0;
    /// 1: bytes towards the client vanish.
    std::int64_t dropsAnswers = 0;
};

/// One carried connection.
struct Link {
    explicit Link(asio::io_context& context)
        : client(context)
        , server(context)
    {
    }

    Tcp::socket client;
    Tcp::socket server;
};

/// Carries one address to another port of the same IP number.
class Route : public std::enable_shared_from_this<Route> {
public:
    Route(asio::io_context& context, const Tcp::endpoint& listen, std::uint16_t serverPort)
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

    /// Resets every open connection.
    auto reset() -> void
    {
        auto ignored = boost::system::error_code {};
        for (const auto& link : this->links) {
            for (auto* socket : { &link->client, &link->server }) {
                socket->set_option(Tcp::socket::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }
    }

    Harm harm;

private:
    auto accept(asio::yield_context yield) -> void
    {
        while (true) {
            auto error = boost::system::error_code {};
            auto link = std::make_shared<Link>(this->context);
            this->acceptor.async_accept(link->client, yield[error]);
            if (error)
                continue;
            asio::spawn(
                this->context,
                [self = this->shared_from_this(), link](asio::yield_context inner) { self->carry(link, inner); },
                asio::detached);
        }
    }

    auto carry(const std::shared_ptr<Link>& link, asio::yield_context yield) -> void
    {
        auto error = boost::system::error_code {};
        link->server.async_connect(this->server, yield[error]);
        if (error)
            return;
        const auto place = this->links.insert(this->links.end(), link);
        asio::spawn(
            this->context,
            [self = this->shared_from_this(), link](
                asio::yield_context inner) { self->pump(link->server, link->client, self->harm.dropsAnswers, inner); },
            asio::detached);
        this->pump(link->client, link->server, this->harm.dropsRequests, yield);
        this->links.erase(place);
    }

    auto pump(Tcp::socket& from, Tcp::socket& to, const std::int64_t& drops, asio::yield_context yield) -> void
    {
        auto buffer = std::array<char, bufferBytes> {};
        auto error = boost::system::error_code {};
        while (!error) {
            const auto size = from.async_read_some(asio::buffer(buffer), yield[error]);
            if (error)
                break;
            if (this->harm.delayMs > 0)
                sleepFor(this->context, std::chrono::milliseconds { this->harm.delayMs }, yield);
            if (drops == 0)
                asio::async_write(to, asio::buffer(buffer, size), yield[error]);
        }
        auto ignored = boost::system::error_code {};
        to.shutdown(Tcp::socket::shutdown_send, ignored);
    }

    asio::io_context& context;
    Tcp::acceptor acceptor;
    Tcp::endpoint server;
    std::list<std::shared_ptr<Link>> links;
};

/// Routes by their listening address, with one control server for all.
class ProxyStandin {
public:
    explicit ProxyStandin(asio::io_context& context)
        : context(context)
    {
    }

    auto add(const Address& address, std::uint16_t serverPort) -> void
    {
        const auto endpoint = Tcp::endpoint(asio::ip::make_address(address.ip), address.port);
        auto route = std::make_shared<Route>(this->context, endpoint, serverPort);
        route->start();
        this->routes[formatAddress(address)] = route;
    }

    /// /control?address=IP:PORT&delay_ms=N&drop_requests=0|1&drop_answers=0|1&reset=1
    auto control(const HttpRequest& request) -> HttpResponse
    {
        auto response = HttpResponse {};
        const auto found = this->routes.find(std::string { queryValue(request.target, "address") });
        if (found == this->routes.end()) {
            response.status = 404;
            return response;
        }
        auto& route = *found->second;
        auto resets = std::int64_t { 0 };
        readKnob(request, "delay_ms", route.harm.delayMs);
        readKnob(request, "drop_requests", route.harm.dropsRequests);
        readKnob(request, "drop_answers", route.harm.dropsAnswers);
        readKnob(request, "reset", resets);
        if (resets > 0)
            route.reset();
        response.status = 200;
        return response;
    }

private:
    asio::io_context& context;
    std::map<std::string, std::shared_ptr<Route>> routes;
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
    options.add_options()("listen", po::value(&listen)->multitoken()->required(), "addresses to carry")(
        "server-port", po::value(&serverPort)->required(), "port of the servers, at the same IP numbers")(
        "control", po::value(&controlAddress)->required(), "address of the control requests");
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
