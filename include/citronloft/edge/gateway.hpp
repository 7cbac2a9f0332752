/// @file
/// @brief The callers' side of a host: look-ups, keys, rates, idempotency keys, and requests to targets.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <pcg_random.hpp>

#include "citronloft/base/counters.hpp"
#include "citronloft/base/log_limiter.hpp"
#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/lookup_service.hpp"
#include "citronloft/edge/pool_admission.hpp"
#include "citronloft/edge/spill_router.hpp"
#include "citronloft/edge/target_prober.hpp"
#include "citronloft/fleet/discovery.hpp"
#include "citronloft/fleet/fleet_host.hpp"
#include "citronloft/policy/retry.hpp"

namespace citronloft {

/// @brief Order of waiting requests.
enum class QueueStrategy : std::uint8_t { Fair, Fifo, Urgency };

/// @brief Options of the callers' side.
struct GatewayOption {
    std::string zone;
    /// How callers and targets are spoken to; null: the project's own interface.
    std::shared_ptr<const Dialect> dialect;
    HttpClientOption client;
    /// True: targets come from discovery, in all zones, and are sent to directly; nothing is forwarded to other hosts.
    bool discoversTargets = false;
    /// True: look-ups come to the service port too.
    bool servesLookups = true;
    /// True: a first attempt that takes far longer than usual is given up for a second one.
    bool limitsFirstAttempt = true;
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

    /// @brief Puts discovered targets in force.
    auto setDiscovered(DiscoveredTargets targets) -> void;

    /// @brief Sets the zones whose targets get no new requests.
    auto setEvacuatedZones(std::set<std::string> zones) -> void;

    /// @brief Sets how many hosts share retries and cold targets, and how retries are limited on each of them.
    auto setRetryOption(RetryOption option) -> void;

    /// @brief Takes in what another host of the zone has in flight at the targets.
    auto noteZoneLoads(const std::vector<TargetLoad>& loads) -> void;

    /// @brief Sets how this host's part of a cold target's rate is found.
    auto setColdPart(TargetPool::ColdPart part) -> void;

    /// @brief Answers one request.
    auto handle(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> HttpResponse;

    /// @brief Takes in that this host's own state has changed, before the next look-up.
    auto refreshLookups() -> void { this->lookup.refresh(this->clock.now()); }

    /// @brief Answers one look-up.
    auto handleLookup(const HttpRequest& request, const CallerContext& caller) -> HttpResponse;

    /// @brief Runs queues, boundaries and headroom reports; to be called every 20 ms or so.
    auto tick() -> void;

    /// @brief Reads every target's own report once; to be called about once a second.
    auto probeTargets(boost::asio::yield_context yield) -> void;

    /// @return when a request other than a look-up last came; the clock's origin before the first.
    [[nodiscard]] auto lastRequestAt() const -> TimePoint { return this->requestedAt; }

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

    auto answerLookup(const HttpRequest& request, const CallerContext& caller) -> HttpResponse;
    auto dispatch(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> CallResult;
    auto handleCaller(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto handleSpilled(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto authorize(Call& call) const -> ResultCode;
    auto shareLoads(TimePoint now) -> void;
    [[nodiscard]] auto loadShareInterval() const -> Duration;
    auto findPool(Call& call) -> void;
    auto applyTargets(const Pool& pool) -> void;
    [[nodiscard]] auto liveTargetsOf(const Pool& pool) const -> std::vector<LiveTarget>;
    [[nodiscard]] static auto objectiveEnd(const Call& call) -> TimePoint;
    auto recordLatency(const Call& call, Duration latency) -> void;
    [[nodiscard]] auto slotRequestOf(const Call& call, const TargetWish& wish) const -> SlotRequest;
    auto wishOf(const Call& call) -> TargetWish;
    auto setDeadline(Call& call) const -> void;
    auto admitRate(const Call& call, boost::asio::yield_context yield) -> RateDecision;
    [[nodiscard]] auto isStillAuthorized(const Call& call) const -> bool;
    auto claimKeyOf(const Call& call, boost::asio::yield_context yield) -> std::optional<ClaimResult>;
    auto claimAndRun(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto runAttempts(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto runOnce(Call& call, PoolAdmission& admission, const std::string& target, bool mayRetry,
        boost::asio::yield_context yield) -> CallResult;
    auto withoutTarget(Call& call, std::optional<ResultCode> doubt, ResultCode refusal, unsigned attempt,
        boost::asio::yield_context yield) -> CallResult;
    auto readLoad(PoolAdmission& admission, const std::string& target, const TargetFields& fields) -> void;
    auto logFailure(const HttpRequest& request, const CallResult& result, Duration took) -> void;
    [[nodiscard]] auto teamOf(std::string_view key) const -> const Team*;
    auto logRetry(const Call& call, ResultCode code, const std::string& target, unsigned attempt) -> void;
    auto finish(const HttpRequest& request, CallResult result, TimePoint startedAt) -> HttpResponse;

    boost::asio::io_context& context;
    const Clock& clock;
    Metrics& metrics;
    FleetHost& fleet;
    GatewayOption option;
    std::shared_ptr<const Dialect> dialect;
    LookupService lookup;
    std::map<std::string, RetryBudget> retryBudgets;
    TargetPool::ColdPart coldPart;
    DiscoveredTargets discovered;
    std::set<std::string> evacuatedZones;
    pcg32 random;
    /// Smoothed time from sending a request to its answer, by route.
    std::map<std::string, Duration> routeLatencies;
    LogLimiter logLimiter;
    std::vector<TargetLoad> sharedLoads;
    TimePoint nextShareAt {};
    std::shared_ptr<HttpClient> client;
    TargetProber prober;
    SpillRouter spillRouter;
    std::shared_ptr<const Snapshot> snapshot;
    std::map<std::string, std::unique_ptr<PoolAdmission>> admissions;
    std::size_t running = 0;
    TimePoint requestedAt {};
};

} // namespace citronloft
