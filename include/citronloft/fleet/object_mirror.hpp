/// @file
/// @brief Copy of all objects of one kind, kept up to date by watches.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/store_backoff.hpp"
#include "citronloft/fleet/store_revision.hpp"

namespace citronloft {

/// @brief An object of the store; the body is decoded elsewhere.
struct MirroredObject {
    std::string name;
    StoreRevision revision;
    std::string body;
    /// In events: the object was deleted.
    bool isDeleted = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->name, this->revision, this->body, this->isDeleted);
    }
};

/// @brief Objects or events, and the store revision that they lead to.
struct ObjectBatch {
    std::vector<MirroredObject> objects;
    /// Lists only: there are more objects after the last one.
    bool hasMore = false;
    StoreRevision revision;
    /// Read from a peer's copy, so that the next call can follow without a pause.
    bool isRelayed = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->objects, this->hasMore, this->revision, this->isRelayed);
    }
};

/// @brief Reads a store through lists and watches.
///
/// Errors: OutOfRange (the store no longer has the history that a watch needs, or was restored from a copy since),
/// Unavailable, DeadlineExceeded.
class ObjectFeed {
public:
    using Done = std::function<void(absl::StatusOr<ObjectBatch>)>;

    virtual ~ObjectFeed() = default;

    /// @brief Lists objects ordered by name, starting after the name `after`.
    virtual auto list(const std::string& kind, const std::string& after, Done done) -> void = 0;

    /// @brief Answers with the events after `revision`, or without events once `wait` has passed.
    virtual auto watch(const std::string& kind, const StoreRevision& revision, Duration wait, Done done) -> void = 0;
};

/// @brief Settings of a mirror.
struct ObjectMirrorOption {
    std::string kind;
    /// Maximum wait of a watch. The store counts every watch as a call, but a watch that outlasts the store's history
    /// (20 s on the platform) ends without a revision to continue from and requires a full list.
    Duration watchWait = std::chrono::seconds { 18 };
    /// Wait of a watch that finds out whether the store answers; the shortest wait that a store accepts.
    Duration probeWait = std::chrono::milliseconds { 1 };
    /// Time after the end of its wait at which a watch counts as lost. A slow store takes some hundred milliseconds.
    Duration overdueTime = std::chrono::milliseconds { 400 };
    /// Time after which a watch counts as lost that has not returned a change that another host has read.
    Duration catchUpTime = std::chrono::milliseconds { 400 };
    /// Initial pause between two watches, so that one call returns several events of a burst.
    Duration pause = std::chrono::milliseconds { 150 };
    /// Maximum pause between two watches; the pause doubles up to it during a burst. It adds about half a second to the
    /// initial pause, little compared with the 2.5 s in which a leaving target must be out of use.
    Duration maxPause = std::chrono::milliseconds { 600 };
    /// A watch that takes at least this long ends a burst.
    Duration burstEndWait = std::chrono::milliseconds { 2000 };
    /// Time after an outage of the store for which missing objects are kept if they are many, or if the store returned
    /// from a copy: their owners may not have written them again yet. Owners do so within two seconds of the store's
    /// return, which this host notices about 0.6 s late; a target that has left in the meantime must be out of use 2.5
    /// s after that.
    Duration outageGrace = std::chrono::milliseconds { 1200 };
    /// Maximum fraction of missing objects that are removed immediately after an outage, since the remaining ones can
    /// do their work.
    double immediateRemovalFraction = 0.2;
};

/// @brief Mirrors the objects of one kind. The revision never decreases; lists older than the copy are discarded. When
/// the store has been restored from a copy, the objects are listed again.
///
/// A store can take a watch and never answer it, for example while it hangs. Such a watch is abandoned, and another one
/// started, when it is overdue, when another host has read a change that it should have returned, or when the store has
/// been unavailable since it was started.
class ObjectMirror : public std::enable_shared_from_this<ObjectMirror> {
public:
    using Objects = std::map<std::string, MirroredObject>;
    using ChangedCallback = std::function<void(const Objects&)>;

    ObjectMirror(ObjectMirrorOption option, const Clock& clock, std::shared_ptr<ObjectFeed> feed,
        std::shared_ptr<StoreBackoff> storeBackoff, ChangedCallback onChanged);

    /// @brief Starts calls that are due and removes objects whose grace period has ended; call about every 20 ms.
    auto tick(TimePoint now) -> void;

    /// @brief Sets the maximum pause between two watches in a burst.
    auto setMaxPause(Duration pause) -> void { this->option.maxPause = pause; }

