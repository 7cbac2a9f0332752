/// @file
/// @brief Strategies for placing, queueing and refusing requests: the product's own and the baselines.
#pragma once

#include <memory>
#include <span>
#include <string_view>

#include "citronloft/policy/request_queue.hpp"
#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

/// @brief Parameters of one strategy.
struct Strategy {
    std::string_view name;
    /// One-line description of the difference from the product.
    std::string_view about;
    std::unique_ptr<RequestQueue> (*makeQueue)(RequestQueueOption option) = &makeUrgencyQueue;
    TargetPoolOption pool {};
    /// If true, requests of one object are sent to the same targets.
    bool hasObjectAffinity = true;
    /// If true, shareAmongZones() assigns targets of other zones; if false, only the own zone is used.
    bool sharesZones = true;
    /// If true, hosts of a zone exchange their in-flight counts.
    bool sendsNotices = true;
    /// Bounds of the random retry delay that a refused caller is given.
    Duration minRetryAfter = std::chrono::milliseconds { 300 };
    Duration maxRetryAfter = std::chrono::milliseconds { 300 };
};

/// @return all strategies, the product's first.
auto strategies() -> std::span<const Strategy>;

/// @return the strategy with the given name, or null.
auto findStrategy(std::string_view name) -> const Strategy*;

} // namespace citronloft
