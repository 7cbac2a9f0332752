#include "citronloft/edge/spill_router.hpp"

#include <algorithm>

#include "citronloft/base/digest.hpp"
#include "citronloft/base/log.hpp"

namespace citronloft {

namespace {

/// Returns whether a host that reaches targets refused a request for lack of capacity.
auto isBusy(ResultCode code) -> bool { return code == ResultCode::QueueFull || code == ResultCode::DeadlineTooShort; }

/// Returns whether a host could not be reached, does not reach targets, or does not know this host's tickets.
auto isUnable(ResultCode code) -> bool
{
    return code == ResultCode::SpillRefused || code == ResultCode::PeerUnauthenticated;
}

auto freeSlotsOf(const HostEntry& host, std::uint32_t pool) -> std::uint32_t
{
    const auto found = std::ranges::find(host.headroom, pool, &PoolHeadroom::pool);
    return found == host.headroom.end() ? 0 : found->freeSlots;
}

} // namespace

SpillRouter::SpillRouter(const Clock& clock, Metrics& metrics, FleetHost& fleet, std::shared_ptr<HttpClient> client,
    const Dialect& dialect, SpillRouterOption option)
    : clock(clock)
    , metrics(metrics)
    , fleet(fleet)
    , client(std::move(client))
    , dialect(dialect)
    , option(std::move(option))
    , signer(this->option.fleetSecret)
    , hostsWithPath(randomId())
{
}

auto SpillRouter::forward(Call& call, ResultCode localRefusal, unsigned attempts, boost::asio::yield_context yield)
    -> CallResult
{
    auto result = CallResult { localRefusal, {}, busyRetryAfter };
    auto hostCount = std::size_t { 0 };
    for (const auto& host : this->candidates(call)) {
        if (hostCount == this->option.maxAttempts || attempts == 0 || this->clock.now() >= call.deadline)
            break;
        if (!this->chargeShift(call, regionOf(call, host.zone))) {
            this->metrics.count("citronloft_spills_total", "result=\"cap-reached\"");
            result.code = ResultCode::ShiftCapReached;
            continue;
        }
        ++hostCount;
        result = this->forwardTo(call, host, SpillReason::NoCapacity, attempts, yield);
        if (!provesNotRun(result.code))
            break;
        attempts -= std::min(attempts, result.sent);
    }
    return result;
}

auto SpillRouter::passOn(Call& call, PassOnOption option, boost::asio::yield_context yield) -> std::optional<CallResult>
{
    const auto query = CandidateQuery { this->option.zone, std::move(option.regions),
        [&call](const std::string& zone) { return regionOf(call, zone); } };
    auto hosts = this->hostsWithPath.select(this->fleet.membership(), query, this->clock.now());
    hosts.resize(std::min(hosts.size(), option.maxHosts));
    auto busyResult = std::optional<CallResult> {};
    for (const auto& host : hosts) {
        if (this->clock.now() >= call.deadline)
            break;
        if (!this->chargeShift(call, regionOf(call, host.zone))) {
            this->metrics.count("citronloft_spills_total", "result=\"cap-reached\"");
            continue;
        }
        auto result = this->forwardTo(call, host, option.reason, option.attempts, yield);
        // The receiving host has used its own retries, so a request that was sent to a target is not forwarded again.
        const auto isFinal = !provesNotRun(result.code) || result.sent > 0;
        if (isFinal || result.code == ResultCode::RequestQuarantined)
            return result;
        if (isBusy(result.code))
            busyResult = std::move(result);
        else if (isUnable(result.code))
            this->hostsWithPath.recordUnable(host, this->clock.now());
    }
    return busyResult;
}

auto SpillRouter::accept(Call& call) -> ResultCode
{
    const auto now = this->clock.now();
    const auto ticket = this->signer.verify(*call.request, now);
    if (!ticket.ok())
        return ResultCode::PeerUnauthenticated;
    const auto& config = call.snapshot->active->config;
    const auto route = std::ranges::find(config.routes, ticket->route, &Route::name);
    const auto team = std::ranges::find(config.teams, ticket->team, &Team::name);
    const auto isTeamKnown = team != config.teams.end();
    if (route == config.routes.end() || (!isTeamKnown && !ticket->team.empty()))
        return ResultCode::SpillRefused;
    call.route = &*route;
    call.team = isTeamKnown ? &*team : nullptr;
    call.teamIndex = static_cast<std::size_t>(team - config.teams.begin());
    call.spillReason = ticket->reason;
    call.maxAttempts = std::min(ticket->attempts, route->attempts);
    return ResultCode::Answered;
}

auto SpillRouter::forwardTo(Call& call, const HostEntry& host, SpillReason reason, unsigned attempts,
    boost::asio::yield_context yield) -> CallResult
{
    auto forwarded = ForwardedRequest(this->dialect, call, {}, this->clock.now());
    const auto ticket
        = SpillTicket { call.team == nullptr ? "" : call.team->name, call.route->name, randomId(), reason, attempts };
    forwarded.request.fields.set(spillHeader, this->signer.sign(ticket, forwarded.request));
    auto cancel = ExchangeCancel {};
    cancel.isAbandoned = [&call] { return call.caller->hasLeft(); };
    auto exchangeOption = ExchangeOption { .deadline = call.deadline, .cancel = &cancel };
    if (!call.route->idempotent || reason != SpillReason::NoCapacity)
        exchangeOption.maxIdleTime = this->option.nonIdempotentMaxIdleTime;
    call.caller->onDisconnect([&cancel] { cancel.cancel(); });
    auto exchange = this->client->exchange(host.serviceAddress(), forwarded.request, exchangeOption, yield);
    call.caller->onDisconnect(nullptr);
    if (exchange.error == ExchangeError::Cancelled)
        return { ResultCode::CallerGone, {}, {} };
    auto result = CallResult { ResultCode::PeerLost, {}, busyRetryAfter };
    if (exchange.error != ExchangeError::None) {
        this->metrics.count("citronloft_spills_total", "result=\"failed\"");
        result.code = exchange.sent ? ResultCode::PeerLost : ResultCode::SpillRefused;
        this->logForwarded(call, host, reason, result);
        return result;
    }
    const auto reported = takeSpillFields(exchange.response).value_or(SpillResult {});
    const auto isAnswered = reported.code == ResultCode::Answered;
    this->metrics.count("citronloft_spills_total", isAnswered ? "result=\"answered\"" : "result=\"refused\"");
    if (isAnswered)
        this->dialect.sanitizeResponse(exchange.response, call.request->method == "HEAD");
    // Hosts of older versions pass on successes that are no response of a target.
    const auto isInvalid = isAnswered && !this->dialect.isTargetResponse(exchange.response, call.fields.requestId);
    result.code = isInvalid ? ResultCode::AnswerCut : reported.code;
    result.sent = reported.sent;
    result.target = reported.target;
    result.response = std::move(exchange.response);
    this->logForwarded(call, host, reason, result);
    return result;
}

auto SpillRouter::logForwarded(const Call& call, const HostEntry& host, SpillReason reason, const CallResult& result)
    -> void
{
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow(resultInfo(result.code).name, this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Info, "request-forwarded")
        .with("request", call.fields.requestId)
        .with("to", formatAddress(host.serviceAddress()))
        .with("zone", host.zone)
        .with("reason", spillReasonName(reason))
        .with("result", resultInfo(result.code).name)
        .with("sent", result.sent)
        .with("target", result.target)
        .with("left_out", suppressedLines);
}

auto SpillRouter::chargeShift(const Call& call, const std::string& toRegion) -> bool
{
    const auto fromRegion = regionOf(call, this->option.zone);
    if (fromRegion == toRegion || !this->option.chargesShifts)
        return true;
    const auto now = this->clock.now();
    const auto bytes = static_cast<std::int64_t>(call.request->body.size()) + this->option.expectedAnswerBytes;
    const auto requestBucket = bucketId(shiftBucketName(fromRegion, toRegion, false));
    const auto byteBucket = bucketId(shiftBucketName(fromRegion, toRegion, true));
    auto& rates = this->fleet.rates();
    return rates.tryAcquire(requestBucket, microTokensPerToken, now)
        && rates.tryAcquire(byteBucket, bytes * microTokensPerToken, now);
}

/// Returns the serving hosts of other zones that report free slots for the pool: hosts of this region first, then by
/// the number of free slots.
auto SpillRouter::candidates(const Call& call) const -> std::vector<HostEntry>
{
    const auto pool = static_cast<std::uint32_t>(bucketId(call.pool));
    auto hosts = this->fleet.membership().remoteHosts();
    std::erase_if(hosts, [&](const HostEntry& host) {
        return !host.isServing() || !host.reachesTargets || freeSlotsOf(host, pool) == 0;
    });
    const auto ownRegion = regionOf(call, this->option.zone);
    std::ranges::stable_sort(hosts, [&](const HostEntry& left, const HostEntry& right) {
        const auto isLeftInOwnRegion = regionOf(call, left.zone) == ownRegion;
        const auto isRightInOwnRegion = regionOf(call, right.zone) == ownRegion;
        return isLeftInOwnRegion != isRightInOwnRegion ? isLeftInOwnRegion
                                                       : freeSlotsOf(left, pool) > freeSlotsOf(right, pool);
    });
    return hosts;
}

} // namespace citronloft
