/// @file
/// @brief A target of the served system in virtual time.
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
    /// Time of a run that finds the object at the target.
    Duration work {};
};

/// @brief How a target ended a request.
enum class TaskResult : std::uint8_t {
    Answered,
    /// The queue was full; not run.
    Shed,
    /// An answer that says it failed.
    Failed,
    /// The target has gone; no answer.
    Lost,
};

/// @brief What a target answers, with its load after that.
struct TaskAnswer {
    TaskResult result = TaskResult::Answered;
    std::uint32_t inFlight = 0;
    bool wasWarm = false;
};

/// @brief What goes wrong at a target.
struct TargetTrouble {
    double slowness = 1;
    double failures = 0;
    bool isLost = false;
};

/// @brief Slots, a short queue, and a memory of the objects that it ran last: a run of another object takes longer.
class ModelledTarget {
public:
    using Done = std::function<void(const TaskAnswer&)>;

    ModelledTarget(EventQueue& events, std::uint32_t slots, std::uint64_t seed);

    /// @brief Takes a request in.
    auto offer(const TargetTask& task, Done done) -> void;

    /// @brief Sets what goes wrong from now on. A target that is lost forgets its objects and ends its requests.
    auto setTrouble(TargetTrouble changed) -> void;

    /// @brief Puts an object into the memory, as if it had been run.
    auto remember(std::uint64_t object) -> void;

    /// @return requests that run or wait.
    [[nodiscard]] auto inFlight() const -> std::uint32_t
    {
        return this->running + static_cast<std::uint32_t>(this->queue.size());
    }

    /// @return requests that were run, well or badly.
    [[nodiscard]] auto runs() const -> std::uint64_t { return this->ran; }

private:
    struct Entry {
        TargetTask task;
        Done done;
    };

    auto start(Entry entry) -> void;
    auto finish(const Done& done, bool wasWarm, std::uint64_t epoch) -> void;
    [[nodiscard]] auto holds(std::uint64_t object) const -> bool { return this->places.contains(object); }

    EventQueue& events;
    std::uint32_t slots;
    pcg32 random;
    TargetTrouble trouble;
    std::uint32_t running = 0;
    std::uint64_t ran = 0;
    /// Counts the times that the target was lost.
    std::uint64_t epoch = 0;
    std::deque<Entry> queue;
    /// Objects, the one that was run last first.
    std::list<std::uint64_t> objects;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

} // namespace citronloft
