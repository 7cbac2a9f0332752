/// @file
/// @brief A copy of all objects of one kind, kept up to date by a watch.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/store_link.hpp"

namespace citronloft {

/// @brief An object as the store shows it; the body is for a decoder.
struct MirroredObject {
    std::string name;
    std::uint64_t revision = 0;
    std::string body;
    /// In events: the object is gone.
    bool isDeleted = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->name, this->revision, this->body, this->isDeleted);
    }
};

/// @brief Objects or events, and the store's revision that they stand for.
struct ObjectBatch {
    std::vector<MirroredObject> objects;
    /// Lists only: further objects follow the last one.
    bool hasMore = false;
    std::uint64_t revision = 0;
    /// Read from a peer's copy: the next call costs the store nothing.
    bool isRelayed = false;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->objects, this->hasMore, this->revision, this->isRelayed);
    }
};

/// @brief Reads of a store with lists and watches.
///
/// Status of a call: OutOfRange (the history that a watch asked for is gone), Unavailable, DeadlineExceeded.
class ObjectFeed {
public:
    using Done = std::function<void(absl::StatusOr<ObjectBatch>)>;

    virtual ~ObjectFeed() = default;

    /// @brief Lists objects in the order of their names, from the one behind `after` on.
    virtual auto list(const std::string& kind, const std::string& after, Done done) -> void = 0;

    /// @brief Answers with the events after `revision`, without events when `wait` has passed.
    virtual auto watch(const std::string& kind, std::uint64_t revision, Duration wait, Done done) -> void = 0;
};

/// @brief Intervals of a mirror.
struct ObjectMirrorOption {
    std::string kind;
    /// Time that a watch may wait. Every watch is a counted call, but a watch that waits past the history that the
    /// store keeps (20 s on the users' platform) ends without a revision to go on from and costs a whole list.
    Duration watchWait = std::chrono::seconds { 18 };
    /// The same while the store is away: the shortest time that a store can be asked to wait.
    Duration probeWait = std::chrono::milliseconds { 1 };
    /// Pause between two watches, so that the events of a burst arrive in one call.
    Duration pause = std::chrono::milliseconds { 150 };
    /// The pause doubles up to this while events keep coming: half a second more than the first of a burst is little
    /// against the 2.5 s in which a leaving target must be out of use.
    Duration greatestPause = std::chrono::milliseconds { 600 };
    /// A watch that waited for so long ends a burst.
    Duration quietTime = std::chrono::milliseconds { 2000 };
    /// After the store was away, objects that are missing are kept for so long if they are many: their owners may not
    /// have written yet. Few missing ones are believed at once, since the others can do their work. Owners are back
    /// within two seconds of the store's return, which this host notices some 0.6 s late; a target that has left
    /// meanwhile must be out of use 2.5 s after that.
    Duration returnGrace = std::chrono::milliseconds { 1200 };
    double fewMissing = 0.2;
};

/// @brief Mirrors one kind. Revisions never fall; a list that is older than what is known is not believed.
class ObjectMirror : public std::enable_shared_from_this<ObjectMirror> {
public:
    using Objects = std::map<std::string, MirroredObject>;
    using Changed = std::function<void(const Objects&)>;

    ObjectMirror(ObjectMirrorOption option, const Clock& clock, std::shared_ptr<ObjectFeed> feed,
        std::shared_ptr<StoreLink> link, Changed changed);

    /// @brief Starts calls that are due and drops objects whose time has come; to be called every 20 ms or so.
    auto tick(TimePoint now) -> void;

    /// @brief Changes how long the pause grows in a burst.
    auto setGreatestPause(Duration pause) -> void { this->option.greatestPause = pause; }

    /// @return whether a whole list has been read.
    [[nodiscard]] auto isReady() const -> bool { return this->isListed; }

    [[nodiscard]] auto kind() const -> const std::string& { return this->option.kind; }

    [[nodiscard]] auto objects() const -> const Objects& { return this->known; }

    /// @return the revision up to which all changes are known; nothing before the first list or while the store is
    /// away.
    [[nodiscard]] auto currentRevision() const -> std::optional<std::uint64_t>;

    /// @return what has changed after a revision, or all objects if that is 0; OutOfRange if this copy has no history
    /// so far back, Unavailable if it is not up to date.
    [[nodiscard]] auto changesAfter(std::uint64_t since) const -> absl::StatusOr<ObjectBatch>;

private:
    auto startList(const std::string& after) -> void;
    auto lengthenPause(TimePoint now) -> void;
    auto startWatch() -> void;
    auto takeList(absl::StatusOr<ObjectBatch> batch) -> void;
    auto takeEvents(absl::StatusOr<ObjectBatch> batch) -> void;
    auto finishList(std::uint64_t listRevision) -> void;
    auto removeOrKeep(const std::vector<std::string>& names, TimePoint now) -> bool;
    auto noteAnswer() -> void;
    auto noteChange(const std::string& name, bool isDeleted, std::uint64_t at) -> void;
    auto noteFailure(const absl::Status& status) -> void;

    ObjectMirrorOption option;
    const Clock& clock;
    std::shared_ptr<ObjectFeed> feed;
    std::shared_ptr<StoreLink> link;
    Changed changed;
    Objects known;
    /// Objects of the list that is being read.
    Objects reading;
    /// Missing objects that are kept until then.
    std::map<std::string, TimePoint> keptUntil;
    std::uint64_t revision = 0;
    std::uint64_t listRevision = 0;
    /// When an object last changed, as the store's revision at which this host learned of it.
    struct Change {
        std::uint64_t at = 0;
        bool isDeleted = false;
    };
    std::map<std::string, Change> changes;
    /// Changes after this revision are all known.
    std::uint64_t historyFrom = 0;
    bool isListed = false;
    bool mustList = true;
    bool isCalling = false;
    TimePoint nextCallAt {};
    /// When the present watch began, and the pause behind it.
    TimePoint watchedAt {};
    Duration nextPause {};
};

} // namespace citronloft
