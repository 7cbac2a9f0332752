/// @file
/// @brief Hostile clients of all kinds, which come back whenever their connection ends.

#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include <boost/program_options.hpp>

#include "citronloft/base/address.hpp"
#include "fakes/hostile_crowd.hpp"

namespace citronloft {

namespace {

constexpr auto turnInterval = std::chrono::milliseconds { 10 };

struct CrowdOption {
    std::vector<std::string> addresses;
    std::string path = "/";
    std::string key;
    std::size_t clients = 100;
    double seconds = 3;
};

auto runCrowd(const CrowdOption& option) -> int
{
    const auto makeHead = [&](const std::string& method, std::size_t /*number*/) {
        return method + " " + option.path + " HTTP/1.1\r\nHost: x\r\nCitronloft-Key: " + option.key + "\r\n";
    };
    auto clients = std::vector<std::unique_ptr<HostileClient>> {};
    for (auto number = std::size_t { 0 }; number < option.clients; ++number) {
        const auto address = parseAddress(option.addresses[number % option.addresses.size()]);
        if (!address.ok()) {
            std::cerr << "standin_crowd: " << address.status().message() << "\n";
            return 2;
        }
        auto behavior = mixedBehavior(makeHead, number);
        behavior.returns = true;
        clients.push_back(std::make_unique<HostileClient>(*address, std::move(behavior)));
    }
    const auto end = std::chrono::steady_clock::now()
        + std::chrono::milliseconds { static_cast<std::int64_t>(option.seconds * 1000) };
    while (std::chrono::steady_clock::now() < end) {
        for (const auto& client : clients)
            client->advance();
        std::this_thread::sleep_for(turnInterval);
    }
    return 0;
}

} // namespace

} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    auto option = citronloft::CrowdOption {};
    auto options = boost::program_options::options_description("standin_crowd - hostile clients");
    options.add_options()("address", boost::program_options::value(&option.addresses)->multitoken()->required(),
        "addresses to attack")("path", boost::program_options::value(&option.path), "path of the requests")("key",
        boost::program_options::value(&option.key),
        "key of a team")("clients", boost::program_options::value(&option.clients), "number of clients")(
        "seconds", boost::program_options::value(&option.seconds), "length of the attack");
    auto values = boost::program_options::variables_map {};
    try {
        boost::program_options::store(boost::program_options::parse_command_line(argc, argv, options), values);
        boost::program_options::notify(values);
    } catch (const boost::program_options::error& error) {
        std::cerr << "standin_crowd: " << error.what() << "\n";
        return 2;
    }
    return citronloft::runCrowd(option);
}
