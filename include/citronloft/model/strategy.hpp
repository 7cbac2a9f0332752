/// @file
/// @brief Ways to place, queue and refuse requests: the product's own and the baselines that it is compared with.
#pragma once

#include <memory>
#include <span>
#include <string_view>

#include "citronloft/policy/fair_queue.hpp"
#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

/// @brief One way to decide.
struct Strategy {
    std::string_view name;
    /// How it differs from the product, in one line.
    std::string_view about;
    std::unique_ptr<RequestQueue> (*makeQueue)(FairQueueOption option) = &makeUrgencyQueue;
    TargetPoolOption pool {};
    /// Requests of one object go to the same targets.
    bool keepsObjects = true;
    /// Targets of other zones are used by shareAmongZones(); false: none is.
    bool sharesZones = true;
    /// Hosts of a zone tell each other what they have in flight.
    bool sendsNotices = true;
    /// Bounds between which the time is drawn after which a refused caller is asked to come again.
    Duration leastRetryAfter = std::chrono::milliseconds { 300 };
    Duration greatestRetryAfter = std::chrono::milliseconds { 300 };
};

/// @return all strategies, the product's first.
auto strategies() -> std::span<const Strategy>;

/// @return the strategy of that name, or null.
auto findStrategy(std::string_view name) -> const Strategy*;

} // namespace citronloft
