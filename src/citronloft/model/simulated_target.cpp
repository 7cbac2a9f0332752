#include "citronloft/model/simulated_target.hpp"

#include <random>
#include <utility>

namespace citronloft {

namespace {

/// Cache capacity of a target: a small fraction of the objects in use, so that placement matters.
constexpr auto cacheCapacity = std::size_t { 150 };
/// Run time factor when the object is not cached.
constexpr auto missFactor = 3.0;
/// Queue length, as a multiple of the slots, at which the target sheds.
constexpr auto maxQueuedPerSlot = 2U;
/// Spread of run times: sigma of a log-normal distribution with mean 1.
constexpr auto workSigma = 0.4;

} // namespace

SimulatedTarget::SimulatedTarget(EventQueue& events, std::uint32_t slots, std::uint64_t seed)
    : events(events)
    , slots(slots)
    , random(seed)
{
}

auto SimulatedTarget::offer(const TargetTask& task, Done done) -> void
{
    if (this->faults.isLost) {
        done({ TaskResult::Lost, 0, false });
        return;
    }
    if (this->running < this->slots) {
        this->start({ task, std::move(done) });
        return;
    }
    if (this->queue.size() >= std::size_t { maxQueuedPerSlot } * this->slots) {
        done({ TaskResult::Shed, this->inFlight(), false });
        return;
    }
    this->queue.push_back({ task, std::move(done) });
}

auto SimulatedTarget::start(Entry entry) -> void
{
    ++this->running;
    const auto isWarm = this->isCached(entry.task.object);
    this->insertObject(entry.task.object);
    auto spread = std::lognormal_distribution<double>(-workSigma * workSigma / 2, workSigma);
    const auto factor = (isWarm ? 1.0 : missFactor) * this->faults.slowdown * spread(this->random);
    const auto time = std::chrono::duration_cast<Duration>(entry.task.work * factor);
    this->events.after(
        time, [this, done = std::move(entry.done), isWarm, epoch = this->epoch] { this->finish(done, isWarm, epoch); });
}

auto SimulatedTarget::finish(const Done& done, bool wasWarm, std::uint64_t startedIn) -> void
{
    if (startedIn != this->epoch) {
        done({ TaskResult::Lost, 0, false });
        return;
    }
    --this->running;
    ++this->ran;
    if (!this->queue.empty()) {
        auto next = std::move(this->queue.front());
        this->queue.pop_front();
        this->start(std::move(next));
    }
    const auto hasFailed = std::uniform_real_distribution<double>(0, 1)(this->random) < this->faults.failures;
    done({ hasFailed ? TaskResult::Failed : TaskResult::Answered, this->inFlight(), wasWarm });
}

auto SimulatedTarget::setFaults(TargetFaults changed) -> void
{
    this->faults = changed;
    if (!changed.isLost)
        return;
    ++this->epoch;
    this->running = 0;
    this->objects.clear();
    this->cacheIndex.clear();
    for (const auto& entry : std::exchange(this->queue, {}))
        entry.done({ TaskResult::Lost, 0, false });
}

auto SimulatedTarget::insertObject(std::uint64_t object) -> void
{
    if (const auto found = this->cacheIndex.find(object); found != this->cacheIndex.end())
        this->objects.erase(found->second);
    this->objects.push_front(object);
    this->cacheIndex[object] = this->objects.begin();
    if (this->objects.size() <= cacheCapacity)
        return;
    this->cacheIndex.erase(this->objects.back());
    this->objects.pop_back();
}

} // namespace citronloft
