/// @file
/// @brief Event queue and clock of the discrete-event simulation.
#pragma once

#include <chrono>
#include <functional>
#include <map>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Runs events in order of virtual time; events with the same time run in insertion order.
class EventQueue {
public:
    [[nodiscard]] auto now() const -> TimePoint { return this->current; }

    auto after(Duration delay, std::function<void()> action) -> void
    {
        this->events.emplace(this->current + delay, std::move(action));
    }

    auto runFor(Duration duration) -> void
    {
        const auto end = this->current + duration;
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto node = this->events.extract(this->events.begin());
            this->current = node.key();
            node.mapped()();
        }
        this->current = end;
    }

private:
    TimePoint current { std::chrono::hours { 1 } };
    std::multimap<TimePoint, std::function<void()>> events;
};

} // namespace citronloft
