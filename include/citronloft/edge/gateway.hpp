/// @file
/// @brief Request handling of a host: lookups, authorization, rate limits, idempotency keys and requests to targets.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <pcg_random.hpp>

#include "citronloft/base/log.hpp"
#include "citronloft/base/log_limiter.hpp"
#include "citronloft/base/metrics.hpp"
#include "citronloft/edge/call.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/edge/lookup_service.hpp"
#include "citronloft/edge/pool_admission.hpp"
#include "citronloft/edge/request_explanation.hpp"
#include "citronloft/edge/response_field_log.hpp"
#include "citronloft/edge/spill_router.hpp"
#include "citronloft/edge/target_path_monitor.hpp"
#include "citronloft/edge/target_prober.hpp"
#include "citronloft/fleet/discovery.hpp"
#include "citronloft/fleet/fleet_host.hpp"
#include "citronloft/policy/loop_delay.hpp"
#include "citronloft/policy/retry.hpp"
#include "citronloft/policy/target_weights.hpp"
#include "citronloft/policy/withdrawn_keys.hpp"

namespace citronloft {

/// @brief Order in which queued requests are served.
enum class QueueStrategy : std::uint8_t { Fair, Fifo, Urgency };

/// @brief Options of a gateway.
struct GatewayOption {
    std::string zone;
    /// Wire format of callers and targets; null selects the default dialect.
    std::shared_ptr<const Dialect> dialect;
    HttpClientOption client;
    /// Client for requests to targets and other hosts; null creates one with the options in `client`.
    std::shared_ptr<HttpClient> httpClient;
    /// Whether targets of all zones are found by discovery and requests are sent to them directly. If so, requests are
    /// forwarded to other hosts only while this host does not reach targets.
    bool discoversTargets = false;
    /// Placement of objects on discovered targets, except for routes with large bodies.
    Placement placement = Placement::Zone;
    /// Whether lookups are also answered on the service port.
    bool servesLookups = true;
    /// Whether the first attempt of an idempotent request has a timeout shorter than the deadline, so that it can be
    /// retried when it takes much longer than usual.
    bool limitsFirstAttempt = true;
    std::string fleetSecret;
    QueueStrategy queue = QueueStrategy::Fair;
    RequestQueueOption queueLimits;
    TargetPoolOption targets;
    RetryOption retry;
    /// Pooled connections whose last response is older than this are not used for non-idempotent requests.
    Duration nonIdempotentMaxIdleTime = std::chrono::milliseconds { 300 };
    /// Fraction of a pool's slots that is not available to spilled requests.
    double reservedLocalFraction = 0.1;
};

/// @brief Handles the requests of callers and of other hosts.
class Gateway {
public:
    Gateway(
        boost::asio::io_context& context, const Clock& clock, Metrics& metrics, FleetHost& fleet, GatewayOption option);

    /// @brief Applies a configuration to all requests that arrive after this call.
    auto setConfig(std::shared_ptr<const ActiveConfig> active) -> void;

    /// @brief Replaces the discovered targets.
    auto setDiscoveredTargets(DiscoveredTargets targets) -> void;

    /// @brief Sets the zones whose targets receive no new requests.
    auto setEvacuatedZones(std::set<std::string> zones) -> void;

    /// @brief Sets the limits of this host's retry budgets.
    auto setRetryOption(RetryOption option) -> void;

    /// @brief Updates the number of requests that the other hosts of the zone have in flight at each target.
    auto updateZoneLoads(const std::vector<TargetLoad>& loads) -> void;

    /// @brief Sets the function that computes this host's share of a cold target's request rate.
    auto setColdRateShare(TargetPool::ColdRateShare hostShare) -> void;

    /// @brief Sets the function that computes this host's share of the limit that a target announces.
    auto setLimitShare(TargetPool::LimitShare hostShare) -> void;

    /// @brief Updates the limits of targets from the observations of other hosts.
    auto mergeLimits(const std::vector<LimitObservation>& observations) -> void;

    /// @brief Sets whether this host reaches targets at all. While it does not, it forwards requests to hosts that do,
    /// and look-ups omit it.
    auto setReachesTargets(bool reaches) -> void;

    /// @brief Prepares for the host's exit at `exitAt`: requests that may not be repeated are refused if their deadline
    /// is later, so that none is cut off while a target runs it.
    auto beginStop(TimePoint exitAt) -> void { this->exitAt = exitAt; }

    /// @brief Refuses every further request whose deadline is after the host's exit, also those that may be repeated.
    auto refuseLongRequests() -> void { this->acceptsLongRequests = false; }

    /// @brief Refuses all requests that wait to be sent to a target, and those that follow.
    auto refuseUnsent() -> void;

