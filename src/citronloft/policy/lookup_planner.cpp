#include "citronloft/policy/lookup_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace citronloft {

namespace {

constexpr auto unlimited = std::numeric_limits<double>::infinity();

auto makeBlockTable(const Config& config) -> BlockTable
{
    auto indexes = std::unordered_map<std::string, std::uint16_t> {};
    for (auto i = std::size_t { 0 }; i < config.zones.size(); ++i)
        indexes[config.zones[i].name] = static_cast<std::uint16_t>(i);
    auto entries = std::vector<BlockEntry> {};
    entries.reserve(config.blocks.size());
    for (const auto& block : config.blocks) {
        const auto prefix = parsePrefix(block.prefix);
        const auto zone = indexes.find(block.zone);
        if (prefix.ok() && zone != indexes.end())
            entries.push_back({ *prefix, zone->second });
    }
    return BlockTable(std::move(entries));
}

} // namespace

auto LookupPlanner::setConfig(const Config& config, const std::string& ownZoneName) -> void
{
    const auto zoneName = [](const ZoneState& state) { return state.zone.name; };
    auto old = std::move(this->zones);
    this->zones.clear();
    for (const auto& zone : config.zones) {
        const auto known = std::ranges::find(old, zone.name, [](const ZoneState& state) { return state.zone.name; });
        this->zones.push_back({ zone, known == old.end() ? ShiftBoundary {} : known->boundary });
    }
    this->shifts = config.shifts;
    // Building the table takes time in proportion to the number of blocks, so it is rebuilt only if the blocks or the
    // order of the zones changed.
    const auto isSameOrder = std::ranges::equal(old, this->zones, {}, zoneName, zoneName);
    if (!isSameOrder || !config.blocks.sharesStorageWith(this->indexedBlocks))
        this->blocks = makeBlockTable(config);
    this->indexedBlocks = config.blocks;
    const auto own = std::ranges::find(config.zones, ownZoneName, &Zone::name);
    this->ownZone = static_cast<std::size_t>(own - config.zones.begin());
}

auto LookupPlanner::tick(const ZoneIsUp& isUp, TimePoint now) -> void
{
    for (auto& state : this->zones) {
        const auto goal = this->acceptsCallers(state, isUp) ? 0.0 : 1.0;
        state.boundary.advance(goal, this->shiftRateOf(state, isUp), now);
    }
}

auto LookupPlanner::zoneFor(const std::string& ip, const ZoneIsUp& isUp) const -> std::optional<std::string>
{
    const auto bits = parseIp(ip);
    const auto found = bits.ok() ? this->blocks.find(*bits) : std::nullopt;
    return this->zoneFor(found ? std::size_t { *found } : this->ownZone, ip, isUp);
}

auto LookupPlanner::zoneFor(const std::string& zone, const std::string& ip, const ZoneIsUp& isUp) const
    -> std::optional<std::string>
{
    const auto found = std::ranges::find(this->zones, zone, [](const ZoneState& state) { return state.zone.name; });
    const auto index = static_cast<std::size_t>(found - this->zones.begin());
    return this->zoneFor(found == this->zones.end() ? this->ownZone : index, ip, isUp);
}

auto LookupPlanner::zoneFor(std::size_t index, const std::string& ip, const ZoneIsUp& isUp) const
    -> std::optional<std::string>
{
    if (index >= this->zones.size())
        return std::nullopt;
    const auto& home = this->zones[index];
    const auto position = callerPosition(ip);
    if (home.boundary.isMoved(position)) {
        if (const auto* other = this->alternativeTo(home, position, isUp))
            return other->zone.name;
    }
    if (isUp(home.zone.name))
        return home.zone.name;
    return std::nullopt;
}

auto LookupPlanner::movedFraction(const std::string& zone) const -> double
{
    const auto found = std::ranges::find(this->zones, zone, [](const ZoneState& state) { return state.zone.name; });
    return found == this->zones.end() ? 0 : found->boundary.value();
}

/// Returns the maximum fraction of callers to move per minute. Inside a region, the rate is unlimited unless a limit is
/// configured; to other regions, it is the sum of the limits for regions that accept callers.
auto LookupPlanner::shiftRateOf(const ZoneState& state, const ZoneIsUp& isUp) const -> double
{
    const auto& region = state.zone.region;
    const auto hasAlternativeInRegion = std::ranges::any_of(this->zones, [&](const ZoneState& other) {
        return other.zone.region == region && other.zone.name != state.zone.name && this->acceptsCallers(other, isUp);
    });
    const auto* own = this->limitBetween(region, region);
    if (hasAlternativeInRegion)
        return own == nullptr ? unlimited : own->percentPerMinute / 100;
    auto shiftRate = 0.0;
    for (const auto& limit : this->shifts) {
        const auto isUsable = limit.from == region && limit.to != region
            && std::ranges::any_of(this->zones, [&](const ZoneState& other) {
                   return other.zone.region == limit.to && this->acceptsCallers(other, isUp);
               });
        if (isUsable)
            shiftRate += limit.percentPerMinute / 100;
    }
    return shiftRate;
}

auto LookupPlanner::acceptsCallers(const ZoneState& state, const ZoneIsUp& isUp) const -> bool
{
    return !state.zone.draining && isUp(state.zone.name);
}

/// Distributes moved callers over the zones that accept them: evenly inside the region, otherwise in proportion to the
/// shift limits.
auto LookupPlanner::alternativeTo(const ZoneState& home, double position, const ZoneIsUp& isUp) const
    -> const ZoneState*
{
    auto candidates = std::vector<const ZoneState*> {};
    auto weights = std::vector<double> {};
    for (const auto isInside : { true, false }) {
        for (const auto& other : this->zones) {
            const auto* limit = this->limitBetween(home.zone.region, other.zone.region);
            const auto isSameRegion = other.zone.region == home.zone.region;
            if (isSameRegion != isInside || other.zone.name == home.zone.name || !this->acceptsCallers(other, isUp))
                continue;
            const auto weight = isInside ? 1.0 : (limit == nullptr ? 0.0 : limit->percentPerMinute);
            if (weight <= 0)
                continue;
            candidates.push_back(&other);
            weights.push_back(weight);
        }
        if (!candidates.empty())
            break;
    }
    auto sum = 0.0;
    for (const auto weight : weights)
        sum += weight;
    // A second hash of the position makes the choice independent of the order in which callers move.
    constexpr auto scramble = 7919.0;
    auto choice = std::fmod(position * scramble, 1.0) * sum;
    for (auto i = std::size_t { 0 }; i < candidates.size(); ++i) {
        choice -= weights[i];
        if (choice < 0)
            return candidates[i];
    }
    return candidates.empty() ? nullptr : candidates.back();
}

auto LookupPlanner::limitBetween(const std::string& from, const std::string& to) const -> const ShiftLimit*
{
    const auto found = std::ranges::find_if(
        this->shifts, [&](const ShiftLimit& limit) { return limit.from == from && limit.to == to; });
    return found == this->shifts.end() ? nullptr : &*found;
}

} // namespace citronloft
