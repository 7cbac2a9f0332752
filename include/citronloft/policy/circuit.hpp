/// @file
/// @brief Circuit breaker with exponential back-off and jitter.
#pragma once

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Limits of a circuit.
struct CircuitOption {
    /// Consecutive failures that open the circuit.
    unsigned failuresToOpen = 3;
    Duration leastBackoff = std::chrono::milliseconds { 200 };
    Duration greatestBackoff = std::chrono::seconds { 3 };
};

/// @brief Decides whether a call to a failing dependency may be tried.
class Circuit {
public:
    Circuit(CircuitOption option, std::uint64_t seed);

    /// @return whether a call may be tried now; while open, one trial per back-off interval.
    auto allow(TimePoint now) -> bool;

    /// @brief Records a call's result.
    auto record(bool ok, TimePoint now) -> void;

    /// @return whether calls are being refused.
    [[nodiscard]] auto isOpen() const -> bool { return this->failures >= this->option.failuresToOpen; }

private:
    CircuitOption option;
    pcg32 random;
    unsigned failures = 0;
    Duration backoff {};
    TimePoint nextTrialAt {};
};

} // namespace citronloft
