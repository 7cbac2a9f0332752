/// @file
/// @brief Lets one host of a zone, the reader, read the store while the others follow its copy.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "citronloft/base/address.hpp"
#include "citronloft/fleet/messages.hpp"
#include "citronloft/fleet/object_mirror.hpp"

namespace citronloft {

/// @brief Reads a peer's copy of the store's objects.
class FeedFetcher {
public:
    using Done = ObjectFeed::Done;

    virtual ~FeedFetcher() = default;

    /// @brief Requests changes from a peer; `done` receives OutOfRange if they precede the peer's history.
    virtual auto fetchFeed(const Address& peer, const FeedRequest& request, Done done) -> void = 0;
};

/// @brief Intervals and time-outs of a ZoneFeed.
struct ZoneFeedOption {
    /// Maximum interval between two notices of a reader; a change is announced at once.
    Duration noticeInterval = std::chrono::milliseconds { 250 };
    /// Time without a notice after which the reader is no longer relied on; three lost notices. Together with the store
    /// call that follows, it takes less than half of the shortest bound on withdrawals (2.5 s).
    Duration readerTimeout = std::chrono::milliseconds { 800 };
    /// Wait of the first watch on the store after a reader has failed; the shortest wait that a store accepts.
    Duration probeWait = std::chrono::milliseconds { 1 };
};

/// @brief A feed that reads from the zone's reader, and from the store if there is none.
///
/// Load pattern: hundreds of hosts watch the same few kinds in a store that counts every call. The reader sends notices
/// to its zone with the revision of its copy of each kind. A watch waits for a notice of a newer revision and then
/// fetches the changes from the reader. When the reader loses the store, its notices stop or contain no kinds; every
/// pending watch is then sent to the store.
class ZoneFeed final : public ObjectFeed, public std::enable_shared_from_this<ZoneFeed> {
public:
    ZoneFeed(ZoneFeedOption option, const Clock& clock, std::shared_ptr<ObjectFeed> store,
        std::shared_ptr<FeedFetcher> peers);

    auto list(const std::string& kind, const std::string& after, Done done) -> void override;
    auto watch(const std::string& kind, const StoreRevision& revision, Duration wait, Done done) -> void override;

    /// @brief Completes watches that have waited long enough; call about every 20 ms.
    /// @param isReader whether this host reads the store for its zone.
    auto tick(bool isReader, TimePoint now) -> void;

    /// @brief Processes a reader's notice.
    auto processNotice(const Address& sender, const FeedNotice& notice, TimePoint now) -> void;

    /// @return a notice if this host is the reader and one is due or `states` have changed.
    /// @param states the kinds whose copies are up to date, with their revisions.
    auto takeDueNotice(std::vector<FeedState> states, TimePoint now) -> std::optional<FeedNotice>;

private:
    /// A watch that waits for a newer revision of the reader's copy.
    struct PendingWatch {
        std::string kind;
        StoreRevision revision;
        TimePoint deadline;
        Done done;
        /// Whether the watch has waited for a reader.
        bool hasWaitedForReader = false;
    };

    [[nodiscard]] auto readerRevision(const std::string& kind, TimePoint now) const -> std::optional<StoreRevision>;
    auto tryComplete(PendingWatch& pendingWatch, TimePoint now) -> bool;
    auto fetchFromReader(const std::string& kind, const StoreRevision& revision, Done done) -> void;

    ZoneFeedOption option;
    const Clock& clock;
    std::shared_ptr<ObjectFeed> store;
    std::shared_ptr<FeedFetcher> peers;
    bool isReader = true;
    std::list<PendingWatch> pendingWatches;
    /// Sender of the last notice, and the notice's revisions by kind.
    Address reader;
    TimePoint lastNoticeAt {};
    std::map<std::uint64_t, StoreRevision> readerRevisions;
    std::vector<FeedState> announcedStates;
    TimePoint nextNoticeAt {};
};

} // namespace citronloft
