/// @file
/// @brief The callers' side of a host: look-ups, keys, rates, idempotency keys, and requests to targets.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/base/counters.hpp"
#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/lookup_service.hpp"
#include "citronloft/edge/pool_admission.hpp"
#include "citronloft/edge/spill_router.hpp"
#include "citronloft/edge/target_prober.hpp"
#include "citronloft/fleet/fleet_host.hpp"
#include "citronloft/policy/retry.hpp"

namespace citronloft {

/// @brief Order of waiting requests.
enum class QueueStrategy : std::uint8_t { Fair, Fifo };

/// @brief Options of the callers' side.
struct GatewayOption {
    std::string zone;
    std::string fleetSecret;
    QueueStrategy queue = QueueStrategy::Fair;
    FairQueueOption queueLimits;
    TargetPoolOption targets;
    RetryOption retry;
    /// A pooled connection carries a non-idempotent request only if it carried an answer within this time.
    Duration provedWithin = std::chrono::milliseconds { 300 };
    /// Part of a pool's slots that spilled requests may not take.
    double reservedForLocal = 0.1;
};

/// @brief Handles the requests of callers and of other hosts.
class Gateway {
public:
    Gateway(
        boost::asio::io_context& context, const Clock& clock, Metrics& metrics, FleetHost& fleet, GatewayOption option);

    /// @brief Puts a configuration in force for all requests that arrive from now on.
    auto setConfig(std::shared_ptr<const ActiveConfig> active) -> void;

    /// @brief Answers one request.
    auto handle(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> HttpResponse;

    /// @brief Runs queues, boundaries and headroom reports; to be called every 20 ms or so.
    auto tick() -> void;

    /// @brief Reads every target's own report once; to be called about once a second.
    auto probeTargets(boost::asio::yield_context yield) -> void;

    /// @return requests being handled.
    [[nodiscard]] auto inFlight() const -> std::size_t { return this->running; }

    /// @return the admission of each pool, for status pages.
    [[nodiscard]] auto pools() const -> const std::map<std::string, std::unique_ptr<PoolAdmission>>&
    {
        return this->admissions;
    }

    [[nodiscard]] auto lookups() const -> const LookupService& { return this->lookup; }

private:
    /// Answer of the claim registry.
    struct ClaimResult {
        ClaimOutcome outcome = ClaimOutcome::Unavailable;
        Claim claim;
    };

    auto dispatch(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> CallResult;
    auto handleCaller(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto handleSpilled(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto authorize(Call& call) const -> ResultCode;
    auto setDeadline(Call& call) const -> void;
    auto admitRate(const Call& call, boost::asio::yield_context yield) -> RateDecision;
    [[nodiscard]] auto isStillAuthorized(const Call& call) const -> bool;
    auto claimKeyOf(const Call& call, boost::asio::yield_context yield) -> std::optional<ClaimResult>;
    auto claimAndRun(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto runAttempts(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto runOnce(Call& call, PoolAdmission& admission, const std::string& target, bool mayRetry,
        boost::asio::yield_context yield) -> CallResult;
    auto finish(CallResult result, TimePoint startedAt) -> HttpResponse;

    boost::asio::io_context& context;
    const Clock& clock;
    Metrics& metrics;
    FleetHost& fleet;
    GatewayOption option;
    LookupService lookup;
    RetryBudget retryBudget;
    std::shared_ptr<HttpClient> client;
    TargetProber prober;
    SpillRouter spillRouter;
    std::shared_ptr<const Snapshot> snapshot;
    std::map<std::string, std::unique_ptr<PoolAdmission>> admissions;
    std::size_t running = 0;
};

} // namespace citronloft
