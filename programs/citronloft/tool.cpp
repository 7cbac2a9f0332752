#include "tool.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include <boost/asio/detached.hpp>

#include "citronloft/edge/http_object_store.hpp"

namespace citronloft {

namespace {

constexpr auto statusTimeout = std::chrono::milliseconds { 1000 };

auto readStatus(Tool& tool, HttpClient& client, const Address& address, boost::asio::yield_context yield)
    -> std::optional<nlohmann::json>
{
    const auto request = HttpRequest { "GET", "/status", {}, {} };
    const auto exchange = client.exchange(address, request, { .deadline = tool.clock.now() + statusTimeout }, yield);
    auto status = nlohmann::json::parse(exchange.response.body, nullptr, false);
    if (exchange.error != ExchangeError::None || !status.is_object())
        return std::nullopt;
    return status;
}

} // namespace

auto Tool::store() -> std::shared_ptr<ObjectStore>
{
    const auto address = parseAddress(this->platform);
    if (!address.ok()) {
        printError("--platform is missing or malformed; expected IP address and port (IP:PORT)", ExitCode::Usage);
        return nullptr;
    }
    auto option = HttpObjectStoreOption {};
    option.address = *address;
    // Effectively disables the circuit breaker: the tool makes few calls and handles each failure itself.
    option.failuresToOpen = 1'000'000;
    return makeHttpObjectStore(this->context, this->clock, this->metrics, option);
}

auto Tool::run(const std::function<void(boost::asio::yield_context)>& action) -> void
{
    boost::asio::spawn(
        this->context, [&](boost::asio::yield_context yield) { action(yield); }, boost::asio::detached);
    this->context.restart();
    this->context.run();
}

auto Tool::print(const nlohmann::json& value, const std::string& text) const -> void
{
    if (this->json)
        std::cout << value.dump(2) << "\n";
    else
        std::cout << text;
}

auto printError(const std::string& reason, ExitCode code) -> ExitCode
{
    std::cerr << "citronloft: " << reason << "\n";
    return code;
}

auto readTextFile(const std::string& path) -> std::optional<std::string>
{
    auto file = std::ifstream(path, std::ios::binary);
    if (!file) {
        printError("cannot read " + path, ExitCode::Usage);
        return std::nullopt;
    }
    auto text = std::ostringstream {};
    text << file.rdbuf();
    return std::move(text).str();
}

auto replaceFileAtomically(const std::string& path, const std::string& text) -> bool
{
    const auto temporary = path + ".new";
    {
        auto file = std::ofstream(temporary, std::ios::binary);
        file << text;
        if (!file.flush())
            return false;
    }
    return std::rename(temporary.c_str(), path.c_str()) == 0;
}

auto readFleetStatus(Tool& tool) -> std::vector<nlohmann::json>
{
    auto statuses = std::vector<nlohmann::json> {};
    auto client = makeHttpClient(tool.context, tool.clock);
    tool.run([&](boost::asio::yield_context yield) {
        auto visited = std::set<std::string> { tool.statusFrom };
        auto pending = std::vector<std::string> { tool.statusFrom };
        while (!pending.empty()) {
            const auto address = parseAddress(pending.back());
            pending.pop_back();
            if (!address.ok())
                continue;
            auto status = readStatus(tool, *client, *address, yield);
            if (!status)
                continue;
            for (const auto* list : { "zone_peers", "remote_hosts" }) {
                for (const auto& host : (*status)[list]) {
                    if (host.contains("status") && visited.insert(host["status"]).second)
                        pending.push_back(host["status"]);
                }
            }
            statuses.push_back(*std::move(status));
        }
    });
    return statuses;
}

} // namespace citronloft
