/// @file
/// @brief A host's own demand as the others know it.
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
    /// Requests per second, smoothed.
    float perSecond = 0;

    auto operator==(const BucketDemand&) const -> bool = default;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->bucket, this->perSecond); }
};

/// @brief What a host has told the others of its demand, and how much of it they take into account by now.
///
/// Load pattern: callers move between hosts while messages are late or a zone is cut off. A rise counts only when the
/// others have made room for it; a fall, once announced, counts at once. Hence the parts that hosts use never sum to
/// more than the whole.
class AnnouncedDemand {
public:
    /// @brief Takes this host's demands in, whole each time.
    /// @param mayRise false: rises could not be confirmed, so none is announced and those that wait are taken back; the
    /// others would keep room for them in vain.
    /// @return what the others are to be told at `now`.
    auto update(const std::vector<BucketDemand>& own, bool mayRise, TimePoint now) -> std::vector<BucketDemand>;

    /// @brief All others know what was announced at `until` or before.
    auto confirm(TimePoint until) -> void;

    /// @return what the others were told last.
    [[nodiscard]] auto told(std::uint64_t bucket) const -> double;

    /// @return what may be counted on; never more than told().
    [[nodiscard]] auto usable(std::uint64_t bucket) const -> double;

private:
    struct Rise {
        double perSecond = 0;
        TimePoint announcedAt;
    };

    struct Entry {
        double told = 0;
        double usable = 0;
        /// Greatest demand of the present span, and when the span ends.
        double peak = 0;
        TimePoint peakUntil {};
        std::deque<Rise> rises;
    };

    static auto rise(Entry& entry, double perSecond, bool mayRise, TimePoint now) -> void;
    static auto fall(Entry& entry, double perSecond, TimePoint now) -> void;

    std::map<std::uint64_t, Entry> entries;
};

} // namespace citronloft
