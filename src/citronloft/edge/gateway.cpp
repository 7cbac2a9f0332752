#include "citronloft/edge/gateway.hpp"

#include <algorithm>
#include <charconv>

#include "citronloft/base/digest.hpp"
#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

constexpr auto idempotencyHeader = "Idempotency-Key";
constexpr auto greatestIdempotencyKeyBytes = std::size_t { 255 };
/// Open routes stand in the fair queue as one team of their own.
constexpr auto openTeamIndex = std::size_t { 1'000'000 };
constexpr auto leastAttemptTime = std::chrono::milliseconds { 250 };
constexpr auto attemptLatencies = 8;

auto isTargetRefusal(const HttpResponse& response) -> bool
{
    return response.status == 503 && response.fields.get(outcomeHeader) == "not-run";
}

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
    if (code != ResultCode::Answered || response.status >= 500)
        return TargetResult::Failed;
    return TargetResult::Answered;
}

auto parseMilliseconds(std::string_view text) -> std::optional<std::chrono::milliseconds>
{
    auto value = std::int64_t { 0 };
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return std::chrono::milliseconds { std::min<std::int64_t>(value, 3'600'000) };
}

} // namespace

Gateway::Gateway(
    boost::asio::io_context& context, const Clock& clock, Metrics& metrics, FleetHost& fleet, GatewayOption option)
    : context(context)
    , clock(clock)
    , metrics(metrics)
    , fleet(fleet)
    , option(std::move(option))
    , lookup(fleet.membership(), this->option.zone)
    , retryBudget(this->option.retry)
    , client(makeHttpClient(context, clock))
    , prober(clock, client)
    , spillRouter(clock, metrics, fleet, client,
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
        auto& admission = this->admissions[pool.name];
        if (!admission) {
            const auto makeQueue = this->option.queue == QueueStrategy::Fifo ? makeFifoQueue : makeFairQueue;
            admission = std::make_unique<PoolAdmission>(this->context, this->clock, makeQueue(this->option.queueLimits),
                TargetPool(this->option.targets, randomId()));
        }
        auto local = std::vector<Target> {};
        std::ranges::copy_if(pool.targets, std::back_inserter(local),
            [&](const Target& target) { return target.zone == this->option.zone; });
        admission->targets().setTargets(local, this->clock.now());
    }
}

