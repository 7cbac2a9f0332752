#include "citronloft/fleet/zone_feed.hpp"

#include <utility>

#include "citronloft/base/log.hpp"
#include "citronloft/policy/shares.hpp"

namespace citronloft {

ZoneFeed::ZoneFeed(
    ZoneFeedOption option, const Clock& clock, std::shared_ptr<ObjectFeed> store, std::shared_ptr<FeedFetcher> peers)
    : option(option)
    , clock(clock)
    , store(std::move(store))
    , peers(std::move(peers))
{
}

auto ZoneFeed::list(const std::string& kind, const std::string& after, Done done) -> void
{
    if (!after.empty() || !this->readerRevision(kind, this->clock.now())) {
        this->store->list(kind, after, std::move(done));
        return;
    }
    this->peers->fetchFeed(this->reader, { kind, {} },
        [self = this->shared_from_this(), kind, done = std::move(done)](absl::StatusOr<ObjectBatch> batch) mutable {
            if (batch.ok())
                done(std::move(batch));
            else
                self->store->list(kind, {}, std::move(done));
        });
}

auto ZoneFeed::watch(const std::string& kind, const StoreRevision& revision, Duration wait, Done done) -> void
{
    const auto now = this->clock.now();
    auto pendingWatch = PendingWatch { kind, revision, now + wait, std::move(done) };
    if (!this->tryComplete(pendingWatch, now))
        this->pendingWatches.push_back(std::move(pendingWatch));
}

auto ZoneFeed::tick(bool isZoneReader, TimePoint now) -> void
{
    this->isReader = isZoneReader;
    auto due = std::list<PendingWatch> {};
    due.swap(this->pendingWatches);
    while (!due.empty()) {
        auto pendingWatch = std::move(due.front());
        due.pop_front();
        if (!this->tryComplete(pendingWatch, now))
            this->pendingWatches.push_back(std::move(pendingWatch));
    }
}

/// @return whether the watch is no longer pending: it was answered or passed on.
auto ZoneFeed::tryComplete(PendingWatch& pendingWatch, TimePoint now) -> bool
{
    const auto readerCopyRevision = this->readerRevision(pendingWatch.kind, now);
    if (!readerCopyRevision) {
        // The fault that stopped the reader may also have dropped the store's history; a call without wait detects it.
        const auto wait = pendingWatch.hasWaitedForReader ? this->option.probeWait : pendingWatch.deadline - now;
        this->store->watch(pendingWatch.kind, pendingWatch.revision, wait, pendingWatch.done);
        return true;
    }
    if (*readerCopyRevision > pendingWatch.revision) {
        this->fetchFromReader(pendingWatch.kind, pendingWatch.revision, pendingWatch.done);
        return true;
    }
    pendingWatch.hasWaitedForReader = true;
    if (now < pendingWatch.deadline)
        return false;
    pendingWatch.done(ObjectBatch { {}, false, pendingWatch.revision, true });
    return true;
}

/// Fetches changes from the reader, or from the store if the reader fails: the reader's history may be shorter than the
/// store's, so only the store decides whether a list is needed.
auto ZoneFeed::fetchFromReader(const std::string& kind, const StoreRevision& revision, Done done) -> void
{
    this->peers->fetchFeed(this->reader, { kind, revision },
        [self = this->shared_from_this(), kind, revision, done = std::move(done)](
            absl::StatusOr<ObjectBatch> batch) mutable {
            if (batch.ok()) {
                done(std::move(batch));
                return;
            }
            LogEvent(LogLevel::Info, "reader-failed").with("kind", kind).with("reason", batch.status().ToString());
            self->store->watch(kind, revision, self->option.probeWait, std::move(done));
        });
}

auto ZoneFeed::readerRevision(const std::string& kind, TimePoint now) const -> std::optional<StoreRevision>
{
    if (this->isReader || now - this->lastNoticeAt >= this->option.readerTimeout)
        return std::nullopt;
    const auto found = this->readerRevisions.find(bucketId(kind));
    return found == this->readerRevisions.end() ? std::nullopt : std::optional { found->second };
}

auto ZoneFeed::processNotice(const Address& sender, const FeedNotice& notice, TimePoint now) -> void
{
    this->reader = sender;
    this->lastNoticeAt = now;
    this->readerRevisions.clear();
    for (const auto& state : notice.states)
        this->readerRevisions[state.kind] = state.revision;
    this->tick(this->isReader, now);
}

auto ZoneFeed::takeDueNotice(std::vector<FeedState> states, TimePoint now) -> std::optional<FeedNotice>
{
    if (!this->isReader || (states == this->announcedStates && now < this->nextNoticeAt))
        return std::nullopt;
    this->nextNoticeAt = now + this->option.noticeInterval;
    this->announcedStates = std::move(states);
    auto notice = FeedNotice {};
    notice.states = this->announcedStates;
    return notice;
}

} // namespace citronloft
