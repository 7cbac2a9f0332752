/// @file
/// @brief Losses of requests that are not reported before it is known whether this host's path to the targets was lost.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Loss of a request when its connection to a target ended.
struct HeldLoss {
    /// Identity that equal requests share (computeRequestIdentity()).
    std::uint64_t request = 0;
    /// Key of the target.
    std::string target;
    TimePoint lostAt {};
};

/// @brief Limits of HeldLosses.
struct HeldLossOption {
    /// Time after which a host that has reached no target since a loss asks for a probe.
    Duration probeAfter = std::chrono::milliseconds { 100 };
    /// Maximum time for which a loss is held; longer than it takes to find that the path is lost.
    Duration maxTime = std::chrono::seconds { 3 };
    /// Maximum number of held losses; beyond it, the oldest is reported.
    std::size_t maxCount = 8192;
};

/// @brief Holds losses until an attempt that began after them has reached a target. Until then, a request that crashed
/// its target and one on a connection that was cut look alike.
class HeldLosses {
public:
    explicit HeldLosses(HeldLossOption option = {});

    auto add(HeldLoss loss) -> void { this->losses.push_back(std::move(loss)); }

    /// @brief Forgets all losses, since the path to the targets was lost.
    auto drop() -> void { this->losses.clear(); }

    /// @brief Forgets the losses of a request, since a target has answered it.
    auto drop(std::uint64_t request) -> void;

    /// @brief Removes the losses that are not the path's.
    /// @param reachedStart start of the latest attempt that has reached a target.
    auto takeConfirmed(TimePoint reachedStart, TimePoint now) -> std::vector<HeldLoss>;

    /// @return whether a probe is needed to tell what the losses were.
    [[nodiscard]] auto needsProbe(TimePoint now) const -> bool;

    [[nodiscard]] auto isEmpty() const -> bool { return this->losses.empty(); }

    [[nodiscard]] auto contains(std::uint64_t request) const -> bool;

private:
    HeldLossOption option;
    /// In order of time.
    std::vector<HeldLoss> losses;
};

} // namespace citronloft
