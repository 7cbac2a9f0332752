/// @file
/// @brief Load of one target, as a host reports it to the other hosts of its zone.
#pragma once

#include <cstdint>

namespace citronloft {

/// @brief Load of one target, as one host observes it.
struct TargetLoad {
    /// The target has sent no report since the last notice.
    static constexpr auto noReport = std::uint8_t { 255 };

    /// Low 32 bits of the hash of the target's key.
    std::uint32_t target = 0;
    /// Number of requests that the host has in flight at the target.
    std::uint8_t inFlight = 0;
    /// Number of requests from outside the zone, according to the target's latest report to the host; noReport if
    /// unknown.
    std::uint8_t outsideInFlight = noReport;

    auto operator==(const TargetLoad&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->target, this->inFlight, this->outsideInFlight);
    }
};

} // namespace citronloft
