/// @file
/// @brief Schedules the connections that show whether a target that lost a request has ended.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "citronloft/base/address.hpp"
#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief A target that lost a request.
struct LostTarget {
    /// Key of the target's run.
    std::string key;
    Address address;
};

/// @brief Times of the probes after a loss.
struct LostTargetOption {
    /// A process that ends closes its connections and its listening port within milliseconds.
    Duration firstDelay = std::chrono::milliseconds { 40 };
    /// Covers a port that was closed later than the connections.
    Duration secondDelay = std::chrono::milliseconds { 400 };
};

/// @brief Decides when to probe targets that lost requests. Losses that follow before a target's first probe share it.
class LostTargets {
public:
    explicit LostTargets(LostTargetOption option = {});

    auto recordLoss(const LostTarget& target, TimePoint now) -> void;

    /// @brief Cancels the probes of a target whose end is known.
    auto recordEnd(const std::string& key) -> void { this->watches.erase(key); }

    /// @return the targets to be probed now.
    auto takeDueProbes(TimePoint now) -> std::vector<LostTarget>;

private:
    struct Watch {
        Address address;
        TimePoint lostAt;
        TimePoint nextProbeAt;
        bool wasProbed = false;
    };

    LostTargetOption option;
    std::map<std::string, Watch> watches;
};

} // namespace citronloft
