/// @file
/// @brief Which part of a zone's requests each zone's targets should run.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace citronloft {

/// @brief A zone and what its targets of one pool can run.
struct ZoneCapacity {
    std::string zone;
    std::string region;
    /// Slots of targets that take requests.
    double slots = 0;
};

/// @brief Options of the division.
struct ZoneShareOption {
    /// How far above the mean use of all targets a zone's own targets may be planned: more keeps requests local, less
    /// evens out the use. Callers' zones ask for equal parts; at 1.3, a zone whose targets are 1/20 of all keeps 39 %
    /// of its sixth of the requests.
    double headroom = 1.3;
};

/// @brief Divides the requests of one zone over all zones' targets.
///
/// Load pattern: callers are spread evenly over zones and targets are not. Own targets come first, then the region's
/// spare ones, then all other spare ones in proportion. The result depends on the targets alone, so that all hosts of a
/// zone agree and it changes only with them.
/// @return parts by zone that sum to 1; empty if no zone has a target.
auto shareAmongZones(const std::vector<ZoneCapacity>& zones, const std::string& from, ZoneShareOption option = {})
    -> std::map<std::string, double>;

} // namespace citronloft
