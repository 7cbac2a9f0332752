/// @file
/// @brief Reads the configuration, targets and evacuated zones that a platform publishes, and the fleet's quarantines.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/log_limiter.hpp"
#include "citronloft/base/metrics.hpp"
#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/fleet/messages.hpp"
#include "citronloft/fleet/object_mirror.hpp"
#include "citronloft/policy/live_target.hpp"

namespace citronloft {

/// @brief A target as one published object describes it.
struct TargetEntry {
    std::string pool;
    LiveTarget live;
    /// Rises with each statement of one run of the target; 0 if the platform does not state it.
    std::uint64_t sequence = 0;
    /// Time for which the target remains cold after decoding; 0 if it is warm.
    std::chrono::milliseconds coldFor {};
};

/// @brief Live targets of each pool.
using DiscoveredTargets = std::map<std::string, std::vector<LiveTarget>>;

/// @brief Decodes a platform's objects into citronloft's types.
class PlatformDecoder {
public:
    virtual ~PlatformDecoder() = default;

    /// @return the kind of the objects that hold the configuration, the targets or the evacuated zones, respectively.
    [[nodiscard]] virtual auto configKind() const -> std::string = 0;
    [[nodiscard]] virtual auto targetKind() const -> std::string = 0;
    [[nodiscard]] virtual auto evacuationKind() const -> std::string = 0;

    /// @return the configuration; NotFound if the object contains none, InvalidArgument with the reason if it is
    /// malformed.
    [[nodiscard]] virtual auto decodeConfig(const MirroredObject& object) const -> absl::StatusOr<ActiveConfig> = 0;

    /// @return the target, or InvalidArgument with the reason.
    [[nodiscard]] virtual auto decodeTarget(const MirroredObject& object) const -> absl::StatusOr<TargetEntry> = 0;
};

/// @brief Callbacks of Discovery; each call passes the complete current state, not a change. All must be set.
struct DiscoveryListener {
    std::function<void(ActiveConfig)> onConfig;
    std::function<void(DiscoveredTargets)> onTargets;
    std::function<void(std::set<std::string>)> onEvacuatedZones;
    /// Names of the objects of `quarantineKind`.
    std::function<void(std::set<std::string>)> onQuarantines;
};

/// @brief Mirrors a platform's objects and reports their decoded contents to a listener.
///
/// A store that was restored from a copy shows targets as they were earlier: as ready though they are leaving, or as
/// present though they are gone. What this host knows of a target's run is replaced only by a later statement of that
/// run, or of a later run.
class Discovery {
public:
    Discovery(const Clock& clock, Metrics& metrics, std::shared_ptr<ObjectFeed> feed,
        std::shared_ptr<const PlatformDecoder> decoder, std::uint64_t seed, DiscoveryListener listener);

    /// @brief Starts calls that are due; call about every 20 ms.
    auto tick(TimePoint now) -> void;

    /// @brief Sets the number of hosts that read the store. More hosts pause longer between calls in a burst, so that
    /// each call returns more events.
    auto setReaderCount(std::size_t hosts) -> void;

    /// @brief Sets whether this host is the one of its zone that renews its watches often, and so soon finds out when
    /// the store does not answer them. Hosts that no longer hear of a reader renew theirs as well, less often the more
    /// hosts there are.
    auto setIsReader(bool isReader) -> void;

    /// @brief Processes the revisions of changes that the reader of the zone has read.
    auto expectRevisions(const std::vector<FeedState>& states, TimePoint now) -> void;

    /// @return the kinds whose copies are up to date, with their revisions; empty while the store is unavailable.
    [[nodiscard]] auto feedStates() const -> std::vector<FeedState>;

    /// @brief Answers a peer that reads this host's copies instead of the store.
    [[nodiscard]] auto serve(const FeedRequest& request) const -> absl::StatusOr<ObjectBatch>;

    /// @return whether the configuration, targets, evacuated zones and quarantines have been read.
    [[nodiscard]] auto isReady() const -> bool;

private:
    /// A decoded object, cached until its revision changes; no entry if it is malformed.
    struct CachedEntry {
        StoreRevision revision;
        std::optional<TargetEntry> entry;
        /// Until then the entry is ignored, as the target was gone before the store was restored.
        TimePoint ignoredUntil {};
    };

    /// A target whose object was removed.
    struct DepartedTarget {
        CachedEntry last;
        TimePoint forgetAt;
    };

    [[nodiscard]] auto watchWait(bool isReader) const -> Duration;
    [[nodiscard]] auto mirrors() const -> std::array<ObjectMirror*, 4>;
    auto updateConfig(const ObjectMirror::Objects& objects) -> void;
    auto updateTargets(const ObjectMirror::Objects& objects) -> void;
    auto updateEvacuatedZones(const ObjectMirror::Objects& objects) -> void;
    auto decode(const MirroredObject& object) -> std::optional<TargetEntry>;
    auto logIgnored(const MirroredObject& object, const absl::Status& reason) -> void;
    auto update(const MirroredObject& object, const std::optional<CachedEntry>& known) -> CachedEntry;
    auto recordDepartures(const ObjectMirror::Objects& objects) -> void;

    const Clock& clock;
    Metrics& metrics;
    std::shared_ptr<const PlatformDecoder> decoder;
    DiscoveryListener listener;
    LogLimiter logLimiter;
    std::shared_ptr<ObjectMirror> configs;
    std::shared_ptr<ObjectMirror> targets;
    std::shared_ptr<ObjectMirror> evacuations;
    std::shared_ptr<ObjectMirror> quarantines;
    std::map<std::string, CachedEntry> entries;
    std::map<std::string, DepartedTarget> departed;
    /// End of the earliest time for which an entry is ignored.
    TimePoint nextTargetUpdateAt = TimePoint::max();
    StoreRevision configRevision;
    /// Number of hosts that read the store.
    std::size_t readerCount = 1;
    /// When the reader of the zone last announced a revision, if ever.
    std::optional<TimePoint> readerHeardAt;
};

} // namespace citronloft
