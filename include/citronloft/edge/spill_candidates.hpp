/// @file
/// @brief Selects the hosts to which a host that does not reach targets forwards its requests.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/membership.hpp"

namespace citronloft {

/// @brief Requirements on the hosts of one request.
struct CandidateQuery {
    std::string zone;
    /// Regions in which the request may run; empty for all.
    std::vector<std::string> regions;
    /// @return the region of a zone; empty if it is unknown.
    std::function<std::string(const std::string& zone)> regionOf;
};

/// @brief Selects serving hosts that reach targets: a few of the own zone, then of the region, then of other regions.
///
/// The order within each distance is random, so that neighbours of a cut zone share its load.
class SpillCandidates {
public:
    explicit SpillCandidates(std::uint64_t seed);

    [[nodiscard]] auto select(const Membership& membership, const CandidateQuery& query, TimePoint now)
        -> std::vector<HostEntry>;

    /// @brief Omits a host for a while, since it could not be reached or could not run a request.
    auto recordUnable(const HostEntry& host, TimePoint now) -> void;

private:
    auto addRandom(std::vector<const HostEntry*> hosts, std::vector<HostEntry>& selected) -> void;

    pcg32 random;
    /// By incarnation.
    std::unordered_map<std::uint64_t, TimePoint> omittedUntil;
};

} // namespace citronloft
