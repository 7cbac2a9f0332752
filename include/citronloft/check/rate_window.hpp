/// @file
/// @brief Checks admissions against a token bucket's bound over every window.
#pragma once

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Computes the maximum excess of admissions over burst + rate x window, over all windows.
///
/// Admissions are added in time order. With a(k) the sum of the first k admissions and t(k) the time of the k-th,
/// the bound holds over every window if and only if a(k) - rate x t(k) never exceeds an earlier value by more than the
/// burst, so a single pass over the admissions covers all windows.
class RateWindow {
public:
    /// @param rate admissions per second.
    /// @param burst admissions allowed at the same instant.
    RateWindow(double rate, double burst);

    /// @brief Adds an admission; `at` must not precede the previously added one.
    auto add(TimePoint at, double amount = 1) -> void;

    /// @return maximum excess over the bound in any window; 0 or less if the bound holds.
    [[nodiscard]] auto excess() const -> double { return this->maxRise - this->burst; }

    /// @return total of all admissions.
    [[nodiscard]] auto total() const -> double { return this->admitted; }

private:
    double rate;
    double burst;
    double admitted = 0;
    double minBalance = 0;
    double maxRise = 0;
    TimePoint first {};
    bool hasFirst = false;
};

} // namespace citronloft
