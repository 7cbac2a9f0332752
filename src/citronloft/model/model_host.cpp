#include "model_host.hpp"

#include <algorithm>
#include <random>

namespace citronloft {

namespace {

/// Maximum attempts of one request, each at a different target.
constexpr auto maxAttempts = 2U;

constexpr auto targetResultOf(TaskResult result) -> TargetResult
{
    switch (result) {
    case TaskResult::Answered:
        return TargetResult::Answered;
    case TaskResult::Shed:
        return TargetResult::Shed;
    case TaskResult::Failed:
        return TargetResult::Failed;
    case TaskResult::Lost:
        return TargetResult::Unreachable;
    }
    return TargetResult::Failed;
}

} // namespace

ModelHost::ModelHost(EventQueue& events, const Strategy& strategy, const LoadPattern& pattern,
    std::vector<ReachableTarget> targets, std::uint64_t seed)
    : events(events)
    , strategy(strategy)
    , pattern(pattern)
    , random(seed)
    , slots(strategy.makeQueue({}), TargetPool(strategy.pool, seed + 1))
{
    this->setTargets(std::move(targets));
}

auto ModelHost::setTargets(std::vector<ReachableTarget> changed) -> void
{
    this->targets = std::move(changed);
    auto live = std::vector<LiveTarget> {};
    for (const auto& target : this->targets)
        live.push_back(target.live);
    this->slots.targets().setLiveTargets(live, this->events.now());
}

auto ModelHost::handle(const ModelRequest& request, Done done) -> void
{
    auto running = std::make_shared<PendingRequest>(PendingRequest { request, {}, 0, std::move(done) });
    if (this->strategy.hasObjectAffinity)
        running->requirements.object = request.object;
    this->attempt(running);
}

auto ModelHost::attempt(const PendingPointer& running) -> void
{
    const auto& request = running->request;
    ++running->attempts;
    auto slot = SlotRequest {};
    slot.team = request.team;
    slot.deadline = request.deadline;
    slot.requirements = running->requirements;
    slot.rank = request.kind->rank;
    slot.latestOnTimeStart = request.firstAt + request.kind->objective - request.kind->work;
    this->slots.acquire(slot, this->events.now(), [this, running](const SlotDecision& decision) {
        if (decision.target.empty()) {
            running->done({ TaskResult::Shed, true, false, this->drawRetryAfter() });
            return;
        }
        this->send(running, decision.target);
    });
}

auto ModelHost::send(const PendingPointer& running, const std::string& key) -> void
{
    const auto* target = this->find(key);
    const auto startedAt = this->events.now();
    if (target == nullptr) {
        this->finish(running, key, { TaskResult::Lost, 0, false }, {});
        return;
    }
    const auto task = TargetTask { running->request.object, running->request.kind->work };
    this->events.after(
        target->oneWay, [this, running, key, task, target = target->target, way = target->oneWay, startedAt] {
            target->offer(task, [this, running, key, way, startedAt](const TaskAnswer& answer) {
                this->events.after(way, [this, running, key, answer, startedAt] {
                    this->finish(running, key, answer, this->events.now() - startedAt);
                });
            });
        });
}

auto ModelHost::finish(
    const PendingPointer& running, const std::string& key, const TaskAnswer& answer, Duration latency) -> void
{
    if (answer.result != TaskResult::Lost)
        this->report(key, answer.inFlight);
    this->slots.release(key, targetResultOf(answer.result), latency, this->events.now());
    const auto isSafe = running->request.kind->rank > 0;
    const auto canRetry = answer.result == TaskResult::Shed || (isSafe && answer.result != TaskResult::Answered);
    if (canRetry && running->attempts < maxAttempts) {
        running->requirements.avoid.push_back(key);
        this->attempt(running);
        return;
    }
    const auto wasRefused = answer.result == TaskResult::Shed;
    running->done({ answer.result, wasRefused, answer.wasWarm, this->drawRetryAfter() });
}

auto ModelHost::report(const std::string& key, std::uint32_t inFlight) -> void
{
    const auto take = [this, key, inFlight] {
        this->slots.targets().report(key, { inFlight, false }, this->events.now());
    };
    if (this->pattern.reportLag == Duration {})
        take();
    else
        this->events.after(this->pattern.reportLag, take);
}

auto ModelHost::find(const std::string& key) const -> const ReachableTarget*
{
    const auto found
        = std::ranges::find_if(this->targets, [&](const ReachableTarget& target) { return target.live.key() == key; });
    return found == this->targets.end() ? nullptr : &*found;
}

auto ModelHost::drawRetryAfter() -> Duration
{
    auto draw = std::uniform_int_distribution<Duration::rep>(
        this->strategy.minRetryAfter.count(), this->strategy.maxRetryAfter.count());
    return Duration { draw(this->random) };
}

} // namespace citronloft
