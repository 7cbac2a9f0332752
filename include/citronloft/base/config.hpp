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

/// @brief A tenant with its fleet-wide rate limit and the digests of its keys.
struct Team {
    std::string name;
    /// Requests per second, summed over all hosts; 0: unlimited.
    double rate = 0;
    /// Capacity of the token bucket in requests, summed over all hosts.
    double burst = 0;
    /// Weight in the fair queue.
    std::uint32_t weight = 1;
    std::vector<Digest> keys {};
    /// Rank among teams under overload; 0 is served first. Takes precedence over the route's priority.
    std::uint32_t priority = 0;
    /// Regions in which the team's requests may run; empty: all.
    std::vector<std::string> homeRegions {};

    auto operator==(const Team&) const -> bool = default;
};

/// @brief Relative share of a route's requests that one pool receives.
struct PoolWeight {
    std::string pool;
    std::uint32_t weight = 1;

    auto operator==(const PoolWeight&) const -> bool = default;
};

/// @brief Maps a host name, a path prefix and methods to target pools.
struct Route {
    std::string name;
    /// Host name that a request must have; empty: any host name.
    std::string host;
    std::string prefix;
    /// HTTP methods; empty: all methods.
    std::vector<std::string> methods;
    /// Pool that receives all requests if `split` is empty.
    std::string pool;
    /// Pools among which the requests are divided by weight.
    std::vector<PoolWeight> split;
    /// If true, requests need no key and are not counted against a team's rate.
    bool open = false;
    bool idempotent = false;
    std::chrono::milliseconds deadline { 2000 };
    /// Maximum time since the configuration was last confirmed as current; unset: no limit.
    std::optional<std::chrono::milliseconds> maxConfigAge;
    /// Teams that may use the route; empty: all teams.
    std::vector<std::string> teams;
    /// Latency objective: an answer after this time has reduced value to the caller; 0: the deadline.
    std::chrono::milliseconds objective { 0 };
    /// Rank among routes under overload; 0 is served first.
    std::uint32_t priority = 0;
    /// Maximum number of targets to which one request is sent.
    std::uint32_t attempts = 3;
    /// If true, requests for the same object are preferably sent to the same target.
    bool sticky = false;
    /// Regions in which the route's requests may run; empty: all.
    std::vector<std::string> homeRegions;
    /// Whether requests or responses are so large that links between regions matter more than the target's cache. Set
    /// by adapters whose configuration states it; not part of the stored configuration.
    bool hasLargeBodies = false;

    auto operator==(const Route&) const -> bool = default;
};

/// @brief How the objects of a route are placed on the targets of all zones.
enum class Placement : std::uint8_t {
    /// Each zone places its requests on its own targets first, then on spare capacity in its region and elsewhere.
    Zone,
    /// All zones share all targets in proportion to their slots.
    Fleet,
};

/// @brief A backend server that runs requests.
struct Target {
    /// IP address and port.
    std::string address;
    std::string zone;
    /// Requests that the target runs concurrently.
    std::uint32_t slots = 1;
    /// Connections that the target accepts, summed over all hosts.
    std::uint32_t connections = 1;
    bool draining = false;

    auto operator==(const Target&) const -> bool = default;
};

/// @brief A set of interchangeable targets.
struct Pool {
    std::string name;
    /// Statically configured targets; empty if the pool's targets are discovered.
    std::vector<Target> targets;
    std::string healthPath = "/healthz";
    /// Connections that a discovered target accepts, summed over all hosts.
    std::uint32_t connections = 1;
    /// Requests per second that a cold target can handle, summed over all hosts; 0: unlimited.
    double coldRate = 0;

    auto operator==(const Pool&) const -> bool = default;
};

/// @brief An availability zone of a region.
struct Zone {
    std::string name;
    std::string region;
    /// Weight of this zone when each team's rate is divided among zones.
    std::uint32_t part = 1;
    /// If true, look-ups direct callers to other zones, within the shift limits.
    bool draining = false;

    auto operator==(const Zone&) const -> bool = default;
};

/// @brief Maps an IPv4 or IPv6 prefix of caller addresses to the nearest zone.
struct ClientBlock {
    std::string prefix;
    std::string zone;

    auto operator==(const ClientBlock&) const -> bool = default;
};

/// @brief Limits on the traffic shifted from one region to another.
struct ShiftLimit {
    std::string from;
    std::string to;
    /// Requests per second that may spill from `from` to `to`.
    double rate = 0;
    double burst = 0;
    /// Bytes per second of spilled requests and their answers.
    double bytesPerSecond = 0;
    /// Percentage points of the callers that look-ups may move per minute.
    double percentPerMinute = 0;

    auto operator==(const ShiftLimit&) const -> bool = default;
};

/// @brief Limits on the size and timing of callers' requests.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024 * 1024;
    /// From a request's first byte to the end of its header.
    std::chrono::milliseconds headerTimeout { 10'000 };
    std::chrono::milliseconds idleTimeout { 60'000 };

    auto operator==(const CallerLimits&) const -> bool = default;
};

/// @brief Settings that apply to all hosts.
struct FleetSettings {
    /// Time for which callers may cache the answer to a look-up.
    std::chrono::milliseconds lookupTtl { 5000 };
    CallerLimits callers;

    auto operator==(const FleetSettings&) const -> bool = default;
};

/// @brief A complete configuration.
struct Config {
    FleetSettings settings;
    std::vector<Team> teams;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    std::vector<Zone> zones;
    SharedList<ClientBlock> blocks;
    std::vector<ShiftLimit> shifts;
    /// Service addresses of hosts that look-ups omit from their answers; these hosts continue to serve requests.
    std::vector<std::string> drainingHosts;

    auto operator==(const Config&) const -> bool = default;
};

} // namespace citronloft
