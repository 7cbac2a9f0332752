/// @file
/// @brief Wire format of the requests and responses exchanged with callers and targets.
///
/// A dialect maps header fields and bodies to plain structures; all decisions are made by the gateway.
/// makeDefaultDialect() creates the default dialect; a platform with other field names provides its own.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/http_message.hpp"
#include "citronloft/policy/live_target.hpp"

namespace citronloft {

/// @brief Fields of a caller's request, apart from method, path and body.
struct CallerFields {
    /// Id that the caller assigned to this attempt; empty if absent.
    std::string_view requestId;
    std::string_view key;
    bool hasKey = false;
    std::string_view idempotencyKey;
    bool hasIdempotencyKey = false;
    /// Name of the sticky object that the request concerns; empty if absent.
    std::string_view object;
    /// Time that the caller waits for the response; absent if the request does not state it.
    std::optional<std::chrono::milliseconds> callerTimeout;
};

/// @brief Fields added to a request that is sent to a target.
struct ForwardedFields {
    std::string team;
    /// Time left until the caller's deadline.
    std::chrono::milliseconds remainingTime {};
    /// Instance that must run the request; empty if any server at the address may run it.
    std::string instance;
};

/// @brief Load that a target reports in a response.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// @brief Fields of a target's response, apart from status and body.
struct TargetFields {
    /// The target states that it did not run the request.
    bool notRun = false;
    /// The server at the address is not the expected instance.
    bool misdirected = false;
    std::optional<ReportedLoad> load;
    /// Maximum rate in requests per second that the target accepts from all hosts together; nothing if the response
    /// states none, an error if it cannot be parsed.
    absl::StatusOr<std::optional<double>> rateLimit = std::optional<double> {};
    /// Whether the target states that it is about to stop; an error if the statement cannot be parsed.
    absl::StatusOr<bool> isLeaving = false;
    /// Time for which the target, which refused the request, wants no others from this host; nothing if the response
    /// states none, an error if it cannot be parsed.
    absl::StatusOr<std::optional<std::chrono::milliseconds>> pause = std::optional<std::chrono::milliseconds> {};
};

/// @brief Parameters of a lookup.
struct LookupQuery {
    /// IP address of the caller that will connect; empty if it is the sender of the lookup.
    std::string callerIp;
    /// Zone of the caller; if empty, the zone is chosen by the caller's IP address.
    std::string zone;
};

/// @brief Result of a lookup.
struct LookupAnswer {
    std::string zone;
    /// Service addresses of the zone's hosts.
    std::vector<std::string> hosts;
    std::chrono::milliseconds ttl {};
    std::uint64_t configVersion = 0;
};

/// @brief Parses and writes the messages of callers and targets.
class Dialect {
public:
    virtual ~Dialect() = default;

    [[nodiscard]] virtual auto isLookupRequest(const HttpRequest& request) const -> bool = 0;
    [[nodiscard]] virtual auto parseLookup(const HttpRequest& request) const -> LookupQuery = 0;
    [[nodiscard]] virtual auto makeLookupResponse(const LookupAnswer& answer) const -> HttpResponse = 0;

    /// @brief Parses a caller's request; the returned views point into it.
    [[nodiscard]] virtual auto parseRequest(const HttpRequest& request) const -> CallerFields = 0;

    /// @return the request to be sent to a target: without key and hop-by-hop fields, with `fields` added.
    [[nodiscard]] virtual auto makeTargetRequest(const HttpRequest& request, const ForwardedFields& fields) const
        -> HttpRequest = 0;

    [[nodiscard]] virtual auto parseResponse(const HttpResponse& answer) const -> TargetFields = 0;

    /// @return whether a target can have sent `response` for the request with this id; an empty id is unknown. Targets
    /// may mark their successes, so that bytes that are no response of a target do not reach the caller as one.
    [[nodiscard]] virtual auto isTargetResponse(const HttpResponse& response, std::string_view requestId) const -> bool
        = 0;

    /// @return the name of the response field in which targets echo the request id; empty if they do not echo it.
    [[nodiscard]] virtual auto requestIdField() const -> std::string_view = 0;

    /// @brief Removes the fields of a target's response that must not reach the caller.
    virtual auto sanitizeResponse(HttpResponse& answer, bool isHead) const -> void = 0;

    /// @return the response for a request that the host itself refuses or fails.
    [[nodiscard]] virtual auto makeErrorResponse(ResultCode code, std::chrono::milliseconds retryAfter) const
        -> HttpResponse = 0;

    /// @brief Adds result code, outcome and configuration version to a response, if the dialect has fields for them.
    virtual auto addResultFields(HttpResponse& answer, ResultCode code, std::uint64_t configVersion) const -> void = 0;
};

/// @return the default dialect, as specified in docs/INTERFACE.md.
auto makeDefaultDialect() -> std::unique_ptr<Dialect>;

} // namespace citronloft
