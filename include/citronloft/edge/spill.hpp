/// @file
/// @brief Signed forwarding of a request to an entry host of another zone.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <absl/status/statusor.h>

#include "citronloft/base/clock.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Name of the header field that marks a forwarded request.
inline constexpr auto spillHeader = "Citronloft-Spill";

/// @brief What the sending host vouches for.
struct SpillTicket {
    /// Empty for a route that is open to all.
    std::string team;
    std::string route;
    std::uint64_t nonce = 0;
};

/// @brief Signs and checks tickets under the fleet's secret; a ticket is good for one request.
class SpillSigner {
public:
    explicit SpillSigner(std::string secret);

    /// @return the header value for `request`.
    [[nodiscard]] auto sign(const SpillTicket& ticket, const HttpRequest& request) const -> std::string;

    /// @return the ticket, PermissionDenied if it is not authentic for this request, AlreadyExists if used before.
    auto check(const HttpRequest& request, TimePoint now) -> absl::StatusOr<SpillTicket>;

private:
    [[nodiscard]] auto sealOf(const SpillTicket& ticket, const HttpRequest& request) const -> std::string;

    std::string secret;
    std::unordered_map<std::uint64_t, TimePoint> usedNonces;
    TimePoint nextCleanAt {};
};

} // namespace citronloft