    /// @brief Handles one request.
    auto handle(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> HttpResponse;

    /// @brief Determines where a caller's request would be sent now, and why, without sending it or changing any state.
    [[nodiscard]] auto explain(const HttpRequest& request) const -> RequestExplanation;

    /// @brief Rebuilds the lookup responses immediately; to be called when this host's own state has changed.
    auto refreshLookups() -> void { this->lookup.refresh(this->clock.now()); }

    /// @brief Handles one request on the lookup port.
    auto handleLookup(const HttpRequest& request, const CallerContext& caller) -> HttpResponse;

    /// @brief Advances queues and lookup planning and publishes headroom; to be called about every 20 ms.
    auto tick() -> void;

    /// @brief Records a tick of a timer of the event loop that reads the requests.
    /// @param dueAt time at which the tick was due.
    /// @param nextDueAt time at which the next one is due.
    auto recordLoopTick(TimePoint dueAt, TimePoint nextDueAt) -> void
    {
        this->loopDelay.recordTick(dueAt, nextDueAt, this->clock.now());
    }

    /// @brief Probes every target once; to be called about once per second.
    auto probeTargets(boost::asio::yield_context yield) -> void;

    /// @return the arrival time of the most recent request other than a lookup; the clock's origin before the first.
    [[nodiscard]] auto lastRequestAt() const -> TimePoint { return this->lastRequestTime; }

    /// @return the number of requests being handled.
    [[nodiscard]] auto inFlight() const -> std::size_t { return this->inFlightRequests; }

    /// @return what this host knows of its path to the targets.
    [[nodiscard]] auto pathState() const -> PathState { return this->pathMonitor->state(); }

    /// @return the admission state of each pool by pool name, for status pages.
    [[nodiscard]] auto pools() const -> const std::map<std::string, std::unique_ptr<PoolAdmission>>&
    {
        return this->admissions;
    }

    [[nodiscard]] auto lookups() const -> const LookupService& { return this->lookup; }

private:
    /// Result of claiming an idempotency key.
    struct ClaimResult {
        ClaimOutcome outcome = ClaimOutcome::Unavailable;
        Claim claim;
    };

    /// Progress of one request over its attempts.
    struct Progress {
        /// Number of targets to which the request was sent.
        unsigned sent = 0;
        /// Result of an attempt that may have run; a later attempt that did not run does not change it.
        std::optional<ResultCode> uncertainResult;
        /// Whether the connection for the last attempt failed.
        bool isUnsent = false;
        /// Whether the request was offered to other hosts.
        bool wasForwarded = false;
    };

    auto answerLookup(const HttpRequest& request, const CallerContext& caller) -> HttpResponse;
    auto dispatch(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> CallResult;
    auto handleCaller(Call& call, boost::asio::yield_context yield) -> CallResult;
    [[nodiscard]] auto checkRequest(const HttpRequest& request) const -> ResultCode;
    auto checkCaller(Call& call) const -> ResultCode;
    [[nodiscard]] auto explainRate(const Call& call) const -> std::optional<ExplainedRate>;
    auto explainPools(const Call& call, RequestExplanation& explanation) const -> void;
    [[nodiscard]] auto explainPool(const Call& call, const PoolWeight& part) const -> ExplainedPool;
    auto handleSpilled(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto authorize(Call& call) const -> ResultCode;
    auto publishLoads(TimePoint now) -> void;
    [[nodiscard]] auto loadPublishInterval() const -> Duration;
    auto choosePool(Call& call) -> void;
    auto forgetDeparted(const DiscoveredTargets& remaining) -> void;
    auto applyTargets(const Pool& pool) -> void;
    [[nodiscard]] auto liveTargetsOf(const Pool& pool) const -> std::vector<LiveTarget>;
    [[nodiscard]] static auto objectiveEnd(const Call& call) -> TimePoint;
    auto recordLatency(const Call& call, Duration latency) -> void;
    [[nodiscard]] auto slotRequestOf(const Call& call, const TargetRequirements& requirements) const -> SlotRequest;
    auto requirementsOf(const Call& call) -> TargetRequirements;
    [[nodiscard]] auto fixedRequirementsOf(const Call& call) const -> TargetRequirements;
    auto setDeadline(Call& call) const -> void;
    auto admitRate(const Call& call, boost::asio::yield_context yield) -> RateDecision;
    [[nodiscard]] auto outlastsHost(const Call& call) const -> bool;
    [[nodiscard]] auto isStillAuthorized(const Call& call) const -> bool;
    [[nodiscard]] auto reasonNotToSend(Call& call, const Progress& progress) const -> std::optional<ResultCode>;
    [[nodiscard]] auto lacksPath(const Progress& progress) const -> bool;
    auto leaveHost(Call& call, const TargetRequirements& requirements, Progress& progress,
        boost::asio::yield_context yield) -> std::optional<CallResult>;
    auto passOnUnsent(Call& call, const TargetRequirements& requirements, Progress& progress,
        boost::asio::yield_context yield) -> std::optional<CallResult>;
    auto passOn(Call& call, const TargetRequirements& requirements, Progress& progress, std::size_t maxHosts,
        boost::asio::yield_context yield) -> std::optional<CallResult>;
    [[nodiscard]] auto isQuarantined(Call& call) const -> bool;
    /// Returns whether an attempt that ended like this may have crashed its target, before or in its answer.
    [[nodiscard]] static auto mayBeCrash(ResultCode code) -> bool;
    auto recordOutcome(Call& call, ResultCode code, const LostTarget& target, TimePoint startedAt) -> void;
    auto exchangeWithTarget(const std::string& target, const Address& address, const HttpRequest& request,
        const ExchangeOption& exchangeOption, boost::asio::yield_context yield) -> Exchange;
    auto recordAnswer(std::uint64_t request) -> void;
    [[nodiscard]] auto allowsRetry(const Call& call, ResultCode code) const -> bool;
    [[nodiscard]] auto healthResultOf(ResultCode code, const HttpResponse& response, TimePoint startedAt) const
        -> TargetResult;
    auto tickPath() -> void;
    auto claimIdempotencyKey(const Call& call, boost::asio::yield_context yield) -> std::optional<ClaimResult>;
    auto claimAndRun(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto runAttempts(Call& call, boost::asio::yield_context yield) -> CallResult;
    auto runAttempt(Call& call, PoolAdmission& admission, const std::string& target, bool isFirstAttempt,
        boost::asio::yield_context yield) -> CallResult;
    auto finishWithoutTarget(Call& call, const Progress& progress, ResultCode refusal, unsigned attempt,
        boost::asio::yield_context yield) -> CallResult;
    auto recordReportedLoad(PoolAdmission& admission, const std::string& target, const TargetFields& fields) -> void;
    auto recordRateLimit(const Call& call, const std::string& target, ResultCode code, const HttpResponse& response,
        const TargetFields& fields, TimePoint sentAt) -> void;
    auto recordStatements(const Call& call, const std::string& target, ResultCode code, const TargetFields& fields)
        -> void;
    auto recordForwardedStatements(const Call& call, const CallResult& result) -> void;
    [[nodiscard]] auto retryAfterOf(PoolAdmission& admission) const -> Duration;
    auto reportLimits() -> void;
    auto logRateLimit(const LimitUpdate& update, const std::string& pool, std::string_view source) -> void;
    auto logMalformedRateLimit(const Call& call, const std::string& target, const absl::Status& reason) -> void;
    auto addKeyState(LogEvent& event, std::string_view key) const -> void;
    auto logLeavingTarget(const Call& call, const std::string& target) -> void;
    auto logPausedTarget(const Call& call, const std::string& target, Duration pause) -> void;
    auto logIgnoredStatement(const Call& call, const std::string& target, const absl::Status& reason) -> void;
    auto logFailure(const HttpRequest& request, const CallResult& result, Duration took) -> void;
    [[nodiscard]] auto teamOf(std::string_view key) const -> const Team*;
    auto logLostConnection(const Call& call, const std::string& target, bool wasReused, Duration afterSending) -> void;
    auto logInvalidAnswer(const Call& call, const std::string& target) -> void;
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
    TargetPool::ColdRateShare coldRateShare;
    TargetPool::LimitShare limitShare;
    DiscoveredTargets discovered;
    std::set<std::string> evacuatedZones;
    pcg32 random;
    /// Smoothed time from sending a request to its response, by route name.
    std::map<std::string, Duration> routeLatencies;
    LogLimiter logLimiter;
    ResponseFieldLog responseFieldLog;
    std::vector<TargetLoad> publishedLoads;
    TimePoint nextLoadPublishAt {};
    LoopDelay loopDelay;
    std::shared_ptr<HttpClient> client;
    TargetProber prober;
    std::shared_ptr<TargetStatementRegistry> targetStatements = std::make_shared<TargetStatementRegistry>();
    /// Without discovery it knows no targets and takes the path as reached.
    std::shared_ptr<TargetPathMonitor> pathMonitor;
    SpillRouter spillRouter;
    std::shared_ptr<const ConfigSnapshot> snapshot;
    /// Whether the active configuration states which routes have large bodies (see placementOf()).
    bool configStatesLargeBodies = false;
    WithdrawnKeys withdrawnKeys;
    std::map<std::string, std::unique_ptr<PoolAdmission>> admissions;
    std::size_t inFlightRequests = 0;
    bool reachesTargets = true;
    /// Time of the host's exit, once a planned stop has begun.
    TimePoint exitAt = TimePoint::max();
    bool acceptsLongRequests = true;
    bool refusesUnsent = false;
    TimePoint lastRequestTime {};
};

} // namespace citronloft
