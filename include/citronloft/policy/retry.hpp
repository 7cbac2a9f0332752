/// @file
/// @brief Which attempts may be repeated, and how many.
#pragma once

#include <cstdint>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/result_code.hpp"

namespace citronloft {

/// @brief Limits on repeated attempts.
struct RetryOption {
    /// Retries that each first attempt earns.
    double budgetRatio = 0.1;
    /// Retries that may be saved up.
    double budgetCap = 20;
    /// Saved retries at the start; a host that shares the budget with others may have spent its part before a restart.
    double startBalance = 20;
};

/// @brief What is known after a failed attempt.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    bool idempotent = false;
    /// Attempts made so far.
    unsigned attempts = 1;
    TimePoint deadline;
    /// Attempts that the request may make, the first included.
    unsigned greatestAttempts = 3;
};

/// @brief Decides on retries; a retry is paid from a budget that first attempts fill.
class RetryBudget {
public:
    explicit RetryBudget(RetryOption option = {});

    /// @brief Changes the limits; saved retries beyond the new cap are dropped.
    auto setOption(RetryOption changed) -> void;

    /// @brief Records a first attempt.
    auto recordFirstAttempt() -> void;

    /// @brief Decides on one more attempt and pays for it.
    ///
    /// A non-idempotent request is tried again only if it is proved not to have run.
    auto tryRetry(const AttemptResult& result, TimePoint now) -> bool;

private:
    RetryOption option;
    double balance;
};

} // namespace citronloft
