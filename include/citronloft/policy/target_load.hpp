/// @file
/// @brief What a host tells the others of its zone about the load of one target.
#pragma once

#include <cstdint>

namespace citronloft {

/// @brief Load of one target as one host sees it.
struct TargetLoad {
    /// No report has come since the last notice.
    static constexpr auto noReport = std::uint8_t { 255 };

    /// Low half of the hash of the target's key.
    std::uint32_t target = 0;
    /// Requests that the host has in flight there.
    std::uint8_t inFlight = 0;
    /// Requests from outside the zone, by the target's newest report to the host; noReport: unknown.
    std::uint8_t outside = noReport;

    auto operator==(const TargetLoad&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->target, this->inFlight, this->outside);
    }
};

} // namespace citronloft