auto Gateway::handle(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> HttpResponse
{
    const auto startedAt = this->clock.now();
    ++this->running;
    auto result = this->dispatch(request, caller, yield);
    --this->running;
    return this->finish(std::move(result), startedAt);
}

auto Gateway::dispatch(HttpRequest& request, CallerContext& caller, boost::asio::yield_context yield) -> CallResult
{
    if (request.method == "GET"
        && std::string_view { request.target }.substr(0, request.target.find('?')) == lookupPath) {
        auto answer = this->lookup.answer(request, caller.caller.ip);
        if (answer.status != 200)
            return { ResultCode::ShiftCapReached, {}, busyRetryAfter };
        return { ResultCode::LookupAnswered, std::move(answer), {} };
    }
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
    call.isSpilled = request.fields.has(spillHeader);
    return call.isSpilled ? this->handleSpilled(call, yield) : this->handleCaller(call, yield);
}

auto Gateway::handleCaller(Call& call, boost::asio::yield_context yield) -> CallResult
{
    call.route = call.snapshot->routes.find(call.request->method, call.request->target);
    if (call.route == nullptr)
        return { ResultCode::RouteUnknown, {}, {} };
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
    const auto& fields = call.request->fields;
    const auto idempotencyKey = fields.get(idempotencyHeader);
    if (fields.has(idempotencyHeader)
        && (idempotencyKey.empty() || idempotencyKey.size() > greatestIdempotencyKeyBytes))
        return ResultCode::IdempotencyKeyInvalid;
    call.teamIndex = openTeamIndex;
    if (call.route->open)
        return ResultCode::Answered;
    if (!fields.has(keyHeader))
        return ResultCode::KeyMissing;
    const auto team = call.snapshot->keys.find(fields.get(keyHeader));
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
    const auto team = this->snapshot->keys.find(call.request->fields.get(keyHeader));
    return team && this->snapshot->active->config.teams[*team].name == call.team->name;
}

auto Gateway::admitRate(const Call& call, boost::asio::yield_context yield) -> RateDecision
{
    if (call.team == nullptr)
        return { .admitted = true, .waited = false, .retryAfter = {} };
    auto waiter = std::make_shared<Waiter<RateDecision>>(this->context);
    const auto id = this->fleet.rates().acquire(bucketId(teamBucketName(call.team->name)), microTokensPerToken,
        call.deadline, this->clock.now(), [waiter](RateDecision decision) { waiter->set(decision); });
    const auto decision = waiter->wait(call.deadline, yield);
    if (!decision && id != 0)
        this->fleet.rates().cancel(id);
    return decision.value_or(RateDecision {});
}

/// A non-idempotent request with an idempotency key is sent only once its key has been claimed in the store.
auto Gateway::claimAndRun(Call& call, boost::asio::yield_context yield) -> CallResult
{
    if (call.route->idempotent || !call.request->fields.has(idempotencyHeader))
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
    const auto key = std::string { call.request->fields.get(idempotencyHeader) };
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
    auto& admission = *this->admissions.at(call.route->pool);
    this->retryBudget.recordFirstAttempt();
    auto avoid = std::string {};
    auto doubt = std::optional<ResultCode> {};
    for (auto attempt = 1U;; ++attempt) {
        const auto weight = call.team == nullptr ? 1U : call.team->weight;
        const auto slot = call.isSpilled && attempt == 1
            ? admission.tryAcquire(this->option.reservedForLocal)
            : admission.acquire({ call.teamIndex, weight, call.deadline, avoid }, *call.caller, yield);
        if (slot.target.empty() && doubt)
            return { *doubt, {}, {} };
        if (slot.target.empty() && (call.isSpilled || slot.refusal == ResultCode::CallerGone))
            return { slot.refusal, {}, busyRetryAfter };
        if (slot.target.empty())
            return this->spillRouter.forward(call, slot.refusal, yield);
        if (!this->isStillAuthorized(call)) {
            admission.release(slot.target, TargetResult::Abandoned, {});
            return { doubt.value_or(ResultCode::KeyUnknown), {}, {} };
        }
        auto result = this->runOnce(call, admission, slot.target, attempt == 1, yield);
        if (result.code == ResultCode::Answered || result.code == ResultCode::CallerGone)
            return result;
        const auto outcome = resultInfo(result.code).outcome;
        const auto attempted = AttemptResult { outcome, call.route->idempotent, attempt, call.deadline };
        // An attempt in doubt stays in doubt, whatever a later one proves of itself.
        if (outcome != Outcome::NotRun)
            doubt = result.code;
        if (!this->retryBudget.tryRetry(attempted, this->clock.now()))
            return { doubt.value_or(result.code), {}, busyRetryAfter };
        const auto reason = "reason=\"" + std::string { resultInfo(result.code).name } + "\"";
        this->metrics.count("citronloft_retries_total", reason);
        avoid = slot.target;
    }
}

auto Gateway::runOnce(Call& call, PoolAdmission& admission, const std::string& target, bool mayRetry,
    boost::asio::yield_context yield) -> CallResult
{
    const auto startedAt = this->clock.now();
    auto cancel = ExchangeCancel {};
    auto exchangeOption = ExchangeOption { .deadline = call.deadline, .cancel = &cancel };
    exchangeOption.connectionLimit = admission.targets().connectionLimit(target);
    if (!call.route->idempotent) {
        exchangeOption.reuseWithin = this->option.provedWithin;
    } else if (mayRetry) {
        // A silent connection costs an idempotent request one attempt, not its whole deadline.
        const auto patience
            = std::max<Duration>(admission.targets().serviceTime() * attemptLatencies, leastAttemptTime);
        exchangeOption.deadline = std::min(call.deadline, startedAt + patience);
    }
    call.caller->onGone([&cancel] { cancel.cancel(); });
    const auto address = parseAddress(target);
    auto exchange = this->client->exchange(*address, makeForwardedRequest(call, startedAt), exchangeOption, yield);
    call.caller->onGone(nullptr);
    auto code = codeOf(exchange.error);
    if (code == ResultCode::Answered && isTargetRefusal(exchange.response))
        code = ResultCode::TargetShed;
    if (code == ResultCode::TargetTimeout)
        this->client->closeIdle(*address);
    admission.release(target, resultOf(code, exchange.response), this->clock.now() - startedAt);
    if (code == ResultCode::Answered)
        cleanAnswer(exchange.response, call.request->method == "HEAD");
    return { code, std::move(exchange.response), busyRetryAfter };
}

/// A forwarded request has been checked and charged by its sender; this host decides by its own headroom alone.
auto Gateway::handleSpilled(Call& call, boost::asio::yield_context yield) -> CallResult
{
    if (const auto code = this->spillRouter.accept(call); code != ResultCode::Answered)
        return { code, {}, busyRetryAfter };
    if (call.team == nullptr)
        call.teamIndex = openTeamIndex;
    this->setDeadline(call);
    return this->runAttempts(call, yield);
}

auto Gateway::setDeadline(Call& call) const -> void
{
    const auto asked = parseMilliseconds(call.request->fields.get(deadlineHeader));
    call.deadline = this->clock.now() + std::min(call.route->deadline, asked.value_or(call.route->deadline));
}

auto Gateway::tick() -> void
{
    const auto now = this->clock.now();
    this->lookup.tick(now);
    const auto part = this->fleet.zonePart();
    auto headroom = std::vector<PoolHeadroom> {};
    for (auto& [name, admission] : this->admissions) {
        admission->targets().setHostPart(part);
        admission->tick();
        const auto room = std::min<std::uint32_t>(admission->headroom(), UINT16_MAX);
        headroom.push_back({ static_cast<std::uint32_t>(bucketId(name)), static_cast<std::uint16_t>(room) });
    }
    this->fleet.membership().setHeadroom(std::move(headroom));
}

auto Gateway::probeTargets(boost::asio::yield_context yield) -> void
{
    for (auto& [name, admission] : this->admissions)
        this->prober.probe(*admission, yield);
}

auto Gateway::finish(CallResult result, TimePoint startedAt) -> HttpResponse
{
    const auto& info = resultInfo(result.code);
    this->metrics.count("citronloft_results_total", "code=\"" + std::string { info.name } + "\"");
    const auto hasAnswer = result.code == ResultCode::Answered || result.code == ResultCode::LookupAnswered;
    if (result.code == ResultCode::Answered)
        this->metrics.observe("citronloft_request_seconds", this->clock.now() - startedAt);
    auto response = hasAnswer
        ? std::move(result.response)
        : problemResponse(result.code, std::chrono::ceil<std::chrono::milliseconds>(result.retryAfter));
    response.fields.set(codeHeader, std::to_string(static_cast<unsigned>(info.code)));
    response.fields.set(outcomeHeader, outcomeName(info.outcome));
    if (this->snapshot)
        response.fields.set("Citronloft-Config-Version", std::to_string(this->snapshot->active->version));
    return response;
}

} // namespace citronloft
