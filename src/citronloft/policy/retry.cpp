#include "citronloft/policy/retry.hpp"

#include <algorithm>

namespace citronloft {

RetryBudget::RetryBudget(RetryOption option)
    : option(option)
    , balance(std::min(option.initialBalance, option.budgetCap))
{
}

auto RetryBudget::setOption(RetryOption changed) -> void
{
    this->option = changed;
    this->balance = std::min(this->balance, changed.budgetCap);
}

auto RetryBudget::recordFirstAttempt() -> void
{
    this->balance = std::min(this->balance + this->option.budgetRatio, this->option.budgetCap);
}

auto RetryBudget::tryRetry(const AttemptResult& result, TimePoint now) -> bool
{
    const auto isSafe = result.outcome == Outcome::NotRun || (result.outcome == Outcome::Unknown && result.idempotent);
    if (!isSafe || result.attempts >= result.maxAttempts || now >= result.deadline || this->balance < 1)
        return false;
    this->balance -= 1;
    return true;
}

} // namespace citronloft
