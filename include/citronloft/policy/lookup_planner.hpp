/// @file
/// @brief Selects the zone whose entry hosts a caller should use.
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

/// @brief Steers callers to zones through look-ups.
///
/// A caller is sent to its own zone while that zone has live entry hosts and is not draining. Otherwise callers are
/// moved in the order of their positions: first to other zones of the region, then to regions for which a shift limit
/// exists, at no more than that rate. A caller whose zone is unreachable and that is not to be moved yet gets no zone,
/// so that its request is refused explicitly.
class LookupPlanner {
public:
    /// @brief Returns whether a zone has live entry hosts that accept callers.
    using ZoneIsUp = std::function<bool(const std::string& zone)>;

    /// @brief Applies a configuration; the shift boundaries of zones that remain are preserved.
    auto setConfig(const Config& config, const std::string& ownZone) -> void;

    /// @brief Advances the shift boundaries; to be called a few times per second.
    auto tick(const ZoneIsUp& isUp, TimePoint now) -> void;

    /// @param ip IP address of the caller.
    /// @return zone whose hosts the caller should use, or nothing if the caller has to wait.
    [[nodiscard]] auto zoneFor(const std::string& ip, const ZoneIsUp& isUp) const -> std::optional<std::string>;

    /// @brief Selects the zone for a caller that names its own zone.
    /// @param zone zone of the caller; an unknown zone is treated as this host's zone.
    /// @param ip IP address of the caller, which determines its position among the zone's callers.
    [[nodiscard]] auto zoneFor(const std::string& zone, const std::string& ip, const ZoneIsUp& isUp) const
        -> std::optional<std::string>;

    /// @return fraction of a zone's callers that is sent to other zones.
    [[nodiscard]] auto movedFraction(const std::string& zone) const -> double;

private:
    struct ZoneState {
        Zone zone;
        ShiftBoundary boundary;
    };

    [[nodiscard]] auto zoneFor(std::size_t homeIndex, const std::string& ip, const ZoneIsUp& isUp) const
        -> std::optional<std::string>;
    [[nodiscard]] auto shiftRateOf(const ZoneState& state, const ZoneIsUp& isUp) const -> double;
    [[nodiscard]] auto acceptsCallers(const ZoneState& state, const ZoneIsUp& isUp) const -> bool;
    [[nodiscard]] auto alternativeTo(const ZoneState& home, double position, const ZoneIsUp& isUp) const
        -> const ZoneState*;
    [[nodiscard]] auto limitBetween(const std::string& from, const std::string& to) const -> const ShiftLimit*;

    std::vector<ZoneState> zones;
    std::vector<ShiftLimit> shifts;
    BlockTable blocks;
    /// Client blocks from which `blocks` was built.
    SharedList<ClientBlock> indexedBlocks;
    std::size_t ownZone = 0;
};

} // namespace citronloft
