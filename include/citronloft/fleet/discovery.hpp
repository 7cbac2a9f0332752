/// @file
/// @brief Configuration, targets and evacuated zones as a platform publishes them.
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

#include "citronloft/base/counters.hpp"
#include "citronloft/fleet/config_follower.hpp"
#include "citronloft/fleet/messages.hpp"
#include "citronloft/fleet/object_mirror.hpp"
#include "citronloft/policy/live_target.hpp"

namespace citronloft {

/// @brief What one published entry says of a target.
struct TargetEntry {
    std::string pool;
    LiveTarget live;
    /// Time for which the target stays cold from now on; 0: it is warm.
    std::chrono::milliseconds coldFor {};
};

/// @brief Live targets of each pool.
using DiscoveredTargets = std::map<std::string, std::vector<LiveTarget>>;

/// @brief Turns a platform's objects into the project's types.
class PlatformDecoder {
public:
    virtual ~PlatformDecoder() = default;

    /// @return kind of the objects that hold the configuration, the targets and the evacuated zones.
    [[nodiscard]] virtual auto configKind() const -> std::string = 0;
    [[nodiscard]] virtual auto targetKind() const -> std::string = 0;
    [[nodiscard]] virtual auto evacuationKind() const -> std::string = 0;

    /// @return the configuration; NotFound if the object holds none, InvalidArgument with the reason if it is
    /// malformed.
    [[nodiscard]] virtual auto decodeConfig(const MirroredObject& object) const -> absl::StatusOr<ActiveConfig> = 0;

    /// @return the target, or InvalidArgument with the reason.
    [[nodiscard]] virtual auto decodeTarget(const MirroredObject& object) const -> absl::StatusOr<TargetEntry> = 0;
};

/// @brief What discovery reports; every function is called with the whole of its matter.
struct DiscoveryListener {
    std::function<void(ActiveConfig)> onConfig;
    std::function<void(DiscoveredTargets)> onTargets;
    std::function<void(std::set<std::string>)> onEvacuatedZones;
};

/// @brief Follows a platform's objects.
class Discovery {
public:
    Discovery(const Clock& clock, Metrics& metrics, std::shared_ptr<ObjectFeed> feed,
        std::shared_ptr<const PlatformDecoder> decoder, std::uint64_t seed, DiscoveryListener listener);

    /// @brief Runs all that is due; to be called every 20 ms or so.
    auto tick(TimePoint now) -> void;

    /// @brief Sets how many hosts read the store: the more there are, the more events each call takes in.
    auto setReaders(std::size_t hosts) -> void;

    /// @return the kinds whose copies are up to date; empty while the store is away.
    [[nodiscard]] auto feedStates() const -> std::vector<FeedState>;

    /// @brief Answers a peer that follows this host's copies.
    [[nodiscard]] auto serve(const FeedRequest& request) const -> absl::StatusOr<ObjectBatch>;

    /// @return whether configuration, targets and evacuated zones have been read.
    [[nodiscard]] auto isReady() const -> bool;

private:
    /// A decoded entry, kept until the object changes.
    struct Known {
        std::uint64_t revision = 0;
        std::optional<TargetEntry> entry;
    };

    [[nodiscard]] auto mirrors() const -> std::array<const ObjectMirror*, 3>;
    auto takeConfig(const ObjectMirror::Objects& objects) -> void;
    auto takeTargets(const ObjectMirror::Objects& objects) -> void;
    auto takeEvacuations(const ObjectMirror::Objects& objects) -> void;
    auto decode(const MirroredObject& object) -> std::optional<TargetEntry>;

    const Clock& clock;
    Metrics& metrics;
    std::shared_ptr<const PlatformDecoder> decoder;
    DiscoveryListener listener;
    std::shared_ptr<ObjectMirror> configs;
    std::shared_ptr<ObjectMirror> targets;
    std::shared_ptr<ObjectMirror> evacuations;
    std::map<std::string, Known> entries;
    std::uint64_t configRevision = 0;
};

} // namespace citronloft
