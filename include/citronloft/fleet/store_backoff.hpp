/// @file
/// @brief Tracks whether the store answers this host and limits calls while it does not; shared by all mirrors.
#pragma once

#include <cstdint>

#include <absl/status/status.h>
#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Back-off after failed calls.
struct StoreBackoffOption {
    Duration minBackoff = std::chrono::milliseconds { 100 };
    /// Maximum pause while the store refuses calls; it counts every refused call.
    Duration maxRefusedBackoff = std::chrono::milliseconds { 1600 };
    /// Maximum pause while calls time out; a host that was cut off must be up to date within seconds once it reaches
    /// the store again.
    Duration maxTimeoutBackoff = std::chrono::milliseconds { 600 };
};

/// @brief While the store is unavailable, allows one call at a time, with exponential back-off and jitter, so that the
/// hosts of a fleet do not all return to the store at the same moment after an outage.
class StoreBackoff {
public:
    StoreBackoff(StoreBackoffOption option, std::uint64_t seed);

    /// @return whether a call can start now. While the store is unavailable, the caller must report the call's result.
    auto tryStart(TimePoint now) -> bool;

    /// @brief Records that the store answered a call.
    /// @return whether the store was unavailable until now.
    auto recordSuccess(TimePoint now) -> bool;

    /// @brief Records that a call failed.
    /// @return whether the store was available until now.
    auto recordFailure(const absl::Status& status, TimePoint now) -> bool;

    [[nodiscard]] auto isUnavailable() const -> bool { return this->isStoreUnavailable; }

    /// @return when the store last became available again; the default value if it was never unavailable.
    [[nodiscard]] auto recoveredAt() const -> TimePoint { return this->lastRecoveryAt; }

private:
    StoreBackoffOption option;
    pcg32 random;
    bool isStoreUnavailable = false;
    bool isProbing = false;
    Duration backoff {};
    TimePoint nextProbeAt {};
    TimePoint lastRecoveryAt {};
};

} // namespace citronloft
