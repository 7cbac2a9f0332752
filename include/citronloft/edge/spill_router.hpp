/// @file
/// @brief Forwards requests that this zone cannot run to entry hosts of other zones, within the limits on traffic
/// between regions.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "citronloft/base/metrics.hpp"
#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/spill.hpp"
#include "citronloft/fleet/fleet_host.hpp"

namespace citronloft {

/// @brief Options of a spill router.
struct SpillRouterOption {
    std::string zone;
    std::string fleetSecret;
    /// Maximum number of hosts to which one request is sent.
    std::size_t maxAttempts = 2;
    /// Pooled connections whose last response is older than this are not used for non-idempotent requests.
    Duration nonIdempotentMaxIdleTime = std::chrono::milliseconds { 300 };
    /// Estimated size of a response, charged to the link between regions before the response is known.
    std::int64_t expectedAnswerBytes = 2048;
};

/// @brief Forwards requests by at most one hop; the receiving host accepts or refuses them by its own headroom.
class SpillRouter {
public:
    SpillRouter(const Clock& clock, Metrics& metrics, FleetHost& fleet, std::shared_ptr<HttpClient> client,
        const Dialect& dialect, SpillRouterOption option);

    /// @brief Sends a request to hosts of other zones until one of them accepts it.
    /// @param localRefusal reason why this zone cannot run the request; returned if no host could be tried.
    auto forward(Call& call, ResultCode localRefusal, boost::asio::yield_context yield) -> CallResult;

    /// @brief Verifies the ticket of a forwarded request and sets the call's route and team.
    /// @return Answered if the request is accepted, otherwise the reason for the refusal.
    auto accept(Call& call) -> ResultCode;

private:
    auto forwardTo(Call& call, const HostEntry& host, boost::asio::yield_context yield) -> CallResult;
    auto chargeShift(const Call& call, const std::string& toRegion) -> bool;
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
