/// @file
/// @brief HTTP client whose connections to some addresses can be cut.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "citronloft/edge/http_client.hpp"

namespace citronloft {

/// @brief What a cut does to connections.
enum class ConnectionCut : std::uint8_t {
    None,
    /// New connections are not established in time, and requests on open ones are lost after a second.
    Hang,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, while open ones are not affected.
    RefuseNew,
    /// Connections are opened, and nothing is received on them.
    Silence,
};

/// @brief Passes exchanges on to another client, except those with addresses that are cut off.
class CutHttpClient final : public HttpClient {
public:
    CutHttpClient(boost::asio::io_context& context, const Clock& clock, std::shared_ptr<HttpClient> client)
        : context(context)
        , clock(clock)
        , client(std::move(client))
    {
    }

    auto exchange(const Address& address, const HttpRequest& request, const ExchangeOption& option,
        boost::asio::yield_context yield) -> Exchange override
    {
        ++this->exchangeCounts[address];
        if (const auto delay = this->startDelays.find(address); delay != this->startDelays.end())
            this->waitUntil(this->clock.now() + delay->second, yield);
        const auto hasConnection = this->client->openConnections(address) > 0;
        const auto isCut = this->cut != ConnectionCut::None && this->cutAddresses.contains(address);
        if (!isCut || (this->cut == ConnectionCut::RefuseNew && hasConnection)) {
            const auto redirect = this->redirects.find(address);
            const auto& actual = redirect == this->redirects.end() ? address : redirect->second;
            auto result = this->client->exchange(actual, request, option, yield);
            // Answers that arrive after the start of the cut are lost with their connections.
            const auto isLost = this->cutAddresses.contains(address)
                && (this->cut == ConnectionCut::Hang || this->cut == ConnectionCut::Reset);
            return isLost ? Exchange { ExchangeError::ConnectionLost, {}, true, result.reused } : result;
        }
        ++this->cutExchanges;
        if (this->cut == ConnectionCut::Silence) {
            this->waitUntil(option.deadline, yield);
            return { ExchangeError::AnswerTimeout, {}, true, hasConnection };
        }
        if (this->cut == ConnectionCut::Hang)
            this->waitUntil(std::min(option.deadline, this->clock.now() + hangTime(hasConnection)), yield);
        if (hasConnection)
            this->client->closeIdle(address);
        return hasConnection ? Exchange { ExchangeError::ConnectionLost, {}, true, true }
                             : Exchange { errorOfNew(this->cut), {}, false, false };
    }

    auto connect(const Address& address, TimePoint deadline, boost::asio::yield_context yield) -> ConnectResult override
    {
        const auto opens = this->cut == ConnectionCut::None || this->cut == ConnectionCut::Silence;
        if (opens || !this->cutAddresses.contains(address))
            return this->client->connect(address, deadline, yield);
        if (this->cut == ConnectionCut::Hang)
            this->waitUntil(std::min(deadline, this->clock.now() + hangTime(false)), yield);
        return this->cut == ConnectionCut::Hang ? ConnectResult::Failed : ConnectResult::Refused;
    }

    auto closeIdle(const Address& address) -> void override { this->client->closeIdle(address); }

    auto forget(const Address& address) -> void override { this->client->forget(address); }

    [[nodiscard]] auto openConnections(const Address& address) const -> std::size_t override
    {
        return this->client->openConnections(address);
    }

    std::set<Address> cutAddresses;
    ConnectionCut cut = ConnectionCut::None;
    /// Exchanges that failed because of the cut.
    int cutExchanges = 0;
    /// Exchanges by address, including those that failed.
    std::map<Address, int> exchangeCounts;
    /// Time that passes before a request to an address is sent, as when opening its connection takes long.
    std::map<Address, Duration> startDelays;
    /// Addresses whose requests are sent to another address instead.
    std::map<Address, Address> redirects;

private:
    /// Timeouts of connections to targets: without an acknowledgement, and until they are established.
    static auto hangTime(bool isOpen) -> Duration
    {
        return isOpen ? std::chrono::milliseconds { 1000 } : std::chrono::milliseconds { 400 };
    }

    static auto errorOfNew(ConnectionCut cut) -> ExchangeError
    {
        return cut == ConnectionCut::Hang ? ExchangeError::ConnectTimeout : ExchangeError::ConnectFailed;
    }

    auto waitUntil(TimePoint end, boost::asio::yield_context yield) -> void
    {
        auto error = boost::system::error_code {};
        auto timer = boost::asio::steady_timer(this->context, end - this->clock.now());
        timer.async_wait(yield[error]);
    }

    boost::asio::io_context& context;
    const Clock& clock;
    std::shared_ptr<HttpClient> client;
};

} // namespace citronloft
