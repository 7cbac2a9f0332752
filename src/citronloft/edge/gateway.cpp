#include "citronloft/edge/gateway.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/waiter.hpp"

namespace citronloft {

namespace {

constexpr auto maxIdempotencyKeyBytes = std::size_t { 255 };
/// Team index of requests on open routes, which share one entry in the fair queue.
constexpr auto openTeamIndex = std::size_t { 1'000'000 };
/// Minimum timeout of a limited first attempt.
constexpr auto minFirstAttemptTimeout = std::chrono::milliseconds { 250 };
/// Timeout of a limited first attempt, as a multiple of the pool's mean service time.
constexpr auto firstAttemptTimeoutFactor = 8;
/// Weight of the most recent response in a route's smoothed latency.
constexpr auto latencyWeight = 0.1;
/// Other hosts take the request at once.
constexpr auto leavingRetryAfter = std::chrono::milliseconds { 50 };
/// Number of queue ranks, one per route priority, within each team priority.
constexpr auto ranksPerTeamPriority = 1000U;
constexpr auto firstServerErrorStatus = 500U;

auto resultCodeOf(ExchangeError error) -> ResultCode
{
    switch (error) {
    case ExchangeError::None:
        return ResultCode::Answered;
    case ExchangeError::ConnectFailed:
    case ExchangeError::ConnectTimeout:
        return ResultCode::ConnectFailed;
    case ExchangeError::TooLate:
        return ResultCode::DeadlineTooShort;
    case ExchangeError::Withdrawn:
        return ResultCode::NoTarget;
    case ExchangeError::AnswerTimeout:
        return ResultCode::TargetTimeout;
    case ExchangeError::ConnectionLost:
        return ResultCode::ConnectionLost;
    case ExchangeError::AnswerCut:
    case ExchangeError::AnswerInvalid:
        return ResultCode::AnswerCut;
    case ExchangeError::AnswerTooLarge:
        return ResultCode::AnswerTooLarge;
    case ExchangeError::NoMemory:
        return ResultCode::AnswerNotHeld;
    case ExchangeError::Cancelled:
        return ResultCode::CallerGone;
    }
    return ResultCode::ConnectionLost;
}

/// Returns whether an attempt with this result counts as sent to its target.
auto wasSent(ResultCode code) -> bool
{
    constexpr auto unsentCodes = std::to_array(
        { ResultCode::ConnectFailed, ResultCode::TargetReplaced, ResultCode::NoTarget, ResultCode::DeadlineTooShort });
    return std::ranges::find(unsentCodes, code) == unsentCodes.end();
}

/// Factory functions, indexed by QueueStrategy.
constexpr auto queueFactories = std::to_array({ makeFairQueue, makeFifoQueue, makeUrgencyQueue });

} // namespace

Gateway::Gateway(
    boost::asio::io_context& context, const Clock& clock, Metrics& metrics, FleetHost& fleet, GatewayOption option)
    : context(context)
    , clock(clock)
    , metrics(metrics)
    , fleet(fleet)
    , option(std::move(option))
    , dialect(this->option.dialect ? this->option.dialect : std::shared_ptr<const Dialect>(makeDefaultDialect()))
    , lookup(fleet.membership(), *dialect, this->option.zone)
    , random(randomId())
    , client(this->option.httpClient ? this->option.httpClient : makeHttpClient(context, clock, this->option.client))
    , prober(clock, client)
    , pathMonitor(std::make_shared<TargetPathMonitor>(context, clock, metrics, client, *dialect, targetStatements))
    , spillRouter(clock, metrics, fleet, client, *dialect,
          { .zone = this->option.zone,
              .fleetSecret = this->option.fleetSecret,
              .nonIdempotentMaxIdleTime = this->option.nonIdempotentMaxIdleTime,
              .chargesShifts = !this->option.discoversTargets })
{
}

auto Gateway::setConfig(std::shared_ptr<const ActiveConfig> active) -> void
{
    auto next = std::make_shared<ConfigSnapshot>();
    next->active = active;
    next->routes = RouteTable(active->config);
    next->keys = KeyTable(active->config);
    if (this->snapshot)
        this->withdrawnKeys.record(this->snapshot->active->config, this->snapshot->active->version, next->keys);
    this->snapshot = std::move(next);
    this->configStatesLargeBodies = statesLargeBodies(active->config);
    this->lookup.setConfig(*active);
    for (const auto& pool : active->config.pools) {
        this->retryBudgets.try_emplace(pool.name, this->option.retry);
        auto& admission = this->admissions[pool.name];
        if (!admission) {
            const auto makeQueue = queueFactories.at(static_cast<std::size_t>(this->option.queue));
            admission = std::make_unique<PoolAdmission>(this->context, this->clock, makeQueue(this->option.queueLimits),
                TargetPool(this->option.targets, randomId(), this->targetStatements));
            admission->targets().setColdRateShare(this->coldRateShare);
            admission->targets().setLimitShare(this->limitShare);
        }
        this->applyTargets(pool);
    }
}

auto Gateway::handle(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> HttpResponse
{
    const auto startedAt = this->clock.now();
    ++this->inFlightRequests;
    auto result = CallResult {};
    try {
        result = this->dispatch(request, caller, yield);
    } catch (const std::exception&) {
        --this->inFlightRequests;
        throw;
    }
    --this->inFlightRequests;
    return this->finish(request, std::move(result), startedAt);
}

auto Gateway::handleLookup(const HttpRequest& request, const CallerContext& caller) -> HttpResponse
{
    if (!this->dialect->isLookupRequest(request))
        return this->dialect->makeErrorResponse(ResultCode::RouteUnknown, {});
    return this->answerLookup(request, caller);
}

auto Gateway::dispatch(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> CallResult
{
    if (this->option.servesLookups && this->dialect->isLookupRequest(request)) {
        auto answer = this->answerLookup(request, caller);
        if (answer.status != 200)
            return { ResultCode::ShiftCapReached, {}, busyRetryAfter };
        return { ResultCode::LookupAnswered, std::move(answer), {} };
    }
    this->lastRequestTime = this->clock.now();
    if (const auto code = this->checkRequest(request); code != ResultCode::Answered)
        return { code, {}, code == ResultCode::NoConfiguration ? busyRetryAfter : Duration {} };
    auto call = Call {};
    call.snapshot = this->snapshot;
    call.request = &request;
    call.caller = &caller;
    call.fields = this->dialect->parseRequest(request);
    call.receivedAt = this->lastRequestTime - this->loopDelay.waitBefore(this->lastRequestTime);
    call.isSpilled = request.fields.has(spillHeader);
    return call.isSpilled ? this->handleSpilled(call, yield) : this->handleCaller(call, yield);
}

/// Returns why a request is refused regardless of its route, or Answered.
auto Gateway::checkRequest(const HttpRequest& request) const -> ResultCode
{
    if (!this->snapshot)
        return ResultCode::NoConfiguration;
    if (request.method == "CONNECT" || request.method == "TRACE")
        return ResultCode::MethodUnsupported;
    return isAmbiguousPath(request.target) ? ResultCode::MalformedRequest : ResultCode::Answered;
}

/// Determines route, team and deadline of a caller's request.
/// @return why the request is refused before it is counted against any rate, or Answered.
auto Gateway::checkCaller(Call& call) const -> ResultCode
{
    call.route
        = call.snapshot->routes.find(call.request->method, call.request->fields.get("Host"), call.request->target);
    if (call.route == nullptr)
        return ResultCode::RouteUnknown;
    call.maxAttempts = call.route->attempts;
    if (const auto code = this->authorize(call); code != ResultCode::Answered)
        return code;
    if (this->isQuarantined(call))
        return ResultCode::RequestQuarantined;
    this->setDeadline(call);
    return this->outlastsHost(call) ? ResultCode::HostLeaving : ResultCode::Answered;
}

auto Gateway::handleCaller(Call& call, boost::asio::yield_context yield) -> CallResult
{
    if (const auto code = this->checkCaller(call); code != ResultCode::Answered)
        return { code, {}, code == ResultCode::HostLeaving ? leavingRetryAfter : Duration {} };
    this->choosePool(call);
    const auto rate = this->admitRate(call, yield);
    if (!rate.admitted)
        return { ResultCode::RateExceeded, {}, rate.retryAfter };
    return this->claimAndRun(call, yield);
}

auto Gateway::authorize(Call& call) const -> ResultCode
{
    const auto& config = call.snapshot->active->config;
    if (call.route->maxConfigAge && this->fleet.config().age(this->clock.now()) > *call.route->maxConfigAge)
        return ResultCode::ConfigurationStale;
    const auto& fields = call.fields;
    if (fields.hasIdempotencyKey
        && (fields.idempotencyKey.empty() || fields.idempotencyKey.size() > maxIdempotencyKeyBytes))
        return ResultCode::IdempotencyKeyInvalid;
    call.teamIndex = openTeamIndex;
    if (call.route->open)
        return ResultCode::Answered;
    if (!fields.hasKey)
        return ResultCode::KeyMissing;
    const auto team = call.snapshot->keys.find(fields.key);
    if (!team)
        return ResultCode::KeyUnknown;
    call.team = &config.teams[*team];
    call.teamIndex = *team;
    const auto& allowed = call.route->teams;
    if (!allowed.empty() && std::ranges::find(allowed, call.team->name) == allowed.end())
        return ResultCode::TeamNotAllowed;
    return ResultCode::Answered;
}

/// Checks the key again, since it may have been withdrawn while the request was queued.
auto Gateway::isStillAuthorized(const Call& call) const -> bool
{
    if (call.team == nullptr || call.isSpilled || call.snapshot == this->snapshot)
        return true;
    const auto team = this->snapshot->keys.find(call.fields.key);
    return team && this->snapshot->active->config.teams[*team].name == call.team->name;
}

auto Gateway::isQuarantined(Call& call) const -> bool
{
    const auto& quarantine = this->fleet.quarantine();
    if (quarantine.isEmpty())
        return false;
    if (call.identity == 0)
        call.identity = computeRequestIdentity(call);
    return quarantine.isQuarantined(call.identity);
}

/// Records whether the request was lost with its target or answered; other results say nothing of what it does to
/// targets.
auto Gateway::recordOutcome(Call& call, ResultCode code, const LostTarget& target, TimePoint startedAt) -> void
{
    const auto& quarantine = this->fleet.quarantine();
    const auto isLost = mayBeCrash(code);
    const auto isAnswered = code == ResultCode::Answered && (this->pathMonitor->holdsLosses() || !quarantine.isEmpty());
    if (code == ResultCode::TargetReplaced)
        this->pathMonitor->recordTargetEnd(target.key, "replaced");
    if (!isLost && !isAnswered)
        return;
    if (call.identity == 0)
        call.identity = computeRequestIdentity(call);
    if (isLost)
        this->pathMonitor->holdLoss(call.identity, target, startedAt);
    else
        this->recordAnswer(call.identity);
}

auto Gateway::admitRate(const Call& call, boost::asio::yield_context yield) -> RateDecision
{
    if (call.team == nullptr || call.team->rate <= 0)
        return { .admitted = true, .waited = false, .retryAfter = {} };
    auto waiter = std::make_shared<Waiter<RateDecision>>(this->context);
    // After half of its objective, a waiting request is unlikely to be answered within the objective.
    const auto waitDeadline = call.receivedAt + (objectiveEnd(call) - call.receivedAt) / 2;
    const auto id = this->fleet.rates().acquire(bucketId(teamBucketName(call.team->name)), microTokensPerToken,
        waitDeadline, this->clock.now(), [waiter](RateDecision decision) { waiter->set(decision); });
    const auto decision = waiter->wait(waitDeadline, yield);
    if (!decision && id != 0)
        this->fleet.rates().cancel(id);
    return decision.value_or(RateDecision {});
}

/// Claims the idempotency key of a non-idempotent request in the store before sending the request.
auto Gateway::claimAndRun(Call& call, boost::asio::yield_context yield) -> CallResult
{
    if (call.route->idempotent || !call.fields.hasIdempotencyKey)
        return this->runAttempts(call, yield);
    const auto claimed = this->claimIdempotencyKey(call, yield);
    if (!claimed || claimed->outcome == ClaimOutcome::Unavailable)
        return { ResultCode::ClaimStoreUnavailable, {}, busyRetryAfter };
    if (claimed->outcome == ClaimOutcome::Duplicate)
        return { ResultCode::DuplicateIdempotencyKey, {}, {} };
    auto result = this->runAttempts(call, yield);
    if (provesNotRun(result.code))
        this->fleet.claims().release(claimed->claim);
    return result;
}

/// @return nothing if the deadline passed first; a claim granted later is released.
auto Gateway::claimIdempotencyKey(const Call& call, boost::asio::yield_context yield) -> std::optional<ClaimResult>
{
    struct PendingClaim {
        Waiter<ClaimResult> waiter;
        bool isFinished = false;
    };
    auto pendingClaim = std::make_shared<PendingClaim>(PendingClaim { Waiter<ClaimResult>(this->context) });
    const auto team = call.team == nullptr ? std::string { "-" } : call.team->name;
    const auto key = std::string { call.fields.idempotencyKey };
    auto& claims = this->fleet.claims();
    claims.claim(team, key, [pendingClaim, &claims](ClaimOutcome outcome, const Claim& claim) {
        if (pendingClaim->isFinished && outcome == ClaimOutcome::Granted)
            claims.release(claim);
        pendingClaim->waiter.set({ outcome, claim });
    });
    const auto result = pendingClaim->waiter.wait(call.deadline, yield);
    pendingClaim->isFinished = true;
    return result;
}

auto Gateway::runAttempts(Call& call, boost::asio::yield_context yield) -> CallResult
{
    auto& admission = *this->admissions.at(call.pool);
    auto& budget = this->retryBudgets.at(call.pool);
    // A request adds to the budget of one host, even if it is forwarded.
    if (this->reachesTargets && call.spillReason != SpillReason::ConnectFailed)
        budget.recordFirstAttempt();
    auto requirements = this->requirementsOf(call);
    auto progress = Progress {};
    const auto takesFreeSlotOnly = call.isSpilled && call.spillReason == SpillReason::NoCapacity;
    for (auto attempt = 1U;; ++attempt) {
        if (auto result = this->leaveHost(call, requirements, progress, yield))
            return *std::move(result);
        const auto slot = takesFreeSlotOnly && attempt == 1
            ? admission.tryAcquire(this->option.reservedLocalFraction)
            : admission.acquire(this->slotRequestOf(call, requirements), *call.caller, yield);
        const auto isGranted = !slot.target.empty();
        // The path may have been lost while the request waited for a slot.
        if (this->lacksPath(progress) && slot.refusal != ResultCode::CallerGone) {
            if (isGranted)
                admission.release(slot.target, TargetResult::Abandoned, {});
            --attempt;
            continue;
        }
        if (!isGranted) {
            if (auto forwarded = this->passOnUnsent(call, requirements, progress, yield))
                return *std::move(forwarded);
            return this->finishWithoutTarget(call, progress, slot.refusal, attempt, yield);
        }
        if (const auto code = this->reasonNotToSend(call, progress)) {
            admission.release(slot.target, TargetResult::Abandoned, {});
            return { *code, {}, {} };
        }
        auto result = this->runAttempt(call, admission, slot.target, attempt == 1, yield);
        result.target = slot.target;
        result.pool = call.pool;
        result.attempts = attempt;
        progress.sent += wasSent(result.code) ? 1 : 0;
        result.sent = progress.sent;
        if (result.code == ResultCode::Answered || result.code == ResultCode::CallerGone)
            return result;
        // The target left before the request was sent, so that choosing another one is no retry.
        if (result.code == ResultCode::NoTarget) {
            --attempt;
            continue;
        }
        // The address belongs to another server: this attempt does not count towards the route's limit.
        if (result.code == ResultCode::TargetReplaced)
            --attempt;
        const auto outcome = resultInfo(result.code).outcome;
        const auto attempted
            = AttemptResult { outcome, call.route->idempotent, attempt, call.deadline, call.maxAttempts };
        if (outcome != Outcome::NotRun)
            progress.uncertainResult = result.code;
        progress.isUnsent = result.code == ResultCode::ConnectFailed;
        // Without a path, a request that was not sent is forwarded, which is no retry.
        if (progress.isUnsent && this->lacksPath(progress)) {
            if (auto forwarded = this->leaveHost(call, requirements, progress, yield))
                return *std::move(forwarded);
        }
        if (!this->allowsRetry(call, result.code) || !budget.tryRetry(attempted, this->clock.now())) {
            if (auto forwarded = this->passOnUnsent(call, requirements, progress, yield))
                return *std::move(forwarded);
            result.code = progress.uncertainResult.value_or(result.code);
            result.retryAfter = this->retryAfterOf(admission);
            return result;
        }
        const auto reason = "reason=\"" + std::string { resultInfo(result.code).name } + "\"";
        this->metrics.count("citronloft_retries_total", reason);
        this->logRetry(call, result.code, slot.target, attempt);
        requirements.avoid.push_back(slot.target);
    }
}

auto Gateway::slotRequestOf(const Call& call, const TargetRequirements& requirements) const -> SlotRequest
{
    auto request = SlotRequest { call.teamIndex, 1, call.deadline, requirements };
    if (call.team != nullptr) {
        request.weight = call.team->weight;
        request.rank = call.team->priority * ranksPerTeamPriority;
    }
    request.rank += call.route->priority;
    const auto known = this->routeLatencies.find(call.route->name);
    const auto latency = known == this->routeLatencies.end() ? Duration {} : known->second;
    request.latestOnTimeStart = objectiveEnd(call) - latency;
    return request;
}

/// @return the end of the route's latency objective, or the call's deadline if the route has no objective.
auto Gateway::objectiveEnd(const Call& call) -> TimePoint
{
    const auto hasObjective = call.route->objective.count() > 0;
    return hasObjective ? std::min(call.deadline, call.receivedAt + call.route->objective) : call.deadline;
}

auto Gateway::recordLatency(const Call& call, Duration latency) -> void
{
    const auto [known, isNew] = this->routeLatencies.try_emplace(call.route->name, latency);
    if (!isNew)
        known->second += std::chrono::duration_cast<Duration>((latency - known->second) * latencyWeight);
}

/// Forwards a request that got no slot to another zone, or returns its result.
auto Gateway::finishWithoutTarget(Call& call, const Progress& progress, ResultCode refusal, unsigned attempt,
    boost::asio::yield_context yield) -> CallResult
{
    const auto isForwarded = !progress.uncertainResult && !call.isSpilled && refusal != ResultCode::CallerGone
        && !this->option.discoversTargets;
    if (isForwarded) {
        auto forwarded = this->spillRouter.forward(call, refusal, call.maxAttempts - progress.sent, yield);
        this->recordForwardedStatements(call, forwarded);
        return forwarded;
    }
    auto& admission = *this->admissions.at(call.pool);
    auto result = CallResult { progress.uncertainResult.value_or(refusal), {}, this->retryAfterOf(admission) };
    result.pool = call.pool;
    result.attempts = attempt - 1;
    result.sent = progress.sent;
    return result;
}

auto Gateway::runAttempt(Call& call, PoolAdmission& admission, const std::string& target, bool isFirstAttempt,
    boost::asio::yield_context yield) -> CallResult
{
    const auto startedAt = this->clock.now();
    const auto* live = admission.targets().target(target);
    if (live == nullptr)
        return { ResultCode::NoTarget, {}, busyRetryAfter };
    auto cancel = ExchangeCancel {};
    cancel.isAbandoned = [&call] { return call.caller->hasLeft(); };
    auto exchangeOption = ExchangeOption { .deadline = call.deadline, .cancel = &cancel };
    exchangeOption.connectionLimit = admission.targets().connectionLimit(target);
    exchangeOption.idField = this->dialect->requestIdField();
    exchangeOption.id = call.fields.requestId;
    exchangeOption.isValid = [this, &call](const HttpResponse& response) {
        return this->dialect->isTargetResponse(response, call.fields.requestId);
    };
    if (!call.route->idempotent) {
        exchangeOption.maxIdleTime = this->option.nonIdempotentMaxIdleTime;
    } else {
        // If the request has run in spite of a refusal that was meant for another one, it may run again.
        exchangeOption.acceptsWithoutId = [this](const HttpResponse& response) {
            return response.status >= firstServerErrorStatus || this->dialect->parseResponse(response).notRun;
        };
    }
    if (call.route->idempotent && isFirstAttempt && this->option.limitsFirstAttempt) {
        // With its own timeout, an attempt on an unresponsive connection does not use up the request's deadline.
        const auto attemptTimeout
            = std::max<Duration>(admission.targets().serviceTime() * firstAttemptTimeoutFactor, minFirstAttemptTimeout);
        exchangeOption.deadline = std::min(call.deadline, startedAt + attemptTimeout);
    }
    call.caller->onDisconnect([&cancel] { cancel.cancel(); });
    const auto address = parseAddress(live->target.address);
    if (admission.targets().announcedLimit(target))
        this->metrics.count("citronloft_limited_target_requests_total");
    exchangeOption.isWithdrawn
        = [this, &admission, &target] { return admission.targets().isWithdrawn(target, this->clock.now()); };
    auto exchange = Exchange {};
    try {
        const auto forwarded = ForwardedRequest(*this->dialect, call, live->instance, startedAt);
        exchange = this->exchangeWithTarget(target, *address, forwarded.request, exchangeOption, yield);
    } catch (const std::exception&) {
        // The slot is released here; the server answers the request.
        call.caller->onDisconnect(nullptr);
        admission.release(target, TargetResult::Abandoned, {});
        throw;
    }
    call.caller->onDisconnect(nullptr);
    auto code = resultCodeOf(exchange.error);
    const auto fields = this->dialect->parseResponse(exchange.response);
    if (code == ResultCode::Answered && fields.misdirected)
        code = ResultCode::TargetReplaced;
    else if (code == ResultCode::Answered && fields.notRun)
        code = ResultCode::TargetShed;
    if (code == ResultCode::TargetTimeout || code == ResultCode::TargetReplaced)
        this->client->closeIdle(*address);
    this->recordOutcome(call, code, { target, *address }, startedAt);
    if (exchange.error == ExchangeError::AnswerInvalid)
        this->logInvalidAnswer(call, target);
    if (mayBeCrash(code))
        this->logLostConnection(call, target, exchange.reused, this->clock.now() - startedAt);
    this->responseFieldLog.record(target, exchange.response.fields);
    this->recordReportedLoad(admission, target, fields);
    this->recordRateLimit(call, target, code, exchange.response, fields, startedAt);
    this->recordStatements(call, target, code, fields);
    admission.release(target, this->healthResultOf(code, exchange.response, startedAt), this->clock.now() - startedAt);
    if (code == ResultCode::Answered)
        this->recordLatency(call, this->clock.now() - startedAt);
    if (code == ResultCode::Answered)
        this->dialect->sanitizeResponse(exchange.response, call.request->method == "HEAD");
    return { code, std::move(exchange.response), busyRetryAfter };
}

/// Handles a forwarded request. The sending host has authorized it and charged its rate; this host checks only its own
/// headroom and the quarantine.
auto Gateway::handleSpilled(Call& call, boost::asio::yield_context yield) -> CallResult
{
    if (const auto code = this->spillRouter.accept(call); code != ResultCode::Answered)
        return { code, {}, busyRetryAfter };
    if (call.team == nullptr)
        call.teamIndex = openTeamIndex;
    this->choosePool(call);
    if (this->isQuarantined(call))
        return { ResultCode::RequestQuarantined, {}, {} };
    this->setDeadline(call);
    if (this->outlastsHost(call))
        return { ResultCode::HostLeaving, {}, leavingRetryAfter };
    return this->runAttempts(call, yield);
}

/// Returns whether a request could still be running at a target when this host exits, and must go to another host.
auto Gateway::outlastsHost(const Call& call) const -> bool
{
    if (this->refusesUnsent)
        return true;
    return call.deadline > this->exitAt && (!call.route->idempotent || !this->acceptsLongRequests);
}

auto Gateway::refuseUnsent() -> void
{
    if (std::exchange(this->refusesUnsent, true))
        return;
    for (auto& [name, admission] : this->admissions)
        admission->refuseQueued(ResultCode::HostLeaving);
}

auto Gateway::setDeadline(Call& call) const -> void
{
    call.deadline
        = call.receivedAt + std::min(call.route->deadline, call.fields.callerTimeout.value_or(call.route->deadline));
}

auto Gateway::tick() -> void
{
    const auto now = this->clock.now();
    this->lookup.tick(now);
    const auto fraction = this->option.discoversTargets ? 1.0 : this->fleet.zoneSlotFraction();
    auto headroom = std::vector<PoolHeadroom> {};
    for (auto& [name, admission] : this->admissions) {
        admission->targets().setHostFraction(fraction);
        admission->tick();
        const auto room = std::min<std::uint32_t>(admission->headroom(), UINT16_MAX);
        headroom.push_back({ static_cast<std::uint32_t>(bucketId(name)), static_cast<std::uint16_t>(room) });
    }
    this->fleet.membership().setHeadroom(std::move(headroom));
    this->tickPath();
    if (!this->option.discoversTargets)
        return;
    this->publishLoads(now);
    this->reportLimits();
}

auto Gateway::probeTargets(boost::asio::yield_context yield) -> void
{
    for (auto& [name, admission] : this->admissions)
        this->prober.probe(*admission, yield);
}

auto Gateway::finish(const HttpRequest& request, CallResult result, TimePoint startedAt) -> HttpResponse
{
    const auto& info = resultInfo(result.code);
    const auto took = this->clock.now() - startedAt;
    this->metrics.count("citronloft_results_total", "code=\"" + std::string { info.name } + "\"");
    const auto hasResponse = result.code == ResultCode::Answered || result.code == ResultCode::LookupAnswered;
    if (result.code == ResultCode::Answered)
        this->metrics.observe("citronloft_request_seconds", took);
    if (!hasResponse)
        this->logFailure(request, result, took);
    auto response = hasResponse ? std::move(result.response)
                                : this->dialect->makeErrorResponse(
                                    result.code, std::chrono::ceil<std::chrono::milliseconds>(result.retryAfter));
    this->dialect->addResultFields(response, result.code, this->snapshot ? this->snapshot->active->version : 0);
    if (request.fields.has(spillHeader))
        addSpillFields(response, { result.code, result.sent, result.target });
    return response;
}

} // namespace citronloft
