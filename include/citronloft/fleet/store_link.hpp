/// @file
/// @brief Whether the store answers this host, shared by all who read it.
#pragma once

#include <cstdint>

#include <absl/status/status.h>
#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Pauses after failed calls.
struct StoreLinkOption {
    Duration leastBackoff = std::chrono::milliseconds { 100 };
    /// Greatest pause while the store answers and refuses: every refused call is counted.
    Duration greatestRefusedBackoff = std::chrono::milliseconds { 1600 };
    /// Greatest pause while nothing comes back: a host that was cut off must be up to date within
    /// seconds of its return.
    Duration greatestSilentBackoff = std::chrono::milliseconds { 600 };
};

/// @brief Lets one call at a time through while the store is away, with exponential back-off and jitter: a fleet that
/// lost the store together must not return to it together.
class StoreLink {
public:
    StoreLink(StoreLinkOption option, std::uint64_t seed);

    /// @return whether a call may start now; while the store is away the caller must report the result.
    auto tryStart(TimePoint now) -> bool;

    /// @brief Takes in a call's result.
    /// @return whether the store has come back with this answer.
    auto noteAnswer(TimePoint now) -> bool;

    /// @return whether the store has been lost with this failure.
    auto noteFailure(const absl::Status& status, TimePoint now) -> bool;

    [[nodiscard]] auto isAway() const -> bool { return this->away; }

    /// @return when the store came back last; the default means that it was never away.
    [[nodiscard]] auto returnedAt() const -> TimePoint { return this->returned; }

private:
    StoreLinkOption option;
    pcg32 random;
    bool away = false;
    bool isProbing = false;
    Duration backoff {};
    TimePoint nextProbeAt {};
    TimePoint returned {};
};

} // namespace citronloft
