/// @file
/// @brief Description of where a host would send a request, and why, as JSON for the status port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/http_message.hpp"
#include "citronloft/policy/target_choice.hpp"

namespace citronloft {

/// @brief What would happen to a request now.
enum class ExplainedOutcome : std::uint8_t {
    /// A target would get it.
    Sent,
    /// It would be offered to other hosts.
    Forwarded,
    /// It would wait for a token of its team, or for a slot; it is refused if the wait is too long.
    Waiting,
    Refused,
};

/// @return name of an outcome in lower case.
auto outcomeName(ExplainedOutcome outcome) -> std::string_view;

/// @brief Rate of the request's team on this host, in tokens; one token per request.
struct ExplainedRate {
    double fleetPerSecond = 0;
    double hostPerSecond = 0;
    double tokens = 0;

    [[nodiscard]] auto hasToken() const -> bool { return this->tokens >= 1; }
};

/// @brief A pool that the request may use.
struct ExplainedPool {
    std::string pool;
    std::uint32_t weight = 1;
    std::size_t queued = 0;
    TargetChoice choice;
    ExplainedOutcome outcome = ExplainedOutcome::Refused;
    /// Reason of a refusal; Answered otherwise.
    ResultCode refusal = ResultCode::Answered;
};

/// @brief Where a request would be sent, and why. It contains no key.
struct RequestExplanation {
    ExplainedOutcome outcome = ExplainedOutcome::Refused;
    /// Reason of a refusal; Answered otherwise.
    ResultCode refusal = ResultCode::Answered;
    std::uint64_t configVersion = 0;
    /// Empty if there is no route.
    std::string route;
    /// Empty if the route is open or the key was refused.
    std::string team;
    /// Absent if the request is not limited by a rate.
    std::optional<ExplainedRate> rate;
    /// Regions in which the request may run; empty means all regions.
    std::vector<std::string> regions;
    /// Whether the request names an object whose targets are preferred.
    bool hasObject = false;
    /// Whether this host reaches targets.
    bool reachesTargets = true;
    std::vector<ExplainedPool> pools;
};

/// @brief Combines the outcomes of the pools: the request is refused only if every pool refuses it.
auto combinePools(RequestExplanation& explanation) -> void;

/// @return the explanation as a JSON object.
auto formatExplanation(const RequestExplanation& explanation) -> std::string;

/// @param body JSON object with `method`, `url` and, if there are any, `headers`, a list of objects with `name` and
/// `value`. The URL is a path, or starts with http:// or https:// and the host name.
/// @return the request to be explained, or an error that describes the fault and quotes no header field's value.
auto parseExplainedRequest(std::string_view body) -> absl::StatusOr<HttpRequest>;

} // namespace citronloft
