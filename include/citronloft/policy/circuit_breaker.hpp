/// @file
/// @brief Circuit breaker with exponential backoff and jitter.
#pragma once

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Limits of a circuit breaker.
struct CircuitBreakerOption {
    /// Number of consecutive failures that opens the circuit.
    unsigned failuresToOpen = 3;
    Duration minBackoff = std::chrono::milliseconds { 200 };
    Duration maxBackoff = std::chrono::seconds { 3 };
};

/// @brief Limits calls to a dependency that is failing.
class CircuitBreaker {
public:
    CircuitBreaker(CircuitBreakerOption option, std::uint64_t seed);

    /// @return whether a call is allowed now; an open circuit allows one trial per backoff interval.
    auto allow(TimePoint now) -> bool;

    /// @brief Records the result of a call.
    auto record(bool ok, TimePoint now) -> void;

    /// @return whether the circuit is open, that is, refuses calls.
    [[nodiscard]] auto isOpen() const -> bool { return this->failures >= this->option.failuresToOpen; }

private:
    CircuitBreakerOption option;
    pcg32 random;
    unsigned failures = 0;
    Duration backoff {};
    TimePoint nextTrialAt {};
};

} // namespace citronloft
