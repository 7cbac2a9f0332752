#include "citronloft/policy/circuit_breaker.hpp"

#include <algorithm>
#include <random>

namespace citronloft {

CircuitBreaker::CircuitBreaker(CircuitBreakerOption option, std::uint64_t seed)
    : option(option)
    , random(seed)
{
}

auto CircuitBreaker::allow(TimePoint now) -> bool
{
    if (!this->isOpen())
        return true;
    if (now < this->nextTrialAt)
        return false;
    this->nextTrialAt = now + this->backoff;
    return true;
}

auto CircuitBreaker::record(bool ok, TimePoint now) -> void
{
    if (ok) {
        this->failures = 0;
        this->backoff = Duration {};
        return;
    }
    ++this->failures;
    if (!this->isOpen())
        return;
    this->backoff = std::clamp(this->backoff * 2, this->option.minBackoff, this->option.maxBackoff);
    auto jitter = std::uniform_real_distribution<double>(0.5, 1.0);
    const auto wait = std::chrono::duration<double, Duration::period>(this->backoff) * jitter(this->random);
    this->nextTrialAt = now + std::chrono::duration_cast<Duration>(wait);
}

} // namespace citronloft
