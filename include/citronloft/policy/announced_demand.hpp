/// @file
/// @brief This host's demand as known to the other hosts.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Demand for one bucket at one host.
struct BucketDemand {
    std::uint64_t bucket = 0;
    /// Smoothed requests per second.
    float perSecond = 0;

    auto operator==(const BucketDemand&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->bucket, this->perSecond); }
};

/// @brief Demand that this host has announced to the other hosts, and the demand that they are known to account for.
///
/// Load pattern: callers move between hosts while messages are delayed or a zone is disconnected. An increase takes
/// effect only when the other hosts have reduced their shares for it; a decrease takes effect as soon as it is
/// announced. The sum of the shares in use therefore never exceeds the total rate.
class AnnouncedDemand {
public:
    /// @brief Updates the demands of this host from a complete list.
    /// @param canIncrease whether increases can be confirmed. If not, none is announced and unconfirmed ones are
    /// withdrawn, since other hosts would reduce their shares for them without any benefit.
    /// @return demands to announce to the other hosts at `now`.
    auto update(const std::vector<BucketDemand>& own, bool canIncrease, TimePoint now) -> std::vector<BucketDemand>;

    /// @brief Confirms that all other hosts know the announcements made at `until` or before.
    auto confirm(TimePoint until) -> void;

    /// @return demand that was announced last.
    [[nodiscard]] auto announced(std::uint64_t bucket) const -> double;

    /// @return demand that all other hosts are known to account for; never more than announced().
    [[nodiscard]] auto confirmed(std::uint64_t bucket) const -> double;

private:
    struct Increase {
        double perSecond = 0;
        TimePoint announcedAt;
    };

    struct Entry {
        double announced = 0;
        double confirmed = 0;
        /// Maximum demand in the current window, and the time at which the window ends.
        double peak = 0;
        TimePoint peakWindowEndsAt {};
        std::deque<Increase> pendingIncreases;
    };

    static auto announceIncrease(Entry& entry, double perSecond, bool canIncrease, TimePoint now) -> void;
    static auto announceDecrease(Entry& entry, double perSecond, TimePoint now) -> void;

    std::map<std::uint64_t, Entry> entries;
};

} // namespace citronloft
