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
    /// Requests per second over all hosts together; 0: no limit.
    double rate = 0;
    /// Requests that may pass at once after a quiet time, over all hosts together.
    double burst = 0;
    /// Weight in the fair queue.
    std::uint32_t weight = 1;
    std::vector<Digest> keys {};
    /// Rank among teams when there is not room for all; 0 is served first. Goes before the route's priority.
    std::uint32_t priority = 0;
    /// Regions in which the team's requests may run; empty: all.
    std::vector<std::string> homeRegions {};

    auto operator==(const Team&) const -> bool = default;
};

/// @brief One pool's part of a route's requests.
struct PoolWeight {
    std::string pool;
    std::uint32_t weight = 1;

    auto operator==(const PoolWeight&) const -> bool = default;
};

/// @brief Maps a host name, a path prefix and methods to target pools.
struct Route {
    std::string name;
    /// Host name that the request must carry; empty: every host name.
    std::string host;
    std::string prefix;
    /// Empty: every method.
    std::vector<std::string> methods;
    /// The pool of all requests if `split` is empty.
    std::string pool;
    /// Division of the requests over several pools by weight.
    std::vector<PoolWeight> split;
    /// True: no key is needed and no team's rate is charged.
    bool open = false;
    bool idempotent = false;
    std::chrono::milliseconds deadline { 2000 };
    /// Greatest age of the last sign of freshness of the configuration; unset: no limit.
    std::optional<std::chrono::milliseconds> maxConfigAge;
    /// Empty: every team.
    std::vector<std::string> teams;
    /// Time within which an answer is of full use to the caller; 0: the deadline.
    std::chrono::milliseconds objective { 0 };
    /// Rank among routes when there is not room for all; 0 is served first.
    std::uint32_t priority = 0;
    /// Targets that one request may be sent to.
    std::uint32_t attempts = 3;
    /// Requests of one object should go to the same target.
    bool sticky = false;
    /// Regions in which the route's requests may run; empty: all.
    std::vector<std::string> homeRegions;

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
    /// Fixed targets; a pool whose targets are discovered has none here.
    std::vector<Target> targets;
    std::string healthPath = "/healthz";
    /// Connections that a discovered target accepts from all hosts together.
    std::uint32_t connections = 1;
    /// Requests per second that a cold target bears from all hosts together; 0: no limit.
    double coldRate = 0;

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

/// @brief Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024 * 1024;
    /// From a request's first byte to the end of its header.
    std::chrono::milliseconds headerTimeout { 10'000 };
    std::chrono::milliseconds idleTimeout { 60'000 };

    auto operator==(const CallerLimits&) const -> bool = default;
};

/// @brief Settings of the whole fleet.
struct FleetSettings {
    /// How long callers may cache a look-up's answer.
    std::chrono::milliseconds lookupTtl { 5000 };
    CallerLimits callers;

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
