/// @file
/// @brief Answers which zone's entry hosts a caller should use.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronloft/base/config.hpp"
#include "citronloft/policy/block_table.hpp"
#include "citronloft/policy/shift_boundary.hpp"

namespace citronloft {

/// @brief Steering of callers by look-ups.
///
/// A caller gets its own zone while that zone has entry hosts and does not drain. Otherwise callers move, in the order
/// of their positions: to other zones of the region first, then to regions that a shift limit allows, no faster than
/// that limit. A caller that may not move yet from a lost zone gets no zone, which is an honest refusal.
class LookupPlanner {
public:
    /// @brief Tells whether a zone has live entry hosts that take callers.
    using ZoneIsUp = std::function<bool(const std::string& zone)>;

    /// @brief Puts a configuration in force; boundaries that have moved stay where they are.
    auto setConfig(const Config& config, const std::string& ownZone) -> void;

    /// @brief Moves the boundaries; to be called a few times a second.
    auto tick(const ZoneIsUp& isUp, TimePoint now) -> void;

    /// @param ip caller's IP number.
    /// @return zone whose hosts the caller should use, or nothing if it has to wait.
    [[nodiscard]] auto zoneFor(const std::string& ip, const ZoneIsUp& isUp) const -> std::optional<std::string>;

    /// @param ip caller's IP number, which places it among the zone's callers.
    /// @return the same for a caller that names its zone; an unknown zone counts as this host's own.
    [[nodiscard]] auto zoneFor(const std::string& zone, const std::string& ip, const ZoneIsUp& isUp) const
        -> std::optional<std::string>;

    /// @return part of a zone's callers that are sent elsewhere.
    [[nodiscard]] auto movedPart(const std::string& zone) const -> double;

private:
    struct ZoneState {
        Zone zone;
        ShiftBoundary boundary;
    };

    [[nodiscard]] auto zoneFor(std::size_t homeIndex, const std::string& ip, const ZoneIsUp& isUp) const
        -> std::optional<std::string>;
    [[nodiscard]] auto speedOf(const ZoneState& state, const ZoneIsUp& isUp) const -> double;
    [[nodiscard]] auto takesCallers(const ZoneState& state, const ZoneIsUp& isUp) const -> bool;
    [[nodiscard]] auto alternativeTo(const ZoneState& home, double position, const ZoneIsUp& isUp) const
        -> const ZoneState*;
    [[nodiscard]] auto limitBetween(const std::string& from, const std::string& to) const -> const ShiftLimit*;

    std::vector<ZoneState> zones;
    std::vector<ShiftLimit> shifts;
    BlockTable blocks;
    /// What `blocks` was built from.
    SharedList<ClientBlock> tableBlocks;
    std::size_t ownZone = 0;
};

} // namespace citronloft
