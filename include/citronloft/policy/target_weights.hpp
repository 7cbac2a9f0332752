/// @file
/// @brief Weights of a pool's targets, which determine how its objects are divided among them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronloft/base/config.hpp"
#include "citronloft/policy/live_target.hpp"

namespace citronloft {

/// @return name of a placement in settings and logs.
auto placementName(Placement placement) -> std::string_view;

/// @return placement with the given name; Zone if there is none.
auto parsePlacement(std::string_view name) -> Placement;

/// @return whether a configuration states which of its routes have large bodies.
auto statesLargeBodies(const Config& config) -> bool;

/// @brief Chooses the placement of a route's objects.
///
/// Placement::Fleet needs routes whose messages are small, since two thirds of them cross regions, and whose latency
/// objective leaves time for it. In a configuration that marks no route as having large bodies, any route may have
/// them, and Placement::Zone is used.
/// @param setting placement that the host's settings ask for.
auto placementOf(const Route& route, bool statesLargeBodies, Placement setting) -> Placement;

/// @brief Sets the weights of a pool's targets for the requests of one zone, for each placement.
///
/// Load pattern: demand is spread evenly over the regions and oscillates, targets are not; a request is fast only at a
/// target that has recently handled its object. With Placement::Zone, an object has a first target for each zone, and
/// the share of every zone depends on the slots of all zones, so that a new target moves objects between other targets.
/// With Placement::Fleet, an object has one first target, and only the objects of added or removed targets move.
/// The weights depend only on the targets, so that all hosts of a zone agree without communication.
/// @param targets targets of one pool, with region, slots and state; receives the weights.
/// @param zones all zones of the fleet.
/// @param from zone of the host that sends the requests.
auto assignTargetWeights(std::vector<LiveTarget>& targets, const std::vector<Zone>& zones, const std::string& from)
    -> void;

} // namespace citronloft
