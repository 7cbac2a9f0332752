/// @file
/// @brief State of one request from its arrival at a host to its result.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/dialect.hpp"
#include "citronloft/edge/http_server.hpp"
#include "citronloft/edge/spill.hpp"
#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/policy/key_table.hpp"
#include "citronloft/policy/route_table.hpp"

namespace citronloft {

/// Request header with the name of a sticky object; requests with the same object are sent to the same target.
inline constexpr auto objectHeader = "Citronloft-Object";
inline constexpr auto deadlineHeader = "Citronloft-Deadline-Ms";
inline constexpr auto outcomeHeader = "Citronloft-Outcome";
inline constexpr auto codeHeader = "Citronloft-Code";

/// @brief Suggested delay before a caller retries a request that found no capacity: long enough for a slot to be reused
/// several times.
inline constexpr auto busyRetryAfter = std::chrono::milliseconds { 300 };

/// @brief Immutable configuration with its lookup tables, shared by the requests that use it.
struct ConfigSnapshot {
    std::shared_ptr<const ActiveConfig> active;
    RouteTable routes;
    KeyTable keys;
};

/// @brief A request with the route, team, pool and deadline that were determined for it.
struct Call {
    std::shared_ptr<const ConfigSnapshot> snapshot;
    const Route* route = nullptr;
    /// Null if the route is open.
    const Team* team = nullptr;
    std::size_t teamIndex = 0;
    HttpRequest* request = nullptr;
    /// Fields parsed from `request`; the string views point into it.
    CallerFields fields;
    /// Pool chosen by the route's traffic split.
    std::string pool;
    /// Earliest time at which the request may have arrived; a busy event loop reads it later.
    TimePoint receivedAt;
    CallerContext* caller = nullptr;
    TimePoint deadline;
    bool isSpilled = false;
    /// Reason for which another host forwarded the request, if it did.
    SpillReason spillReason = SpillReason::NoCapacity;
    /// Maximum number of targets to which the request may be sent.
    unsigned maxAttempts = 1;
    /// computeRequestIdentity(), once it is needed; 0 before.
    std::uint64_t identity = 0;
};

/// @brief Result of a call; `response` is used only if `code` is Answered or LookupAnswered.
struct CallResult {
    ResultCode code = ResultCode::NoTarget;
    HttpResponse response;
    Duration retryAfter {};
    /// Key of the last target tried, for the log; empty if no target was chosen.
    std::string target {};
    std::string pool {};
    unsigned attempts = 0;
    /// Number of targets to which the request was sent; connections that failed are not counted.
    unsigned sent = 0;
};

/// @brief A call's request in the form that is sent to a target or another host: without key, the project's own fields
/// and hop-by-hop fields, with team and remaining time.
///
/// It takes the body of the call's request, which may be large, and returns it when it is destroyed.
class ForwardedRequest {
public:
    ForwardedRequest(const Dialect& dialect, Call& call, const std::string& instance, TimePoint now);
    ~ForwardedRequest() { this->original.body = std::move(this->request.body); }
    ForwardedRequest(const ForwardedRequest&) = delete;
    auto operator=(const ForwardedRequest&) -> ForwardedRequest& = delete;

    HttpRequest request;

private:
    HttpRequest& original;
};

/// @return a number that requests with the same method, host, path, query, body and team share on all hosts; never 0.
auto computeRequestIdentity(const Call& call) -> std::uint64_t;

/// @return the number of milliseconds, capped at one hour; nothing if `text` is not a non-negative decimal integer.
auto parseMilliseconds(std::string_view text) -> std::optional<std::chrono::milliseconds>;

/// @return the time that a Retry-After field states in decimal seconds, capped at one hour; nothing if there is no
/// such field, an error if it has another form.
auto parseRetryAfter(const HeaderFields& fields) -> absl::StatusOr<std::optional<std::chrono::milliseconds>>;

/// @return whether the code guarantees that the request did not run.
auto provesNotRun(ResultCode code) -> bool;

/// @return the region of a zone in the call's configuration, or an empty string if the zone is unknown.
auto regionOf(const Call& call, const std::string& zone) -> std::string;

} // namespace citronloft
