/// @file
/// @brief Signed tickets that authenticate requests forwarded to entry hosts of other zones.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <absl/status/statusor.h>

#include "citronloft/base/clock.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Header field that marks a forwarded request and carries its ticket.
inline constexpr auto spillHeader = "Citronloft-Spill";

/// @brief Content of a ticket; the sending host confirms that the request was authorized for this team and route.
struct SpillTicket {
    /// Empty if the route is open.
    std::string team;
    std::string route;
    std::uint64_t nonce = 0;
};

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