    /// @brief Sets the wait of the following watches. A pending watch counts as lost as if it had been started with it.
    auto setWatchWait(Duration wait) -> void;

    /// @brief Processes the revision of a change that another host has read.
    auto expectRevision(const StoreRevision& expected, TimePoint now) -> void;

    /// @return whether a complete list has been read.
    [[nodiscard]] auto isReady() const -> bool { return this->isListed; }

    [[nodiscard]] auto kind() const -> const std::string& { return this->option.kind; }

    [[nodiscard]] auto objects() const -> const Objects& { return this->mirrored; }

    /// @return the revision up to which the copy contains all changes; nothing before the first list, while a new list
    /// is needed, or while the store is unavailable.
    [[nodiscard]] auto currentRevision() const -> std::optional<StoreRevision>;

    /// @return a revision that is not lower than that of the last change in the copy.
    [[nodiscard]] auto changeRevision() const -> const StoreRevision& { return this->lastChangeRevision; }

    /// @return the changes after a revision, or all objects if it is the default; OutOfRange if the revision precedes
    /// this copy's history, Unavailable if the copy is not up to date.
    [[nodiscard]] auto changesAfter(const StoreRevision& since) const -> absl::StatusOr<ObjectBatch>;

private:
    auto startList(const std::string& after) -> void;
    auto requestList(TimePoint now) -> void;
    auto updatePause(bool hasEvents, TimePoint now) -> void;
    auto startWatch() -> void;
    [[nodiscard]] auto isBehind() const -> bool;
    [[nodiscard]] auto lossReason(TimePoint now) const -> std::string_view;
    auto abandonLostWatch(TimePoint now) -> void;
    auto finishWatch(std::uint64_t number, absl::StatusOr<ObjectBatch> batch) -> void;
    auto processList(absl::StatusOr<ObjectBatch> batch) -> void;
    auto processEvents(absl::StatusOr<ObjectBatch> batch) -> void;
    auto processLateEvents(ObjectBatch batch) -> void;
    auto applyEvents(ObjectBatch batch, TimePoint now) -> bool;
    auto finishList() -> void;
    auto removeOrRetain(const std::vector<std::string>& names, bool isRestored, TimePoint now) -> bool;
    [[nodiscard]] auto retentionEnd(std::size_t count, bool isRestored, TimePoint now) const
        -> std::optional<TimePoint>;
    auto recordSuccess() -> void;
    auto recordChange(const std::string& name, bool isDeleted, const StoreRevision& learnedAtRevision) -> void;
    auto recordFailure(const absl::Status& status) -> void;

    ObjectMirrorOption option;
    const Clock& clock;
    std::shared_ptr<ObjectFeed> feed;
    std::shared_ptr<StoreBackoff> storeBackoff;
    ChangedCallback onChanged;
    Objects mirrored;
    /// Objects of the list that is currently being read.
    Objects listed;
    /// Missing objects that are kept for the grace period, with its end.
    std::map<std::string, TimePoint> retainedUntil;
    StoreRevision revision;
    StoreRevision listRevision;
    /// The last change of an object; `learnedAtRevision` is the store revision at which this host learned of it.
    struct Change {
        StoreRevision learnedAtRevision;
        bool isDeleted = false;
    };
    std::map<std::string, Change> lastChanges;
    /// `lastChanges` contains every change after this revision.
    StoreRevision historyStart;
    bool isListed = false;
    bool needsList = true;
    /// When this mirror learned that it needs a list.
    TimePoint listNeededAt {};
    bool isCallPending = false;
    /// Number of the pending call; the results of earlier calls are ignored.
    std::uint64_t callNumber = 0;
    TimePoint callStartedAt {};
    /// When the pending call counts as lost; never, if it ends by itself soon.
    TimePoint callOverdueAt = TimePoint::max();
    /// Whether the last watch was lost, so that the next one finds out whether the store answers.
    bool needsProbe = false;
    /// Highest revision of a change in the copy, and of one that another host has read.
    StoreRevision lastChangeRevision;
    StoreRevision expectedRevision;
    TimePoint expectedAt {};
    /// `expectedRevision`, once a call that started after it was announced has returned all changes.
    StoreRevision reachedRevision;
    /// When the pending watch counts as lost unless the copy has reached `expectedRevision`.
    TimePoint catchUpBy = TimePoint::max();
    TimePoint nextCallAt {};
    /// Pause after the current watch.
    Duration nextPause {};
};

} // namespace citronloft
