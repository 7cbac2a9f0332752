#include <algorithm>
#include <array>

#include "citronloft/edge/gateway.hpp"

namespace citronloft {

namespace {

auto targetResultOf(ResultCode code, const HttpResponse& response) -> TargetResult
{
    if (code == ResultCode::TargetShed)
        return TargetResult::Shed;
    constexpr auto abandoned = std::to_array(
        { ResultCode::CallerGone, ResultCode::DeadlineTooShort, ResultCode::NoTarget, ResultCode::AnswerNotHeld });
    if (std::ranges::find(abandoned, code) != abandoned.end())
        return TargetResult::Abandoned;
    if (code == ResultCode::TargetReplaced)
        return TargetResult::Misdirected;
    if (code == ResultCode::ConnectFailed)
        return TargetResult::Unreachable;
    if (code != ResultCode::Answered || response.status >= 500)
        return TargetResult::Failed;
    return TargetResult::Answered;
}

/// @return whether an attempt that ended like this may have failed for want of a path to its target.
auto mayBePathFailure(ResultCode code) -> bool
{
    return code == ResultCode::ConnectFailed || code == ResultCode::TargetTimeout || code == ResultCode::ConnectionLost;
}

} // namespace

auto Gateway::mayBeCrash(ResultCode code) -> bool
{
    return code == ResultCode::ConnectionLost || code == ResultCode::AnswerCut;
}

auto Gateway::exchangeWithTarget(const std::string& target, const Address& address, const HttpRequest& request,
    const ExchangeOption& exchangeOption, boost::asio::yield_context yield) -> Exchange
{
    const auto startedAt = this->clock.now();
    this->pathMonitor->recordStart();
    auto exchange = this->client->exchange(address, request, exchangeOption, yield);
    this->pathMonitor->recordEnd(target, exchange, startedAt);
    return exchange;
}

/// Returns what a result means for the health of its target; failures of the path are not the target's.
auto Gateway::healthResultOf(ResultCode code, const HttpResponse& response, TimePoint startedAt) const -> TargetResult
{
    const auto isPathFailure = mayBePathFailure(code) && this->pathMonitor->isPathFailure(startedAt);
    return isPathFailure ? TargetResult::Abandoned : targetResultOf(code, response);
}

auto Gateway::recordAnswer(std::uint64_t request) -> void
{
    this->pathMonitor->dropLosses(request);
    this->fleet.quarantine().recordAnswer(request);
}

auto Gateway::allowsRetry(const Call& call, ResultCode code) const -> bool
{
    if (!mayBeCrash(code))
        return true;
    // Losses of one call follow each other so fast that they count once.
    const auto held = this->pathMonitor->holdsLoss(call.identity) ? 1U : 0U;
    return this->fleet.quarantine().allowsRetry(call.identity, held);
}

auto Gateway::tickPath() -> void
{
    const auto update = this->pathMonitor->tick();
    for (const auto& loss : update.confirmedLosses)
        this->fleet.quarantine().recordLoss(loss.request, loss.target, loss.lostAt);
    if (!update.change)
        return;
    const auto isLost = update.change->state == PathState::Lost;
    this->setReachesTargets(!isLost);
    if (!isLost)
        return;
    for (auto& [name, admission] : this->admissions)
        admission->targets().revokeEjections(update.change->since);
}

} // namespace citronloft
