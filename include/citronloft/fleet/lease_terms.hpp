/// @file
/// @brief Durations of the two leases: a zone leader's with the store, and a host's with the zone leader.
#pragma once

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Durations that must be the same on every host of a fleet.
struct LeaseTerms {
    /// Validity of the zone leader's lease, from the time its conditional update was sent.
    Duration leaderLease = std::chrono::seconds { 8 };
    Duration leaderRenewalInterval = std::chrono::seconds { 2 };
    /// Validity of a host's lease on its slots, from the time its renewal was sent. Longer than it takes to replace a
    /// zone leader.
    Duration hostLease = std::chrono::seconds { 20 };
    Duration hostRenewalInterval = std::chrono::seconds { 4 };
    /// Interval at which a host that is not confirmed polls the store.
    Duration storePollInterval = std::chrono::seconds { 5 };
    /// Time after a failed poll for which a host can continue without a lease. A zone leader that regains the store
    /// waits for outlast(hostLease), which is longer, before it moves a slot.
    Duration failedPollValidity = std::chrono::seconds { 15 };
    /// Added wherever one host waits for another host's deadline. Covers the message delay and the time to learn of a
    /// newer epoch.
    Duration margin = std::chrono::seconds { 3 };
    /// Maximum relative difference between the clock rates of two hosts.
    double clockDrift = 0.01;
    /// Minimum gap between two ticks that counts as a pause of the process.
    Duration pauseLimit = std::chrono::seconds { 1 };
    /// Maximum validity of a loan.
    Duration loanValidity = std::chrono::seconds { 1 };

    /// @return a duration on this host's clock that is longer than `duration` on any other host's clock.
    [[nodiscard]] auto outlast(Duration duration) const -> Duration
    {
        const auto drifted = std::chrono::duration<double, Duration::period>(duration) * (1 + this->clockDrift);
        return std::chrono::duration_cast<Duration>(drifted) + this->margin;
    }

    /// @return the time for which a lender reserves a loan, from the arrival of the request.
    [[nodiscard]] auto loanReservationTime() const -> Duration
    {
        const auto drifted
            = std::chrono::duration<double, Duration::period>(this->loanValidity) * (1 + 2 * this->clockDrift);
        return std::chrono::duration_cast<Duration>(drifted);
    }
};

} // namespace citronloft
