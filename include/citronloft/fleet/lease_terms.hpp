/// @file
/// @brief Terms of the two leases: steward with store, host with steward.
#pragma once

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Durations that every host of a fleet must hold alike.
struct LeaseTerms {
    /// The steward's authority after a conditional update was sent.
    Duration stewardLease = std::chrono::seconds { 8 };
    Duration stewardRenewal = std::chrono::seconds { 2 };
    /// A host's use of its slots after its renewal was sent; longer than it takes to replace a steward.
    Duration hostLease = std::chrono::seconds { 20 };
    Duration hostRenewal = std::chrono::seconds { 4 };
    /// Interval in which a host that is not being confirmed asks the store.
    Duration storePoll = std::chrono::seconds { 5 };
    /// How long after a failed poll a host may go on without lease. A steward that gets the store back listens for
    /// outlast(hostLease) before it moves a slot, which is longer.
    Duration trustFailedPoll = std::chrono::seconds { 15 };
    /// Added wherever one host waits for another's deadline: message delay and time to hear of a newer epoch.
    Duration margin = std::chrono::seconds { 3 };
    /// Greatest relative difference of two hosts' clock rates.
    double clockDrift = 0.01;
    /// A gap between two ticks that counts as a pause of the process.
    Duration pauseLimit = std::chrono::seconds { 1 };
    /// Greatest validity of a loan.
    Duration loanValidity = std::chrono::seconds { 1 };

    /// @return a wait on this host's clock that outlasts `duration` on any other host's clock.
    [[nodiscard]] auto outlast(Duration duration) const -> Duration
    {
        const auto drifted = std::chrono::duration<double, Duration::period>(duration) * (1 + this->clockDrift);
        return std::chrono::duration_cast<Duration>(drifted) + this->margin;
    }

    /// @return how long a lender keeps a loan reserved, from the time the ask arrived.
    [[nodiscard]] auto reservation() const -> Duration
    {
        const auto drifted
            = std::chrono::duration<double, Duration::period>(this->loanValidity) * (1 + 2 * this->clockDrift);
        return std::chrono::duration_cast<Duration>(drifted);
    }
};

} // namespace citronloft
