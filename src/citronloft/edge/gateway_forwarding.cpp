#include <limits>
#include <utility>

#include "citronloft/edge/gateway.hpp"

namespace citronloft {

auto Gateway::setReachesTargets(bool reaches) -> void
{
    if (this->reachesTargets == reaches)
        return;
    this->reachesTargets = reaches;
    this->fleet.membership().setReachesTargets(reaches);
    this->refreshLookups();
    if (reaches)
        return;
    // Queued requests are forwarded, or refused if another host forwarded them.
    for (auto& [name, admission] : this->admissions)
        admission->refuseQueued(ResultCode::SpillRefused);
}

/// Returns the result of a request that must not be sent any more: while it waited, its caller may have disconnected,
/// its deadline may have passed, its key may have been withdrawn, and it may have been quarantined.
auto Gateway::reasonNotToSend(Call& call, const Progress& progress) const -> std::optional<ResultCode>
{
    if (call.caller->isDisconnected())
        return ResultCode::CallerGone;
    if (this->clock.now() >= call.deadline)
        return progress.uncertainResult.value_or(ResultCode::DeadlineTooShort);
    if (this->refusesUnsent)
        return progress.uncertainResult.value_or(ResultCode::HostLeaving);
    if (!this->isStillAuthorized(call))
        return progress.uncertainResult.value_or(ResultCode::KeyUnknown);
    if (this->isQuarantined(call))
        return progress.uncertainResult.value_or(ResultCode::RequestQuarantined);
    return std::nullopt;
}

/// Returns whether a request must leave this host. A request that no other host could run is tried here once more,
/// since open connections may outlive the path.
auto Gateway::lacksPath(const Progress& progress) const -> bool
{
    return !this->reachesTargets && !progress.wasForwarded;
}

/// Forwards a request while this host does not reach targets, or refuses it if another host forwarded it: a request is
/// forwarded only once, so that it never travels in a circle.
/// @return nothing if the request is to be tried on this host.
auto Gateway::leaveHost(Call& call, const TargetRequirements& requirements, Progress& progress,
    boost::asio::yield_context yield) -> std::optional<CallResult>
{
    if (!this->lacksPath(progress))
        return std::nullopt;
    if (!call.isSpilled)
        return this->passOn(call, requirements, progress, std::numeric_limits<std::size_t>::max(), yield);
    auto result = CallResult { progress.uncertainResult.value_or(ResultCode::SpillRefused), {}, busyRetryAfter };
    result.sent = progress.sent;
    return result;
}

/// Forwards a request whose connection failed and that this host does not retry to one other host: the path may be
/// lost, which is not known yet.
auto Gateway::passOnUnsent(Call& call, const TargetRequirements& requirements, Progress& progress,
    boost::asio::yield_context yield) -> std::optional<CallResult>
{
    if (!progress.isUnsent || call.isSpilled)
        return std::nullopt;
    return this->passOn(call, requirements, progress, 1, yield);
}

/// @return nothing if no host was found that reaches targets.
auto Gateway::passOn(Call& call, const TargetRequirements& requirements, Progress& progress, std::size_t maxHosts,
    boost::asio::yield_context yield) -> std::optional<CallResult>
{
    if (std::exchange(progress.wasForwarded, true) || progress.sent >= call.maxAttempts)
        return std::nullopt;
    if (const auto code = this->reasonNotToSend(call, progress))
        return CallResult { *code, {}, {} };
    const auto reason = this->reachesTargets ? SpillReason::ConnectFailed : SpillReason::NoPath;
    auto result = this->spillRouter.passOn(
        call, { reason, requirements.regions, call.maxAttempts - progress.sent, maxHosts }, yield);
    if (!result)
        return std::nullopt;
    this->recordForwardedStatements(call, *result);
    if (provesNotRun(result->code))
        result->code = progress.uncertainResult.value_or(result->code);
    progress.sent += result->sent;
    result->sent = progress.sent;
    result->pool = call.pool;
    result->attempts = progress.sent;
    return result;
}

} // namespace citronloft
