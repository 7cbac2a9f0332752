/// @file
/// @brief Closed-loop load generator for one address: each connection has one request in flight.

#include <algorithm>
#include <iostream>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "citronloft/edge/http_client.hpp"

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    using namespace citronloft;
    auto address = std::string {};
    auto path = std::string {};
    auto key = std::string {};
    auto connections = 8;
    auto seconds = 3.0;
    auto options = po::options_description("closed_load");
    options.add_options()("address", po::value(&address), "IP number and port")("path", po::value(&path), "path")(
        "key", po::value(&key), "team key")("connections", po::value(&connections), "number of concurrent connections")(
        "seconds", po::value(&seconds), "duration in seconds");
    auto values = po::variables_map {};
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    auto context = boost::asio::io_context { 1 };
    const auto clock = SteadyClock {};
    const auto client = makeHttpClient(context, clock);
    const auto target = *parseAddress(address);
    auto request = HttpRequest { "GET", path, {}, {} };
    if (!key.empty())
        request.fields.set("Citronloft-Key", key);
    auto latencies = std::vector<double> {};
    auto failures = 0;
    const auto endsAt = clock.now() + std::chrono::milliseconds { static_cast<std::int64_t>(seconds * 1000) };
    for (auto i = 0; i < connections; ++i) {
        boost::asio::spawn(
            context,
            [&](boost::asio::yield_context yield) {
                while (clock.now() < endsAt) {
                    const auto startedAt = clock.now();
                    const auto exchange = client->exchange(
                        target, request, { .deadline = startedAt + std::chrono::seconds { 5 } }, yield);
                    if (exchange.error != ExchangeError::None || exchange.response.status != 200)
                        ++failures;
                    latencies.push_back(std::chrono::duration<double, std::milli>(clock.now() - startedAt).count());
                }
            },
            boost::asio::detached);
    }
    context.run();
    std::ranges::sort(latencies);
    const auto at = [&](double part) { return latencies[static_cast<std::size_t>(part * (latencies.size() - 1))]; };
    std::cout << nlohmann::json {
        { "per_second", static_cast<double>(latencies.size()) / seconds }, { "p50_ms", at(0.5) },
        { "p99_ms", at(0.99) }, { "failures", failures }
    }.dump() << "\n";
    return 0;
}
