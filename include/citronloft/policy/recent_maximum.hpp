/// @file
/// @brief Maximum of a count over a recent period.
#pragma once

#include <algorithm>
#include <cstddef>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Tracks the maximum of a count over the current and the previous period; 1 initially.
///
/// A value is therefore remembered for one to two times the given period.
class RecentMaximum {
public:
    explicit RecentMaximum(Duration period)
        : period(period)
    {
    }

    auto record(std::size_t count, TimePoint now) -> void
    {
        if (now >= this->nextPeriodAt) {
            this->nextPeriodAt = now + this->period;
            this->previousMaximum = this->currentMaximum;
            this->currentMaximum = 1;
        }
        this->currentMaximum = std::max(this->currentMaximum, count);
    }

    [[nodiscard]] auto value() const -> std::size_t { return std::max(this->previousMaximum, this->currentMaximum); }

private:
    Duration period;
    TimePoint nextPeriodAt {};
    std::size_t previousMaximum = 1;
    std::size_t currentMaximum = 1;
};

} // namespace citronloft
