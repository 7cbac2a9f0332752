/// @file
/// @brief Answers look-ups from answers that are kept until a zone's hosts change.
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

/// @brief Path of look-ups.
inline constexpr auto lookupPath = "/citronloft/v1/lookup";

/// @brief Look-ups of one host.
class LookupService {
public:
    /// @param dialect outlives the service.
    LookupService(const Membership& membership, const Dialect& dialect, std::string zone);

    /// @brief Puts a configuration in force.
    auto setConfig(const ActiveConfig& active) -> void;

    /// @brief Rebuilds the answers and moves the boundaries.
    auto tick(TimePoint now) -> void;

    /// @brief Rebuilds the answers now.
    auto refresh(TimePoint now) -> void;

    /// @param callerIp used if the query names no client.
    /// @return the answer; status 503 without a body if no zone may take the caller now.
    auto answer(const HttpRequest& request, const std::string& callerIp) -> HttpResponse;

    /// @return zones with hosts that serve.
    [[nodiscard]] auto zonesUp() const -> std::size_t { return this->zoneHosts.size(); }

    [[nodiscard]] auto planner() const -> const LookupPlanner& { return this->plan; }

private:
    /// What callers of one zone's hosts are told.
    struct ZoneHosts {
        std::vector<std::string> hosts;
        /// Built when it is first asked for.
        std::optional<HttpResponse> response;
    };

    [[nodiscard]] auto isUp(const std::string& zone) const -> bool { return this->zoneHosts.contains(zone); }
    auto updateHosts(const std::string& zone) -> void;

    const Membership& membership;
    const Dialect& dialect;
    std::string ownZone;
    LookupPlanner plan;
    std::vector<std::string> zoneNames;
    std::chrono::milliseconds ttl {};
    std::uint64_t version = 0;
    /// Zones with live hosts.
    std::map<std::string, ZoneHosts> zoneHosts;
    TimePoint nextBuildAt {};
};

} // namespace citronloft
