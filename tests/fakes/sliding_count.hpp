/// @file
/// @brief Counts events in sliding windows, for tests of rate bounds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Number of events in the current window, and the maximum over all windows so far.
class SlidingCount {
public:
    explicit SlidingCount(Duration window)
        : window(window)
    {
    }

    auto add(TimePoint at) -> void
    {
        this->times.push_back(at);
        this->maxCount = std::max(this->maxCount, this->countAt(at));
    }

    auto countAt(TimePoint now) -> std::size_t
    {
        while (!this->times.empty() && this->times.front() <= now - this->window)
            this->times.pop_front();
        return this->times.size();
    }

    [[nodiscard]] auto worst() const -> std::size_t { return this->maxCount; }

private:
    Duration window;
    std::deque<TimePoint> times;
    std::size_t maxCount = 0;
};

} // namespace citronloft
