/// @file
/// @brief Offers requests that this zone can't run to entry hosts of other zones, within the limits on moving traffic.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "citronloft/base/counters.hpp"
#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/spill.hpp"
#include "citronloft/fleet/fleet_host.hpp"

namespace citronloft {

/// @brief Limits of forwarding.
struct SpillRouterOption {
    std::string zone;
    std::string fleetSecret;
    /// Hosts that one request is offered to.
    std::size_t greatestTries = 2;
    /// A pooled connection carries a non-idempotent request only if it carried an answer within this time.
    Duration provedWithin = std::chrono::milliseconds { 300 };
    /// Bytes that an answer is taken to need on a link between regions before it is known.
    std::int64_t expectedAnswerBytes = 2048;
};

/// @brief Forwards requests by one hop; the receiver decides by its own headroom.
class SpillRouter {
public:
    SpillRouter(const Clock& clock, Metrics& metrics, FleetHost& fleet, std::shared_ptr<HttpClient> client,
        const Dialect& dialect, SpillRouterOption option);

    /// @param localRefusal why this zone can't run the request; the result if nobody is asked.
    auto forward(Call& call, ResultCode localRefusal, boost::asio::yield_context yield) -> CallResult;

    /// @brief Checks a forwarded request's ticket and fills in route, team and deadline.
    /// @return Answered, or the reason for a refusal.
    auto accept(Call& call) -> ResultCode;

private:
    auto forwardTo(Call& call, const HostEntry& host, boost::asio::yield_context yield) -> CallResult;
    auto pay(const Call& call, const std::string& toRegion) -> bool;
    [[nodiscard]] auto candidates(const Call& call) const -> std::vector<HostEntry>;

    const Clock& clock;
    Metrics& metrics;
    FleetHost& fleet;
    std::shared_ptr<HttpClient> client;
    const Dialect& dialect;
    SpillRouterOption option;
    SpillSigner signer;
};

} // namespace citronloft
