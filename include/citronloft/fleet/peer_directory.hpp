/// @file
/// @brief Peers that a rate limiter can borrow from.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief Network distance between two hosts, in ascending order.
enum class LenderDistance : std::uint8_t { Zone, Region, OtherRegion };

/// @brief Host that can be asked for a loan.
struct Lender {
    std::uint64_t incarnation = 0;
    Address address;
    LenderDistance distance = LenderDistance::OtherRegion;

    auto operator==(const Lender&) const -> bool = default;
};

/// @brief Lists the hosts that can be asked for loans.
class PeerDirectory {
public:
    virtual ~PeerDirectory() = default;

    /// @return the live hosts, with zone peers first.
    [[nodiscard]] virtual auto lenders() const -> std::vector<Lender> = 0;

    /// @return the host of this zone that holds the zone's tokens of a bucket; empty if it is this host.
    [[nodiscard]] virtual auto zoneHolder(std::uint64_t /*bucket*/) const -> std::optional<Lender>
    {
        return std::nullopt;
    }

    /// @return the bucket's holders in the other zones, with those of this region first.
    [[nodiscard]] virtual auto remoteHolders(std::uint64_t /*bucket*/) const -> std::vector<Lender> { return {}; }
};

} // namespace citronloft
