/// @file
/// @brief Checks admissions against a token bucket's bound over every window.
#pragma once

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Finds the window in which most was admitted beyond burst + rate x window.
///
/// Admissions are added in order of time. With a(k) the sum of the first k admissions and t(k) the time of the k-th,
/// the bound holds over every window if and only if a(k) - rate x t(k) never rises by more than the burst above an
/// earlier value, so one pass over the admissions covers all windows.
class RateWindow {
public:
    /// @param rate per second.
    /// @param burst admissions at one moment.
    RateWindow(double rate, double burst);

    /// @brief Adds an admission; `at` must not be before the one added last.
    auto add(TimePoint at, double amount = 1) -> void;

    /// @return greatest amount beyond the bound in any window; 0 or less if the bound holds.
    [[nodiscard]] auto excess() const -> double { return this->worst - this->burst; }

    /// @return sum of all admissions.
    [[nodiscard]] auto total() const -> double { return this->sum; }

private:
    double rate;
    double burst;
    double sum = 0;
    double lowest = 0;
    double worst = 0;
    TimePoint first {};
    bool hasFirst = false;
};

} // namespace citronloft
