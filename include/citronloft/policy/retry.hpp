/// @file
/// @brief Decides which failed attempts are retried, within a retry budget.
#pragma once

#include <cstdint>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/result_code.hpp"

namespace citronloft {

/// @brief Limits on retries.
struct RetryOption {
    /// Retries that each first attempt adds to the budget.
    double budgetRatio = 0.1;
    /// Maximum balance of the budget, in retries.
    double budgetCap = 20;
    /// Initial balance in retries. A host that shares the budget with other hosts may have spent its share before a
    /// restart, so it should start with less.
    double initialBalance = 20;
};

/// @brief State of a request after a failed attempt.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    bool idempotent = false;
    /// Number of attempts so far.
    unsigned attempts = 1;
    TimePoint deadline;
    /// Maximum number of attempts, including the first.
    unsigned maxAttempts = 3;
};

/// @brief Limits retries to a fraction of the first attempts.
class RetryBudget {
public:
    explicit RetryBudget(RetryOption option = {});

    /// @brief Changes the limits; a balance above the new cap is reduced to it.
    auto setOption(RetryOption changed) -> void;

    /// @brief Records a first attempt, which adds to the budget.
    auto recordFirstAttempt() -> void;

    /// @brief Decides whether to retry and, if so, deducts the retry from the budget.
    ///
    /// A request that is not idempotent is retried only if it is known not to have run.
    auto tryRetry(const AttemptResult& result, TimePoint now) -> bool;

private:
    RetryOption option;
    double balance;
};

} // namespace citronloft
