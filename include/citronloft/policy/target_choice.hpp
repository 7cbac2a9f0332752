/// @file
/// @brief Description of the choice of a target for a request: the ranked targets and the reason for each skipped one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronloft/policy/target_health.hpp"

namespace citronloft {

/// @brief Reason for which a target is not chosen.
enum class SkipReason : std::uint8_t {
    /// The target is chosen, or may be chosen at random.
    None,
    Evacuated,
    Draining,
    /// Another server has the target's address.
    Misdirected,
    Ejected,
    Paused,
    Leaving,
    /// The request has been sent to the target before.
    Avoided,
    RegionNotAllowed,
    /// The rate of the target while it is cold allows no request now.
    Cold,
    /// The limit that the target announces allows no request now.
    RateLimited,
    Full,
    /// A target before it in the order of the object is chosen.
    LowerRank,
};

/// @return name of a reason in lower case; empty for None.
auto skipReasonName(SkipReason reason) -> std::string_view;

/// @brief How targets are chosen for requests without an object.
enum class TargetOrder : std::uint8_t {
    /// The less loaded of two random targets.
    LessLoadedOfTwo,
    /// At random in proportion to the weights.
    RandomByWeight,
};

/// @brief A target as it concerns one request.
struct ExplainedTarget {
    std::string key;
    std::string address;
    std::string zone;
    std::string region;
    double weight = 1;
    /// Load as a multiple of the target's slots.
    double load = 0;
    std::uint32_t inFlight = 0;
    TargetState state = TargetState::Probing;
    SkipReason skipped = SkipReason::None;
};

/// @brief The choice of a target for one request.
struct TargetChoice {
    /// In the order of the object for requests with an object.
    std::vector<ExplainedTarget> targets;
    /// Key of the target; empty if there is none or it is chosen at random.
    std::string chosen;
    /// Whether the target is chosen at random among those that are not skipped.
    bool isRandom = false;
    /// Whether the pool has any target that accepts requests now or when others end.
    bool hasUsableTarget = false;

    /// @return whether a target would get the request now.
    [[nodiscard]] auto isSent() const -> bool;
};

} // namespace citronloft
