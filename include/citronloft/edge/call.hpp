/// @file
/// @brief One caller's request on its way through a host.
#pragma once

#include <memory>
#include <string>

#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/dialect.hpp"
#include "citronloft/edge/http_server.hpp"
#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/policy/key_table.hpp"
#include "citronloft/policy/route_table.hpp"

namespace citronloft {

/// Names the object that a request concerns, so that its requests go to the same target.
inline constexpr auto objectHeader = "Citronloft-Object";
inline constexpr auto deadlineHeader = "Citronloft-Deadline-Ms";
inline constexpr auto outcomeHeader = "Citronloft-Outcome";
inline constexpr auto codeHeader = "Citronloft-Code";

/// @brief Suggested time before the next try of a request that found no room: some turns of a slot later.
inline constexpr auto busyRetryAfter = std::chrono::milliseconds { 300 };

/// @brief One configuration with its tables, kept alive by the requests that use it.
struct Snapshot {
    std::shared_ptr<const ActiveConfig> active;
    RouteTable routes;
    KeyTable keys;
};

/// @brief A request, what was found out about it, and its deadline.
struct Call {
    std::shared_ptr<const Snapshot> snapshot;
    const Route* route = nullptr;
    /// Null for an open route.
    const Team* team = nullptr;
    std::size_t teamIndex = 0;
    HttpRequest* request = nullptr;
    /// Views into the request.
    CallerFields fields;
    /// Pool that the route's split gives the request to.
    std::string pool;
    TimePoint receivedAt;
    CallerContext* caller = nullptr;
    TimePoint deadline;
    bool isSpilled = false;
};

/// @brief How a call ended; `response` counts only for answers.
struct CallResult {
    ResultCode code = ResultCode::NoTarget;
    HttpResponse response;
    Duration retryAfter {};
    /// What decided the result, for the log; empty if no target was chosen.
    std::string target {};
    std::string pool {};
    unsigned attempts = 0;
};

/// @return the request as a target or another host may see it: without key, own fields and hop-by-hop fields, with team
/// and remaining time.
auto makeForwardedRequest(const Dialect& dialect, const Call& call, const std::string& instance, TimePoint now)
    -> HttpRequest;

/// @return the number of milliseconds, at most an hour; nothing if `text` is no such number.
auto parseMilliseconds(std::string_view text) -> std::optional<std::chrono::milliseconds>;

/// @return whether the code proves that the request did not run.
auto isRefusal(ResultCode code) -> bool;

/// @return the region of a zone in the call's configuration, or an empty string.
auto regionOf(const Call& call, const std::string& zone) -> std::string;

} // namespace citronloft
