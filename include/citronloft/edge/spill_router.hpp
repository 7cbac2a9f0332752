/// @file
/// @brief Forwards requests that this zone or this host cannot run to other hosts, within the limits on traffic between
/// regions.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "citronloft/base/log_limiter.hpp"
#include "citronloft/base/metrics.hpp"
#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/spill.hpp"
#include "citronloft/edge/spill_candidates.hpp"
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
    /// Whether requests forwarded to other regions draw on the limits on traffic between them.
    bool chargesShifts = true;
};

/// @brief Reason and limits of forwarding one request because of a missing path.
struct PassOnOption {
    SpillReason reason = SpillReason::NoPath;
    /// Regions in which the request may run; empty for all.
    std::vector<std::string> regions;
    /// Maximum number of targets to which the request may still be sent.
    unsigned attempts = 1;
    /// Maximum number of hosts to which the request is sent.
    std::size_t maxHosts = 1;
};

/// @brief Forwards requests by at most one hop; the receiving host accepts or refuses them by its own headroom.
class SpillRouter {
public:
    SpillRouter(const Clock& clock, Metrics& metrics, FleetHost& fleet, std::shared_ptr<HttpClient> client,
        const Dialect& dialect, SpillRouterOption option);

    /// @brief Sends a request to hosts of other zones until one of them accepts it.
    /// @param localRefusal reason why this zone cannot run the request; returned if no host could be tried.
    /// @param attempts maximum number of targets to which the request may still be sent.
    auto forward(Call& call, ResultCode localRefusal, unsigned attempts, boost::asio::yield_context yield)
        -> CallResult;

    /// @brief Sends a request that was not sent to a target, or may be repeated, to a host that reaches targets. A host
    /// that could not run it is followed by the next one.
    /// @return the result; nothing if no host was found that reaches targets.
    auto passOn(Call& call, PassOnOption option, boost::asio::yield_context yield) -> std::optional<CallResult>;

    /// @brief Verifies the ticket of a forwarded request and sets the call's route, team and limit on attempts.
    /// @return Answered if the request is accepted, otherwise the reason for the refusal.
    auto accept(Call& call) -> ResultCode;

private:
    auto forwardTo(Call& call, const HostEntry& host, SpillReason reason, unsigned attempts,
        boost::asio::yield_context yield) -> CallResult;
    auto logForwarded(const Call& call, const HostEntry& host, SpillReason reason, const CallResult& result) -> void;
    auto chargeShift(const Call& call, const std::string& toRegion) -> bool;
    [[nodiscard]] auto candidates(const Call& call) const -> std::vector<HostEntry>;

    const Clock& clock;
    Metrics& metrics;
    FleetHost& fleet;
    std::shared_ptr<HttpClient> client;
    const Dialect& dialect;
    SpillRouterOption option;
    SpillSigner signer;
    SpillCandidates hostsWithPath;
    LogLimiter logLimiter;
};

} // namespace citronloft
