/// @file
/// @brief The operators' configuration: teams, routes, target pools, regions and limits.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronloft/base/digest.hpp"
#include "citronloft/base/shared_list.hpp"

namespace citronloft {

/// @brief A tenant: its rate over the whole fleet and the digests of its keys.
struct Team {
    std::string name;
    /// Requests per second over all hosts together.
    double rate = 0;
    /// Requests that may pass at once after a quiet time, over all hosts together.
    double burst = 0;
    /// Weight in the fair queue.
    std::uint32_t weight = 1;
    std::vector<Digest> keys;

    auto operator==(const Team&) const -> bool = default;
};

/// @brief Maps a path prefix and methods to a target pool.
struct Route {
    std::string name;
    std::string prefix;
    /// Empty: every method.
    std::vector<std::string> methods;
    std::string pool;
    /// True: no key is needed and no team's rate is charged.
    bool open = false;
    bool idempotent = false;
    std::chrono::milliseconds deadline { 2000 };
    /// Greatest age of the last sign of freshness of the configuration; unset: no limit.
    std::optional<std::chrono::milliseconds> maxConfigAge;
    /// Empty: every team.
    std::vector<std::string> teams;

    auto operator==(const Route&) const -> bool = default;
};

/// @brief A back end that runs requests.
struct Target {
    /// IP number and port.
    std::string address;
    std::string zone;
    std::uint32_t slots = 1;
    /// Connections that the target accepts from all hosts together.
    std::uint32_t connections = 1;
    bool draining = false;

    auto operator==(const Target&) const -> bool = default;
};

/// @brief Targets that serve the same routes.
struct Pool {
    std::string name;
    std::vector<Target> targets;

    auto operator==(const Pool&) const -> bool = default;
};

/// @brief An availability zone of a region.
struct Zone {
    std::string name;
    std::string region;
    /// Relative part of every team's rate that stands in this zone.
    std::uint32_t part = 1;
    /// True: look-ups move callers away from the zone, under the shift cap.
    bool draining = false;

    auto operator==(const Zone&) const -> bool = default;
};

/// @brief An IPv4 or IPv6 prefix of callers and the zone nearest to them.
struct ClientBlock {
    std::string prefix;
    std::string zone;

    auto operator==(const ClientBlock&) const -> bool = default;
};

/// @brief Limit on traffic that is moved from one region to another.
struct ShiftLimit {
    std::string from;
    std::string to;
    /// Requests per second that may spill over the region boundary.
    double rate = 0;
    double burst = 0;
    /// Bytes per second of spilled requests and answers.
    double bytesPerSecond = 0;
    /// Percentage points of callers that look-ups may move per minute.
    double percentPerMinute = 0;

    auto operator==(const ShiftLimit&) const -> bool = default;
};

/// @brief Settings of the whole fleet.
struct FleetSettings {
    /// How long callers may cache a look-up's answer.
    std::chrono::milliseconds lookupTtl { 5000 };

    auto operator==(const FleetSettings&) const -> bool = default;
};

/// @brief One whole configuration.
struct Config {
    FleetSettings settings;
    std::vector<Team> teams;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    std::vector<Zone> zones;
    SharedList<ClientBlock> blocks;
    std::vector<ShiftLimit> shifts;
    /// Service addresses of hosts that look-ups leave out while they go on serving.
    std::vector<std::string> drainingHosts;

    auto operator==(const Config&) const -> bool = default;
};

} // namespace citronloft
