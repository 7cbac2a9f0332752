/// @file
/// @brief Determines how long a leaving host continues to accept requests.
#pragma once

#include <chrono>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Time limits of a planned stop.
struct StopWindowOption {
    /// Time at which the stop began.
    TimePoint stopStartedAt {};
    /// Time for which callers may use a look-up result that still lists this host.
    std::chrono::milliseconds lookupTtl {};
    /// Total time for the stop.
    std::chrono::milliseconds stopTime {};
};

/// @brief Period in which a leaving host still accepts connections.
///
/// Load pattern: other hosts return look-up results that list a leaving host until all of them know of the stop, which
/// takes longer when the zone leader stops too. A host that closed after a fixed time would drop the callers that use
/// these results, so it stays open until no request has arrived for some time.
class StopWindow {
public:
    explicit StopWindow(StopWindowOption option);

    /// @param lastRequestAt time at which the host last received a request.
    /// @return whether connections can be closed at `now`.
    [[nodiscard]] auto canClose(TimePoint now, TimePoint lastRequestAt) const -> bool;

    /// @return whether requests that were not sent to a target by `now` must be refused, so that the refusals are
    /// delivered before the host exits.
    [[nodiscard]] auto refusesUnsent(TimePoint now) const -> bool { return now >= this->unsentRefusedAt; }

    /// @return whether the host has to exit at `now` even if requests are in flight.
    [[nodiscard]] auto isOverdue(TimePoint now) const -> bool;

    /// @return the time at which the host exits at the latest.
    [[nodiscard]] auto latestExitAt() const -> TimePoint { return this->overdueAt; }

private:
    TimePoint earliestCloseAt;
    TimePoint latestCloseAt;
    TimePoint unsentRefusedAt;
    TimePoint overdueAt;
};

} // namespace citronloft
