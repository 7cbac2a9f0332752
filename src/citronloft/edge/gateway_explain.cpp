#include <utility>

#include "citronloft/edge/gateway.hpp"

namespace citronloft {

auto Gateway::explain(const HttpRequest& original) const -> RequestExplanation
{
    auto explanation = RequestExplanation {};
    explanation.reachesTargets = this->reachesTargets;
    explanation.configVersion = this->snapshot ? this->snapshot->active->version : 0;
    explanation.refusal = this->checkRequest(original);
    if (explanation.refusal != ResultCode::Answered)
        return explanation;
    auto request = original;
    auto call = Call {};
    call.snapshot = this->snapshot;
    call.request = &request;
    call.fields = this->dialect->parseRequest(request);
    call.receivedAt = this->clock.now();
    explanation.refusal = this->checkCaller(call);
    explanation.route = call.route == nullptr ? "" : call.route->name;
    explanation.team = call.team == nullptr ? "" : call.team->name;
    if (explanation.refusal != ResultCode::Answered)
        return explanation;
    explanation.rate = this->explainRate(call);
    this->explainPools(call, explanation);
    return explanation;
}

/// @return nothing if the request is not limited by a rate.
auto Gateway::explainRate(const Call& call) const -> std::optional<ExplainedRate>
{
    if (call.team == nullptr || call.team->rate <= 0)
        return std::nullopt;
    const auto state
        = std::as_const(this->fleet.rates()).state(bucketId(teamBucketName(call.team->name)), this->clock.now());
    return ExplainedRate { state.fleetPerSecond, state.hostPerSecond, state.tokens };
}

auto Gateway::explainPools(const Call& call, RequestExplanation& explanation) const -> void
{
    auto parts = std::vector<PoolWeight> {};
    for (const auto& part : call.route->split) {
        if (part.weight > 0)
            parts.push_back(part);
    }
    if (parts.empty())
        parts.push_back({ call.route->pool, 1 });
    for (const auto& part : parts) {
        auto partCall = call;
        partCall.pool = part.pool;
        const auto requirements = this->fixedRequirementsOf(partCall);
        explanation.regions = requirements.regions;
        explanation.hasObject = requirements.object.has_value();
        explanation.pools.push_back(this->explainPool(partCall, part));
    }
    combinePools(explanation);
}

/// A request without a target waits in the pool's queue if the pool has usable targets. Otherwise it goes to another
/// host if this one does not know the targets of other zones.
auto Gateway::explainPool(const Call& call, const PoolWeight& part) const -> ExplainedPool
{
    const auto now = this->clock.now();
    auto& admission = *this->admissions.at(part.pool);
    auto pool = ExplainedPool { .pool = part.pool, .weight = part.weight, .queued = admission.queued(), .choice = {} };
    const auto order = this->option.discoversTargets ? TargetOrder::RandomByWeight : TargetOrder::LessLoadedOfTwo;
    const auto requirements = this->fixedRequirementsOf(call);
    pool.choice = std::as_const(admission.targets()).explain(requirements, order, now);
    // Requests for an object do not wait behind those for other targets.
    const auto waitsBehindOthers = pool.queued > 0 && !this->option.discoversTargets;
    if (!this->reachesTargets)
        pool.outcome = ExplainedOutcome::Forwarded;
    else if (pool.choice.isSent() && !waitsBehindOthers)
        pool.outcome = ExplainedOutcome::Sent;
    else if (pool.choice.hasUsableTarget)
        pool.outcome = ExplainedOutcome::Waiting;
    else if (!this->option.discoversTargets)
        pool.outcome = ExplainedOutcome::Forwarded;
    else
        pool.refusal = ResultCode::NoTarget;
    return pool;
}

} // namespace citronloft
