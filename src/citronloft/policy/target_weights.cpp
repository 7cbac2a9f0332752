#include "citronloft/policy/target_weights.hpp"

#include <algorithm>
#include <array>

#include "citronloft/policy/zone_shares.hpp"

namespace citronloft {

namespace {

/// Weight of a target in a zone without a share: above zero, so that it is still chosen if no other target is usable.
constexpr auto minTargetWeight = 1e-6;

/// A round trip between distant regions (110 ms) takes at most a third of such an objective.
constexpr auto minFleetObjective = std::chrono::milliseconds { 330 };

constexpr auto placementNames = std::to_array<std::string_view>({ "zone", "fleet" });

} // namespace

auto placementName(Placement placement) -> std::string_view
{
    return placementNames.at(static_cast<std::size_t>(placement));
}

auto parsePlacement(std::string_view name) -> Placement
{
    return name == placementName(Placement::Fleet) ? Placement::Fleet : Placement::Zone;
}

auto statesLargeBodies(const Config& config) -> bool
{
    return std::ranges::any_of(config.routes, &Route::hasLargeBodies);
}

auto placementOf(const Route& route, bool statesLargeBodies, Placement setting) -> Placement
{
    const auto objective = route.objective.count() > 0 ? route.objective : route.deadline;
    const auto allowsFleet = statesLargeBodies && !route.hasLargeBodies && objective >= minFleetObjective;
    return allowsFleet ? setting : Placement::Zone;
}

auto assignTargetWeights(std::vector<LiveTarget>& targets, const std::vector<Zone>& zones, const std::string& from)
    -> void
{
    auto capacities = std::vector<ZoneCapacity> {};
    for (const auto& zone : zones)
        capacities.push_back({ zone.name, zone.region, 0 });
    for (const auto& live : targets) {
        const auto zone = std::ranges::find(capacities, live.target.zone, &ZoneCapacity::zone);
        if (zone != capacities.end() && !live.evacuated && !live.target.draining)
            zone->slots += live.target.slots;
    }
    const auto shares = shareAmongZones(capacities, from);
    for (auto& live : targets) {
        const auto share = shares.find(live.target.zone);
        const auto zone = std::ranges::find(capacities, live.target.zone, &ZoneCapacity::zone);
        const auto weightPerSlot = share == shares.end() || zone->slots <= 0 ? 0 : share->second / zone->slots;
        live.weight = std::max(weightPerSlot * live.target.slots, minTargetWeight);
        live.fleetWeight = live.target.slots;
    }
}

} // namespace citronloft
