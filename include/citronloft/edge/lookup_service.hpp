/// @file
/// @brief Answers look-ups from bodies that are built ahead, a few times a second.
#pragma once

#include <map>
#include <string>

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
    LookupService(const Membership& membership, std::string zone);

    /// @brief Puts a configuration in force.
    auto setConfig(const ActiveConfig& active) -> void;

    /// @brief Rebuilds the answers and moves the boundaries.
    auto tick(TimePoint now) -> void;

    /// @param callerIp used if the query names no client.
    /// @return the answer; status 503 without a body if no zone may take the caller now.
    [[nodiscard]] auto answer(const HttpRequest& request, const std::string& callerIp) const -> HttpResponse;

    [[nodiscard]] auto planner() const -> const LookupPlanner& { return this->plan; }

private:
    [[nodiscard]] auto isUp(const std::string& zone) const -> bool { return this->bodies.contains(zone); }
    auto buildBody(const std::string& zone) -> void;

    const Membership& membership;
    std::string ownZone;
    LookupPlanner plan;
    std::vector<std::string> zoneNames;
    std::chrono::milliseconds ttl {};
    std::uint64_t version = 0;
    /// Answer bodies of zones with live hosts.
    std::map<std::string, std::string> bodies;
    TimePoint nextBuildAt {};
};

} // namespace citronloft
