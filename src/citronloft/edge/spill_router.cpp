#include "citronloft/edge/spill_router.hpp"

#include <algorithm>
#include <charconv>

#include "citronloft/base/digest.hpp"

namespace citronloft {

namespace {

/// Returns the result code in a peer's response, or PeerLost if it is missing or unknown.
auto resultCodeOf(const HttpResponse& response) -> ResultCode
{
    auto number = 0U;
    const auto text = response.fields.get(codeHeader);
    std::from_chars(text.data(), text.data() + text.size(), number);
    const auto known = std::ranges::find(
        resultTable(), number, [](const ResultInfo& info) { return static_cast<unsigned>(info.code); });
    return known == resultTable().end() ? ResultCode::PeerLost : known->code;
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
{
}

auto SpillRouter::forward(Call& call, ResultCode localRefusal, boost::asio::yield_context yield) -> CallResult
{
    auto result = CallResult { localRefusal, {}, busyRetryAfter };
    auto attempts = std::size_t { 0 };
    for (const auto& host : this->candidates(call)) {
        if (attempts == this->option.maxAttempts || this->clock.now() >= call.deadline)
            break;
        if (!this->chargeShift(call, regionOf(call, host.zone))) {
            this->metrics.count("citronloft_spills_total", "result=\"cap-reached\"");
            result.code = ResultCode::ShiftCapReached;
            continue;
        }
        ++attempts;
        result = this->forwardTo(call, host, yield);
        if (!provesNotRun(result.code))
            break;
    }
    return result;
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
    return ResultCode::Answered;
}

auto SpillRouter::forwardTo(Call& call, const HostEntry& host, boost::asio::yield_context yield) -> CallResult
{
    auto request = makeForwardedRequest(this->dialect, call, {}, this->clock.now());
    const auto ticket = SpillTicket { call.team == nullptr ? "" : call.team->name, call.route->name, randomId() };
    request.fields.set(spillHeader, this->signer.sign(ticket, request));
    auto cancel = ExchangeCancel {};
    auto exchangeOption = ExchangeOption { .deadline = call.deadline, .cancel = &cancel };
    if (!call.route->idempotent)
        exchangeOption.maxIdleTime = this->option.nonIdempotentMaxIdleTime;
    call.caller->onDisconnect([&cancel] { cancel.cancel(); });
    auto exchange = this->client->exchange(host.serviceAddress(), request, exchangeOption, yield);
    call.caller->onDisconnect(nullptr);
    if (exchange.error == ExchangeError::Cancelled)
        return { ResultCode::CallerGone, {}, {} };
    if (exchange.error != ExchangeError::None) {
        this->metrics.count("citronloft_spills_total", "result=\"failed\"");
        return { exchange.sent ? ResultCode::PeerLost : ResultCode::SpillRefused, {}, busyRetryAfter };
    }
    const auto code = resultCodeOf(exchange.response);
    const auto isAnswered = code == ResultCode::Answered;
    this->metrics.count("citronloft_spills_total", isAnswered ? "result=\"answered\"" : "result=\"refused\"");
    if (isAnswered)
        this->dialect.sanitizeResponse(exchange.response, call.request->method == "HEAD");
    return { code, std::move(exchange.response), busyRetryAfter };
}

auto SpillRouter::chargeShift(const Call& call, const std::string& toRegion) -> bool
{
    const auto fromRegion = regionOf(call, this->option.zone);
    if (fromRegion == toRegion)
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
    std::erase_if(
        hosts, [&](const HostEntry& host) { return host.state != HostState::Serving || freeSlotsOf(host, pool) == 0; });
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
