/// @file
/// @brief The header fields and bodies by which callers and targets are spoken to.
///
/// The gateway decides; a dialect only translates. The project's own dialect is makeOwnDialect(); a deployment with
/// other names brings another one.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/http_message.hpp"
#include "citronloft/policy/live_target.hpp"

namespace citronloft {

/// @brief What a caller's request says beside method, path and body.
struct CallerFields {
    /// Id that the caller gave this attempt; empty if it gave none.
    std::string_view requestId;
    std::string_view key;
    bool hasKey = false;
    std::string_view idempotencyKey;
    bool hasIdempotencyKey = false;
    /// Name of the object that the request concerns; empty if none is named.
    std::string_view object;
    /// Time that the caller waits for the answer.
    std::optional<std::chrono::milliseconds> patience;
};

/// @brief What is added to a request on its way to a target.
struct ForwardedFields {
    std::string team;
    /// Time left until the caller's deadline.
    std::chrono::milliseconds left {};
    /// Instance that alone may run the request; empty: whoever has the address.
    std::string instance;
};

/// @brief Load that a target reports with an answer.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// @brief What a target's answer says beside status and body.
struct TargetFields {
    /// The target states that it did not run the request.
    bool notRun = false;
    /// Another server than the expected one has the address.
    bool misdirected = false;
    std::optional<ReportedLoad> load;
    /// Time for which the target stays cold; absent if it says nothing.
    std::optional<std::chrono::milliseconds> coldFor;
};

/// @brief A look-up's question.
struct LookupQuery {
    /// IP number of the caller that will connect; empty: the one that asks.
    std::string callerIp;
    /// Zone of the caller; empty: found by its IP number.
    std::string zone;
};

/// @brief A look-up's answer.
struct LookupAnswer {
    std::string zone;
    /// Service addresses of hosts.
    std::vector<std::string> hosts;
    std::chrono::milliseconds ttl {};
    std::uint64_t configVersion = 0;
};

/// @brief Translates messages of callers and targets.
class Dialect {
public:
    virtual ~Dialect() = default;

    [[nodiscard]] virtual auto isLookup(const HttpRequest& request) const -> bool = 0;
    [[nodiscard]] virtual auto readLookup(const HttpRequest& request) const -> LookupQuery = 0;
    [[nodiscard]] virtual auto writeLookup(const LookupAnswer& answer) const -> HttpResponse = 0;

    /// @brief Reads a caller's request; the views point into it.
    [[nodiscard]] virtual auto readRequest(const HttpRequest& request) const -> CallerFields = 0;

    /// @return the request as a target may see it: without key and hop-by-hop fields.
    [[nodiscard]] virtual auto forward(const HttpRequest& request, const ForwardedFields& fields) const
        -> HttpRequest = 0;

    [[nodiscard]] virtual auto readAnswer(const HttpResponse& answer) const -> TargetFields = 0;

    /// @return the field with which targets echo the request's id; empty if they don't.
    [[nodiscard]] virtual auto requestIdField() const -> std::string_view = 0;

    /// @brief Leaves only what the caller may see of a target's answer.
    virtual auto cleanAnswer(HttpResponse& answer, bool isHead) const -> void = 0;

    /// @return an answer of the host itself.
    [[nodiscard]] virtual auto refuse(ResultCode code, std::chrono::milliseconds retryAfter) const -> HttpResponse = 0;

    /// @brief Adds result code, outcome and version to an answer, where the dialect has fields for them.
    virtual auto annotate(HttpResponse& answer, ResultCode code, std::uint64_t configVersion) const -> void = 0;
};

/// @return the dialect of docs/INTERFACE.md.
auto makeOwnDialect() -> std::unique_ptr<Dialect>;

} // namespace citronloft
