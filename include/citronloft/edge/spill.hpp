/// @file
/// @brief Signed tickets that authenticate requests forwarded to other hosts, and the results that these report.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <absl/status/statusor.h>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/result_code.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Header field that marks a forwarded request and carries its ticket.
inline constexpr auto spillHeader = "Citronloft-Spill";

/// @brief Header field of the response to a forwarded request that carries its SpillResult; never sent to callers.
inline constexpr auto spillResultHeader = "Citronloft-Spill-Result";

/// @brief Header field of such a response that carries the key of the target that answered. It is listed in Connection,
/// so that a host that does not know it removes it.
inline constexpr auto spillTargetHeader = "Citronloft-Spill-Target";

/// @brief Reason for which a request is forwarded.
enum class SpillReason : std::uint8_t {
    /// The sending host's zone has no free slot. The receiving host admits the request only if it has free slots.
    NoCapacity,
    /// The sending host does not reach targets. The receiving host queues the request like those of its own callers.
    NoPath,
    /// The sending host could not connect to the target, and has counted the request in its retry budget. The request
    /// is queued likewise.
    ConnectFailed,
};

/// @return name of a reason, for logs.
auto spillReasonName(SpillReason reason) -> std::string_view;

/// @brief Content of a ticket; the sending host confirms that the request was authorized for this team and route.
struct SpillTicket {
    /// Empty if the route is open.
    std::string team;
    std::string route;
    std::uint64_t nonce = 0;
    SpillReason reason = SpillReason::NoCapacity;
    /// Maximum number of targets to which the receiving host may send the request.
    unsigned attempts = 1;
};

/// @brief Result of a forwarded request, as reported by the receiving host.
struct SpillResult {
    ResultCode code = ResultCode::PeerLost;
    /// Number of targets to which the request was sent.
    unsigned sent = 0;
    /// Key of the target that answered; empty if none did, or if the receiving host does not name it.
    std::string target {};

    auto operator==(const SpillResult&) const -> bool = default;
};

/// @brief Adds the result of a forwarded request to its response.
auto addSpillFields(HttpResponse& response, const SpillResult& result) -> void;

/// @brief Removes the result of a forwarded request from its response.
/// @return the result; nothing if it is missing, malformed or its code unknown.
auto takeSpillFields(HttpResponse& response) -> std::optional<SpillResult>;

/// @brief Signs and verifies tickets with the fleet's secret; each ticket is accepted once.
class SpillSigner {
public:
    explicit SpillSigner(std::string secret);

    /// @return the value of the spill header for `request`.
    [[nodiscard]] auto sign(const SpillTicket& ticket, const HttpRequest& request) const -> std::string;

    /// @brief Verifies the ticket of a request and records its nonce.
    /// @return the ticket; PermissionDenied if it is malformed or not signed for this request; AlreadyExists if it was
    /// used before.
    auto verify(const HttpRequest& request, TimePoint now) -> absl::StatusOr<SpillTicket>;

private:
    [[nodiscard]] auto signatureOf(const SpillTicket& ticket, const HttpRequest& request) const -> std::string;

    std::string secret;
    std::unordered_map<std::uint64_t, TimePoint> usedNonces;
    TimePoint nextPurgeAt {};
};

} // namespace citronloft
