/// @file
/// @brief Answers lookups with responses that are cached until a zone's hosts change.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronloft/edge/dialect.hpp"
#include "citronloft/edge/http_message.hpp"
#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/policy/lookup_planner.hpp"

namespace citronloft {

/// @brief Request path of lookups.
inline constexpr auto lookupPath = "/citronloft/v1/lookup";

/// @brief Selects the zone for each lookup and returns the zone's serving hosts.
///
/// Hosts that do not reach targets are omitted, unless no other host of the zone is left. A zone in which no host
/// reaches targets is treated like one without serving hosts while another zone has such hosts, except that callers
/// that may not move yet are still sent to it.
class LookupService {
public:
    /// @param dialect must outlive the service.
    LookupService(const Membership& membership, const Dialect& dialect, std::string zone);

    /// @brief Applies a configuration; the cached responses are discarded.
    auto setConfig(const ActiveConfig& active) -> void;

    /// @brief Updates zones, hosts and the lookup plan at a fixed interval; to be called more often than that.
    auto tick(TimePoint now) -> void;

    /// @brief Updates zones, hosts and the lookup plan immediately.
    auto refresh(TimePoint now) -> void;

    /// @param callerIp address of the sender, used if the query contains no client address.
    /// @return the response; status 503 without a body if no zone can accept the caller.
    auto answer(const HttpRequest& request, const std::string& callerIp) -> HttpResponse;

    /// @return the number of zones with at least one serving host.
    [[nodiscard]] auto servingZoneCount() const -> std::size_t { return this->zoneHosts.size(); }

    [[nodiscard]] auto planner() const -> const LookupPlanner& { return this->lookupPlanner; }

private:
    /// Serving hosts of one zone and the response that lists them.
    struct ZoneHosts {
        std::vector<std::string> hosts;
        bool reachesTargets = false;
        /// Built on the first lookup after a change.
        std::optional<HttpResponse> response;
    };

    [[nodiscard]] auto hasServingHost(const std::string& zone) const -> bool { return this->zoneHosts.contains(zone); }
    [[nodiscard]] auto acceptsCallers(const std::string& zone) const -> bool;
    [[nodiscard]] auto chooseZone(const LookupQuery& query, const std::string& ip) const -> std::optional<std::string>;
    auto updateHosts(const std::string& zone) -> void;

    const Membership& membership;
    const Dialect& dialect;
    std::string ownZone;
    LookupPlanner lookupPlanner;
    std::vector<std::string> zoneNames;
    std::chrono::milliseconds ttl {};
    std::uint64_t version = 0;
    /// Zones with at least one serving host.
    std::map<std::string, ZoneHosts> zoneHosts;
    /// Whether any host of any zone reaches targets.
    bool reachesTargets = false;
    TimePoint nextRebuildAt {};
};

} // namespace citronloft
