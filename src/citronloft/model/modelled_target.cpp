#include "citronloft/model/modelled_target.hpp"

#include <random>
#include <utility>

namespace citronloft {

namespace {

/// Objects that a target remembers: a small part of those in use, so that placement matters.
constexpr auto rememberedObjects = std::size_t { 150 };
/// Factor on the time of a run that finds its object not at hand.
constexpr auto missFactor = 3.0;
/// Requests that wait, in slots, before the target sheds.
constexpr auto queuedPerSlot = 2U;
/// Spread of the times of runs: the sigma of a log-normal distribution whose mean is 1.
constexpr auto workSigma = 0.4;

} // namespace

ModelledTarget::ModelledTarget(EventQueue& events, std::uint32_t slots, std::uint64_t seed)
    : events(events)
    , slots(slots)
    , random(seed)
{
}

auto ModelledTarget::offer(const TargetTask& task, Done done) -> void
{
    if (this->trouble.isLost) {
        done({ TaskResult::Lost, 0, false });
        return;
    }
    if (this->running < this->slots) {
        this->start({ task, std::move(done) });
        return;
    }
    if (this->queue.size() >= std::size_t { queuedPerSlot } * this->slots) {
        done({ TaskResult::Shed, this->inFlight(), false });
        return;
    }
    this->queue.push_back({ task, std::move(done) });
}

auto ModelledTarget::start(Entry entry) -> void
{
    ++this->running;
    const auto isWarm = this->holds(entry.task.object);
    this->remember(entry.task.object);
    auto spread = std::lognormal_distribution<double>(-workSigma * workSigma / 2, workSigma);
    const auto factor = (isWarm ? 1.0 : missFactor) * this->trouble.slowness * spread(this->random);
    const auto time = std::chrono::duration_cast<Duration>(entry.task.work * factor);
    this->events.after(
        time, [this, done = std::move(entry.done), isWarm, epoch = this->epoch] { this->finish(done, isWarm, epoch); });
}

auto ModelledTarget::finish(const Done& done, bool wasWarm, std::uint64_t startedIn) -> void
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
    const auto isBad = std::uniform_real_distribution<double>(0, 1)(this->random) < this->trouble.failures;
    done({ isBad ? TaskResult::Failed : TaskResult::Answered, this->inFlight(), wasWarm });
}

auto ModelledTarget::setTrouble(TargetTrouble changed) -> void
{
    this->trouble = changed;
    if (!changed.isLost)
        return;
    ++this->epoch;
    this->running = 0;
    this->objects.clear();
    this->places.clear();
    for (const auto& entry : std::exchange(this->queue, {}))
        entry.done({ TaskResult::Lost, 0, false });
}

auto ModelledTarget::remember(std::uint64_t object) -> void
{
    if (const auto found = this->places.find(object); found != this->places.end())
        this->objects.erase(found->second);
    this->objects.push_front(object);
    this->places[object] = this->objects.begin();
    if (this->objects.size() <= rememberedObjects)
        return;
    this->places.erase(this->objects.back());
    this->objects.pop_back();
}

} // namespace citronloft
