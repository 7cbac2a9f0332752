/// @file
/// @brief One host of a zone reads the store; the others follow its copy.
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

    /// @brief Asks a peer; `done` gets OutOfRange if the peer has no history so far back.
    virtual auto fetchFeed(const Address& peer, const FeedRequest& request, Done done) -> void = 0;
};

/// @brief Limits of following a reader.
struct ZoneFeedOption {
    /// Interval of a reader's notices.
    Duration noticeInterval = std::chrono::milliseconds { 250 };
    /// Silence after which a reader is not relied on: three lost notices. With the call to the store that follows, it
    /// is less than half of the tightest bound on withdrawals (2.5 s).
    Duration readerSilence = std::chrono::milliseconds { 800 };
    /// Wait of the first watch at the store after a reader: the shortest that a store can be asked for.
    Duration probeWait = std::chrono::milliseconds { 1 };
};

/// @brief A feed that asks the zone's reader first and the store itself when there is none.
///
/// Load pattern: hundreds of hosts that all watch the same few kinds, in a store that counts each call. A reader tells
/// its zone by notices which revision its copy of each kind has. A watch waits for a notice of a newer revision and
/// then fetches the changes from the reader. Notices stop, or name no kind, when the reader loses the store; every
/// watch that waits then goes to the store.
class ZoneFeed final : public ObjectFeed, public std::enable_shared_from_this<ZoneFeed> {
public:
    ZoneFeed(ZoneFeedOption option, const Clock& clock, std::shared_ptr<ObjectFeed> store,
        std::shared_ptr<FeedFetcher> peers);

    auto list(const std::string& kind, const std::string& after, Done done) -> void override;
    auto watch(const std::string& kind, std::uint64_t revision, Duration wait, Done done) -> void override;

    /// @brief Ends waits that are over; to be called every 20 ms or so.
    /// @param isReader whether this host reads the store for its zone.
    auto tick(bool isReader, TimePoint now) -> void;

    /// @brief Takes in a reader's notice.
    auto noteReader(const Address& from, const FeedNotice& notice, TimePoint now) -> void;

    /// @return the notice that is due, if this host is the reader.
    /// @param states the kinds whose copies are up to date.
    auto takeNotice(std::vector<FeedState> states, TimePoint now) -> std::optional<FeedNotice>;

private:
    /// A watch that waits for the reader's next revision.
    struct Waiting {
        std::string kind;
        std::uint64_t revision = 0;
        TimePoint until;
        Done done;
        /// It has waited for a reader.
        bool hasFollowed = false;
    };

    [[nodiscard]] auto readerRevision(const std::string& kind, TimePoint now) const -> std::optional<std::uint64_t>;
    auto proceed(Waiting& waiting, TimePoint now) -> bool;
    auto fetch(const std::string& kind, std::uint64_t revision, Done done) -> void;

    ZoneFeedOption option;
    const Clock& clock;
    std::shared_ptr<ObjectFeed> store;
    std::shared_ptr<FeedFetcher> peers;
    bool isReader = true;
    std::list<Waiting> waiting;
    /// The reader that was heard last, and its revisions by kind.
    Address reader;
    TimePoint readerHeardAt {};
    std::map<std::uint64_t, std::uint64_t> readerRevisions;
    std::vector<FeedState> told;
    TimePoint nextNoticeAt {};
};

} // namespace citronloft
