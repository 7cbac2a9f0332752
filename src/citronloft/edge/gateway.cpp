#include "citronloft/edge/gateway.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include "citronloft/base/digest.hpp"
#include "citronloft/edge/waiter.hpp"

namespace citronloft {

namespace {

constexpr auto greatestIdempotencyKeyBytes = std::size_t { 255 };
/// Open routes stand in the fair queue as one team of their own.
constexpr auto openTeamIndex = std::size_t { 1'000'000 };
constexpr auto leastAttemptTime = std::chrono::milliseconds { 250 };
constexpr auto attemptLatencies = 8;
/// Weight of the newest answer in a route's smoothed latency.
constexpr auto latencyWeight = 0.1;
/// Ranks of routes within one rank of teams.
constexpr auto ranksPerTeamRank = 1000U;

auto codeOf(ExchangeError error) -> ResultCode
{
    switch (error) {
    case ExchangeError::None:
        return ResultCode::Answered;
    case ExchangeError::ConnectFailed:
    case ExchangeError::ConnectTimeout:
        return ResultCode::ConnectFailed;
    case ExchangeError::AnswerTimeout:
        return ResultCode::TargetTimeout;
    case ExchangeError::ConnectionLost:
        return ResultCode::ConnectionLost;
    case ExchangeError::AnswerCut:
        return ResultCode::AnswerCut;
    case ExchangeError::AnswerTooLarge:
        return ResultCode::AnswerTooLarge;
    case ExchangeError::Cancelled:
        return ResultCode::CallerGone;
    }
    return ResultCode::ConnectionLost;
}

auto resultOf(ResultCode code, const HttpResponse& response) -> TargetResult
{
    if (code == ResultCode::TargetShed)
        return TargetResult::Shed;
    if (code == ResultCode::CallerGone)
        return TargetResult::Abandoned;
    if (code == ResultCode::TargetReplaced)
        return TargetResult::Misdirected;
    if (code == ResultCode::ConnectFailed)
        return TargetResult::Unreachable;
    if (code != ResultCode::Answered || response.status >= 500)
        return TargetResult::Failed;
    return TargetResult::Answered;
}

/// In the order of QueueStrategy.
constexpr auto queueMakers = std::to_array({ makeFairQueue, makeFifoQueue, makeUrgencyQueue });

} // namespace

Gateway::Gateway(
    boost::asio::io_context& context, const Clock& clock, Metrics& metrics, FleetHost& fleet, GatewayOption option)
    : context(context)
    , clock(clock)
    , metrics(metrics)
    , fleet(fleet)
    , option(std::move(option))
    , dialect(this->option.dialect ? this->option.dialect : std::shared_ptr<const Dialect>(makeOwnDialect()))
    , lookup(fleet.membership(), *dialect, this->option.zone)
    , random(randomId())
    , client(makeHttpClient(context, clock, this->option.client))
    , prober(clock, client)
    , spillRouter(clock, metrics, fleet, client, *dialect,
          { .zone = this->option.zone,
              .fleetSecret = this->option.fleetSecret,
              .provedWithin = this->option.provedWithin })
{
}

auto Gateway::setConfig(std::shared_ptr<const ActiveConfig> active) -> void
{
    auto next = std::make_shared<Snapshot>();
    next->active = active;
    next->routes = RouteTable(active->config);
    next->keys = KeyTable(active->config);
    this->snapshot = std::move(next);
    this->lookup.setConfig(*active);
    for (const auto& pool : active->config.pools) {
        this->retryBudgets.try_emplace(pool.name, this->option.retry);
        auto& admission = this->admissions[pool.name];
        if (!admission) {
            const auto makeQueue = queueMakers.at(static_cast<std::size_t>(this->option.queue));
            admission = std::make_unique<PoolAdmission>(this->context, this->clock, makeQueue(this->option.queueLimits),
                TargetPool(this->option.targets, randomId()));
            admission->targets().setColdPart(this->coldPart);
        }
        this->applyTargets(pool);
    }
}

auto Gateway::handle(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> HttpResponse
{
    const auto startedAt = this->clock.now();
    ++this->running;
    auto result = this->dispatch(request, caller, yield);
    --this->running;
    return this->finish(request, std::move(result), startedAt);
}

auto Gateway::handleLookup(const HttpRequest& request, const CallerContext& caller) -> HttpResponse
{
    if (!this->dialect->isLookup(request))
        return this->dialect->refuse(ResultCode::RouteUnknown, {});
    return this->answerLookup(request, caller);
}

auto Gateway::dispatch(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> CallResult
{
    if (this->option.servesLookups && this->dialect->isLookup(request)) {
        auto answer = this->answerLookup(request, caller);
        if (answer.status != 200)
            return { ResultCode::ShiftCapReached, {}, busyRetryAfter };
        return { ResultCode::LookupAnswered, std::move(answer), {} };
    }
    this->requestedAt = this->clock.now();
    if (!this->snapshot)
        return { ResultCode::NoConfiguration, {}, busyRetryAfter };
    if (request.method == "CONNECT" || request.method == "TRACE")
        return { ResultCode::MethodUnsupported, {}, {} };
    if (isAmbiguousPath(request.target))
        return { ResultCode::MalformedRequest, {}, {} };
    auto call = Call {};
    call.snapshot = this->snapshot;
    call.request = &request;
    call.caller = &caller;
    call.fields = this->dialect->readRequest(request);
    call.receivedAt = this->requestedAt;
    call.isSpilled = request.fields.has(spillHeader);
    return call.isSpilled ? this->handleSpilled(call, yield) : this->handleCaller(call, yield);
}

auto Gateway::handleCaller(Call& call, boost::asio::yield_context yield) -> CallResult
{
    call.route
        = call.snapshot->routes.find(call.request->method, call.request->fields.get("Host"), call.request->target);
    if (call.route == nullptr)
        return { ResultCode::RouteUnknown, {}, {} };
    this->findPool(call);
    if (const auto code = this->authorize(call); code != ResultCode::Answered)
        return { code, {}, {} };
    this->setDeadline(call);
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
        && (fields.idempotencyKey.empty() || fields.idempotencyKey.size() > greatestIdempotencyKeyBytes))
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

/// The key may have been withdrawn while the request waited.
auto Gateway::isStillAuthorized(const Call& call) const -> bool
{
    if (call.team == nullptr || call.isSpilled || call.snapshot == this->snapshot)
        return true;
    const auto team = this->snapshot->keys.find(call.fields.key);
    return team && this->snapshot->active->config.teams[*team].name == call.team->name;
}

auto Gateway::admitRate(const Call& call, boost::asio::yield_context yield) -> RateDecision
{
    if (call.team == nullptr || call.team->rate <= 0)
        return { .admitted = true, .waited = false, .retryAfter = {} };
    auto waiter = std::make_shared<Waiter<RateDecision>>(this->context);
    // A request that has waited longer for its rate is hardly answered within its objective.
    const auto until = call.receivedAt + (objectiveEnd(call) - call.receivedAt) / 2;
    const auto id = this->fleet.rates().acquire(bucketId(teamBucketName(call.team->name)), microTokensPerToken, until,
        this->clock.now(), [waiter](RateDecision decision) { waiter->set(decision); });
    const auto decision = waiter->wait(until, yield);
    if (!decision && id != 0)
        this->fleet.rates().cancel(id);
    return decision.value_or(RateDecision {});
}

/// A non-idempotent request with an idempotency key is sent only once its key has been claimed in the store.
auto Gateway::claimAndRun(Call& call, boost::asio::yield_context yield) -> CallResult
{
    if (call.route->idempotent || !call.fields.hasIdempotencyKey)
        return this->runAttempts(call, yield);
    const auto claimed = this->claimKeyOf(call, yield);
    if (!claimed || claimed->outcome == ClaimOutcome::Unavailable)
        return { ResultCode::ClaimStoreUnavailable, {}, busyRetryAfter };
    if (claimed->outcome == ClaimOutcome::Duplicate)
        return { ResultCode::DuplicateIdempotencyKey, {}, {} };
    auto result = this->runAttempts(call, yield);
    if (isRefusal(result.code))
        this->fleet.claims().release(claimed->claim);
    return result;
}

/// @return nothing if the deadline passed first; a claim that is granted after that is released again.
auto Gateway::claimKeyOf(const Call& call, boost::asio::yield_context yield) -> std::optional<ClaimResult>
{
    struct Wait {
        Waiter<ClaimResult> waiter;
        bool isOver = false;
    };
    auto wait = std::make_shared<Wait>(Wait { Waiter<ClaimResult>(this->context) });
    const auto team = call.team == nullptr ? std::string { "-" } : call.team->name;
    const auto key = std::string { call.fields.idempotencyKey };
    auto& claims = this->fleet.claims();
    claims.claim(team, key, [wait, &claims](ClaimOutcome outcome, const Claim& claim) {
        if (wait->isOver && outcome == ClaimOutcome::Granted)
            claims.release(claim);
        wait->waiter.set({ outcome, claim });
    });
    const auto result = wait->waiter.wait(call.deadline, yield);
    wait->isOver = true;
    return result;
}

auto Gateway::runAttempts(Call& call, boost::asio::yield_context yield) -> CallResult
{
    auto& admission = *this->admissions.at(call.pool);
    auto& budget = this->retryBudgets.at(call.pool);
    budget.recordFirstAttempt();
    auto wish = this->wishOf(call);
    auto doubt = std::optional<ResultCode> {};
    for (auto attempt = 1U;; ++attempt) {
        const auto slot = call.isSpilled && attempt == 1
            ? admission.tryAcquire(this->option.reservedForLocal)
            : admission.acquire(this->slotRequestOf(call, wish), *call.caller, yield);
        if (slot.target.empty())
            return this->withoutTarget(call, doubt, slot.refusal, attempt, yield);
        // The caller may have left while its request waited for a token.
        if (call.caller->gone()) {
            admission.release(slot.target, TargetResult::Abandoned, {});
            return { ResultCode::CallerGone, {}, {} };
        }
        if (!this->isStillAuthorized(call)) {
            admission.release(slot.target, TargetResult::Abandoned, {});
            return { doubt.value_or(ResultCode::KeyUnknown), {}, {} };
        }
        auto result = this->runOnce(call, admission, slot.target, attempt == 1, yield);
        result.target = slot.target;
        result.pool = call.pool;
        result.attempts = attempt;
        if (result.code == ResultCode::Answered || result.code == ResultCode::CallerGone)
            return result;
        // Another server at the address has nothing to do with the request: the route's attempts are not spent on it.
        if (result.code == ResultCode::TargetReplaced)
            --attempt;
        const auto outcome = resultInfo(result.code).outcome;
        const auto attempted
            = AttemptResult { outcome, call.route->idempotent, attempt, call.deadline, call.route->attempts };
        // An attempt in doubt stays in doubt, whatever a later one proves of itself.
        if (outcome != Outcome::NotRun)
            doubt = result.code;
        if (!budget.tryRetry(attempted, this->clock.now())) {
            result.code = doubt.value_or(result.code);
            return result;
        }
        const auto reason = "reason=\"" + std::string { resultInfo(result.code).name } + "\"";
        this->metrics.count("citronloft_retries_total", reason);
        this->logRetry(call, result.code, slot.target, attempt);
        wish.avoid.push_back(slot.target);
    }
}

auto Gateway::slotRequestOf(const Call& call, const TargetWish& wish) const -> SlotRequest
{
    auto request = SlotRequest { call.teamIndex, 1, call.deadline, wish };
    if (call.team != nullptr) {
        request.weight = call.team->weight;
        request.rank = call.team->priority * ranksPerTeamRank;
    }
    request.rank += call.route->priority;
    const auto known = this->routeLatencies.find(call.route->name);
    const auto latency = known == this->routeLatencies.end() ? Duration {} : known->second;
    request.usefulUntil = objectiveEnd(call) - latency;
    return request;
}

/// @return when the route's objective ends; its deadline if it has none.
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

/// @param doubt result of an earlier attempt that may have run.
auto Gateway::withoutTarget(Call& call, std::optional<ResultCode> doubt, ResultCode refusal, unsigned attempt,
    boost::asio::yield_context yield) -> CallResult
{
    const auto isForwarded
        = !doubt && !call.isSpilled && refusal != ResultCode::CallerGone && !this->option.discoversTargets;
    if (isForwarded)
        return this->spillRouter.forward(call, refusal, yield);
    auto result = CallResult { doubt.value_or(refusal), {}, busyRetryAfter };
    result.pool = call.pool;
    result.attempts = attempt - 1;
    return result;
}

auto Gateway::runOnce(Call& call, PoolAdmission& admission, const std::string& target, bool mayRetry,
    boost::asio::yield_context yield) -> CallResult
{
    const auto startedAt = this->clock.now();
    const auto* live = admission.targets().target(target);
    if (live == nullptr)
        return { ResultCode::NoTarget, {}, busyRetryAfter };
    auto cancel = ExchangeCancel {};
    auto exchangeOption = ExchangeOption { .deadline = call.deadline, .cancel = &cancel };
    exchangeOption.connectionLimit = admission.targets().connectionLimit(target);
    exchangeOption.idField = this->dialect->requestIdField();
    exchangeOption.id = call.fields.requestId;
    if (!call.route->idempotent) {
        exchangeOption.reuseWithin = this->option.provedWithin;
    } else if (mayRetry && this->option.limitsFirstAttempt) {
        // A silent connection costs an idempotent request one attempt, not its whole deadline.
        const auto patience
            = std::max<Duration>(admission.targets().serviceTime() * attemptLatencies, leastAttemptTime);
        exchangeOption.deadline = std::min(call.deadline, startedAt + patience);
    }
    call.caller->onGone([&cancel] { cancel.cancel(); });
    const auto address = parseAddress(live->target.address);
    const auto request = makeForwardedRequest(*this->dialect, call, live->instance, startedAt);
    auto exchange = this->client->exchange(*address, request, exchangeOption, yield);
    call.caller->onGone(nullptr);
    auto code = codeOf(exchange.error);
    const auto fields = this->dialect->readAnswer(exchange.response);
    if (code == ResultCode::Answered && fields.misdirected)
        code = ResultCode::TargetReplaced;
    else if (code == ResultCode::Answered && fields.notRun)
        code = ResultCode::TargetShed;
    if (code == ResultCode::TargetTimeout || code == ResultCode::TargetReplaced)
        this->client->closeIdle(*address);
    this->readLoad(admission, target, fields);
    admission.release(target, resultOf(code, exchange.response), this->clock.now() - startedAt);
    if (code == ResultCode::Answered)
        this->recordLatency(call, this->clock.now() - startedAt);
    if (code == ResultCode::Answered)
        this->dialect->cleanAnswer(exchange.response, call.request->method == "HEAD");
    return { code, std::move(exchange.response), busyRetryAfter };
}

/// A forwarded request has been checked and charged by its sender; this host decides by its own headroom alone.
auto Gateway::handleSpilled(Call& call, boost::asio::yield_context yield) -> CallResult
{
    if (const auto code = this->spillRouter.accept(call); code != ResultCode::Answered)
        return { code, {}, busyRetryAfter };
    if (call.team == nullptr)
        call.teamIndex = openTeamIndex;
    this->findPool(call);
    this->setDeadline(call);
    return this->runAttempts(call, yield);
}

auto Gateway::setDeadline(Call& call) const -> void
{
    call.deadline
        = call.receivedAt + std::min(call.route->deadline, call.fields.patience.value_or(call.route->deadline));
}

auto Gateway::tick() -> void
{
    const auto now = this->clock.now();
    this->lookup.tick(now);
    const auto part = this->option.discoversTargets ? 1.0 : this->fleet.zonePart();
    auto headroom = std::vector<PoolHeadroom> {};
    for (auto& [name, admission] : this->admissions) {
        admission->targets().setHostPart(part);
        admission->tick();
        const auto room = std::min<std::uint32_t>(admission->headroom(), UINT16_MAX);
        headroom.push_back({ static_cast<std::uint32_t>(bucketId(name)), static_cast<std::uint16_t>(room) });
    }
    this->fleet.membership().setHeadroom(std::move(headroom));
    if (this->option.discoversTargets)
        this->shareLoads(now);
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
    const auto hasAnswer = result.code == ResultCode::Answered || result.code == ResultCode::LookupAnswered;
    if (result.code == ResultCode::Answered)
        this->metrics.observe("citronloft_request_seconds", took);
    if (!hasAnswer)
        this->logFailure(request, result, took);
    auto response = hasAnswer
        ? std::move(result.response)
        : this->dialect->refuse(result.code, std::chrono::ceil<std::chrono::milliseconds>(result.retryAfter));
    this->dialect->annotate(response, result.code, this->snapshot ? this->snapshot->active->version : 0);
    return response;
}

} // namespace citronloft
