/// @file
/// @brief Losses of requests that are reported only if their target has ended and this host still reaches others.
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
    std::string address;
    TimePoint lostAt {};
    /// Whether the target is known to have ended with the request.
    bool hasTargetEnded = false;
};

/// @brief Limits of HeldLosses.
struct HeldLossOption {
    /// Time after which a host that has reached no target since a loss asks for a probe.
    Duration probeAfter = std::chrono::milliseconds { 100 };
    /// Maximum time for which a loss is held; longer than it takes to find that the path is lost or the target has
    /// ended.
    Duration maxTime = std::chrono::seconds { 3 };
    /// Maximum number of held losses; beyond it, the oldest is no longer held.
    std::size_t maxCount = 8192;
};

/// @brief Holds losses until it is known what they were. A request that crashed its target, one whose answer alone was
/// lost and one on a connection that was cut look alike: after a crash the target has ended, and after a cut no attempt
/// reaches a target.
class HeldLosses {
public:
    explicit HeldLosses(HeldLossOption option = {});

    auto add(HeldLoss loss) -> void { this->losses.push_back(std::move(loss)); }

    /// @brief Forgets all losses, since the path to the targets was lost.
    auto drop() -> void { this->losses.clear(); }

    /// @brief Forgets the losses of a request, since a target has answered it.
    auto drop(std::uint64_t request) -> void;

    /// @brief Records that a target has ended.
    /// @return whether a loss with it was held that was not known to be one of its end.
    auto recordTargetEnd(const std::string& target) -> bool;

    /// @brief Records a run that has appeared at an address; an earlier run there has ended.
    /// @return the keys of the earlier runs that losses are held of.
    auto recordRun(const std::string& address, const std::string& target) -> std::vector<std::string>;

    /// @brief Removes the losses with targets that have ended and that are not the path's, and those that were held for
    /// too long.
    /// @return the former; of those held for too long, those with targets that have ended.
    /// @param reachedStart start of the latest attempt that has reached a target.
    auto takeConfirmed(TimePoint reachedStart, TimePoint now) -> std::vector<HeldLoss>;

    /// @return whether a probe is needed to tell whether the path was lost.
    /// @param reachedStart start of the latest attempt that has reached a target.
    [[nodiscard]] auto needsProbe(TimePoint reachedStart, TimePoint now) const -> bool;

    [[nodiscard]] auto isEmpty() const -> bool { return this->losses.empty(); }

    [[nodiscard]] auto contains(std::uint64_t request) const -> bool;

private:
    HeldLossOption option;
    /// In order of time.
    std::vector<HeldLoss> losses;
};

} // namespace citronloft
