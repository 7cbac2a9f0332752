#include "citronloft/edge/peer_exchange.hpp"

#include <list>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

/// Guards against silent connections that keep the other hosts from fetching a configuration.
TEST(PeerServerTest, HostIsAnsweredWhileSilentConnectionsReachTheLimit)
{
    constexpr auto limit = std::size_t { 4 };
    const auto secret = std::string { "a secret of sixteen or more" };
    auto context = asio::io_context {};
    auto reached = 0;
    auto option = PeerServerOption { limit, [&] { ++reached; } };
    auto handlers = PeerHandlers { [](const ConfigRequest&) { return ConfigUpdate {}; },
        [](const FeedRequest&) { return absl::UnavailableError("not in use"); } };
    // A network for each process, so that concurrent test runs do not collide.
    constexpr auto firstNetwork = 30;
    constexpr auto networks = 200;
    const auto address = Address { "127." + std::to_string(firstNetwork + getpid() % networks) + ".1.9", 18571 };
    auto server = makePeerServer(context, address, secret, std::move(handlers), std::move(option));
    ASSERT_TRUE(server.ok());
    auto silent = std::list<asio::ip::tcp::socket> {};
    for (auto i = std::size_t { 0 }; i < 3 * limit; ++i) {
        silent.emplace_back(context).connect({ asio::ip::make_address(address.ip), address.port });
        context.run_for(20ms);
    }
    EXPECT_GE(reached, static_cast<int>(2 * limit));
    auto fetched = std::optional<bool> {};
    makeConfigFetcher(context, secret)->fetch(address, ConfigRequest {}, [&](const auto& update) {
        fetched = update.ok();
    });
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!fetched && std::chrono::steady_clock::now() < end)
        context.run_one_for(100ms);
    EXPECT_EQ(fetched, true);
}

} // namespace
} // namespace citronloft
