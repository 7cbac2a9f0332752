/// @file
/// @brief Divides the requests of a zone among the targets of all zones.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace citronloft {

/// @brief Capacity of a zone's targets of one pool.
struct ZoneCapacity {
    std::string zone;
    std::string region;
    /// Total slots of the targets that accept requests.
    double slots = 0;
};

/// @brief Options of the division.
struct ZoneShareOption {
    /// Maximum planned utilization of a zone's targets, relative to the mean utilization of all targets. A higher value
    /// keeps more requests local, a lower one evens out the utilization. All zones are assumed to have the same demand:
    /// at 1.3 and with six zones, a zone that has 1/20 of the targets keeps 39 % of its requests.
    double headroom = 1.3;
};

/// @brief Divides the requests of one zone among the targets of all zones.
///
/// Load pattern: callers are distributed evenly over the zones, targets are not. The zone's own targets are used first,
/// then spare capacity in its region, then spare capacity everywhere, each in proportion to the zones' spare slots. The
/// result depends only on the targets, so all hosts of a zone agree, and it changes only when the targets change.
/// @return fraction of the requests per zone, with a sum of 1; empty if no zone has targets.
auto shareAmongZones(const std::vector<ZoneCapacity>& zones, const std::string& from, ZoneShareOption option = {})
    -> std::map<std::string, double>;

} // namespace citronloft
