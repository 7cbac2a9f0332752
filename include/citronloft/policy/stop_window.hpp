/// @file
/// @brief Decides until when a leaving host goes on taking requests.
#pragma once

#include <chrono>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Bounds of a planned stop.
struct StopWindowOption {
    /// When the stop began.
    TimePoint leavingSince {};
    /// For how long callers may use a look-up that still names this host.
    std::chrono::milliseconds lookupTtl {};
    /// The whole time for the stop.
    std::chrono::milliseconds stopTime {};
};

/// @brief The time in which a leaving host still accepts connections.
///
/// Load pattern: look-ups that name a leaving host are handed out until every host has heard of the stop, which takes
/// longer when the zone's steward stops too. A host that closed by the clock alone would cut those callers, so it stays
/// open until nobody has come for a while.
class StopWindow {
public:
    explicit StopWindow(StopWindowOption option);

    /// @param lastRequestAt when the host last received a request.
    /// @return whether connections may be closed at `now`.
    [[nodiscard]] auto isQuiet(TimePoint now, TimePoint lastRequestAt) const -> bool;

    /// @return whether the host has to end at `now` even with requests in flight.
    [[nodiscard]] auto isOverdue(TimePoint now) const -> bool;

private:
    TimePoint earliest;
    TimePoint latest;
    TimePoint overdueAt;
};

} // namespace citronloft
