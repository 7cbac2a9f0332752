/// @file
/// @brief Simulated target in virtual time.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include <pcg_random.hpp>

#include "citronloft/model/event_queue.hpp"
#include "citronloft/model/load_pattern.hpp"

namespace citronloft {

/// @brief A request as a target sees it.
struct TargetTask {
    std::uint64_t object = 0;
    /// Run time if the target has the object cached.
    Duration work {};
};

/// @brief Outcome of a request at a target.
enum class TaskResult : std::uint8_t {
    Answered,
    /// The queue was full; the request was not run.
    Shed,
    /// The request ran and its answer reports a failure.
    Failed,
    /// The target is down; there is no answer.
    Lost,
};

/// @brief A target's answer and its load afterwards.
struct TaskAnswer {
    TaskResult result = TaskResult::Answered;
    std::uint32_t inFlight = 0;
    bool wasWarm = false;
};

/// @brief Injected faults of a target.
struct TargetFaults {
    double slowdown = 1;
    double failures = 0;
    bool isLost = false;
};

/// @brief Target with slots, a short queue and an LRU cache of objects; a run whose object is not cached takes
/// longer.
class SimulatedTarget {
public:
    using Done = std::function<void(const TaskAnswer&)>;

    SimulatedTarget(EventQueue& events, std::uint32_t slots, std::uint64_t seed);

    /// @brief Runs a request, queues it if all slots are busy, or sheds it if the queue is full.
    auto offer(const TargetTask& task, Done done) -> void;

    /// @brief Sets the injected faults. A target that is lost clears its cache and ends its requests.
    auto setFaults(TargetFaults changed) -> void;

    /// @brief Inserts an object into the cache, as a run of it would.
    auto insertObject(std::uint64_t object) -> void;

    /// @return the number of running and queued requests.
    [[nodiscard]] auto inFlight() const -> std::uint32_t
    {
        return this->running + static_cast<std::uint32_t>(this->queue.size());
    }

    /// @return the number of finished runs, including failed ones.
    [[nodiscard]] auto runs() const -> std::uint64_t { return this->ran; }

private:
    struct Entry {
        TargetTask task;
        Done done;
    };

    auto start(Entry entry) -> void;
    auto finish(const Done& done, bool wasWarm, std::uint64_t epoch) -> void;
    [[nodiscard]] auto isCached(std::uint64_t object) const -> bool { return this->cacheIndex.contains(object); }

    EventQueue& events;
    std::uint32_t slots;
    pcg32 random;
    TargetFaults faults;
    std::uint32_t running = 0;
    std::uint64_t ran = 0;
    /// Incremented each time the target is lost.
    std::uint64_t epoch = 0;
    std::deque<Entry> queue;
    /// Cached objects, most recently run first.
    std::list<std::uint64_t> objects;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cacheIndex;
};

} // namespace citronloft
