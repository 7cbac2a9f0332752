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
    this->peers->fetchFeed(this->reader, { kind, 0 },
        [self = this->shared_from_this(), kind, done = std::move(done)](absl::StatusOr<ObjectBatch> batch) mutable {
            if (batch.ok())
                done(std::move(batch));
            else
                self->store->list(kind, {}, std::move(done));
        });
}

auto ZoneFeed::watch(const std::string& kind, std::uint64_t revision, Duration wait, Done done) -> void
{
    const auto now = this->clock.now();
    auto item = Waiting { kind, revision, now + wait, std::move(done) };
    if (!this->proceed(item, now))
        this->waiting.push_back(std::move(item));
}

auto ZoneFeed::tick(bool readsStore, TimePoint now) -> void
{
    this->isReader = readsStore;
    auto due = std::list<Waiting> {};
    due.swap(this->waiting);
    while (!due.empty()) {
        auto item = std::move(due.front());
        due.pop_front();
        if (!this->proceed(item, now))
            this->waiting.push_back(std::move(item));
    }
}

/// @return whether the watch waits no longer here.
auto ZoneFeed::proceed(Waiting& item, TimePoint now) -> bool
{
    const auto known = this->readerRevision(item.kind, now);
    if (!known) {
        // What made the reader fall silent may have dropped the store's history: the first call finds that out.
        const auto wait = item.hasFollowed ? this->option.probeWait : item.until - now;
        this->store->watch(item.kind, item.revision, wait, item.done);
        return true;
    }
    if (*known > item.revision) {
        this->fetch(item.kind, item.revision, item.done);
        return true;
    }
    item.hasFollowed = true;
    if (now < item.until)
        return false;
    item.done(ObjectBatch { {}, false, item.revision, true });
    return true;
}

/// The reader's history may be shorter than the store's, so the store decides whether a list is needed.
auto ZoneFeed::fetch(const std::string& kind, std::uint64_t revision, Done done) -> void
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

auto ZoneFeed::readerRevision(const std::string& kind, TimePoint now) const -> std::optional<std::uint64_t>
{
    if (this->isReader || now - this->readerHeardAt >= this->option.readerSilence)
        return std::nullopt;
    const auto found = this->readerRevisions.find(bucketId(kind));
    return found == this->readerRevisions.end() ? std::nullopt : std::optional { found->second };
}

auto ZoneFeed::noteReader(const Address& from, const FeedNotice& notice, TimePoint now) -> void
{
    this->reader = from;
    this->readerHeardAt = now;
    this->readerRevisions.clear();
    for (const auto& state : notice.states)
        this->readerRevisions[state.kind] = state.revision;
    this->tick(this->isReader, now);
}

auto ZoneFeed::takeNotice(std::vector<FeedState> states, TimePoint now) -> std::optional<FeedNotice>
{
    if (!this->isReader || (states == this->told && now < this->nextNoticeAt))
        return std::nullopt;
    this->nextNoticeAt = now + this->option.noticeInterval;
    this->told = std::move(states);
    auto notice = FeedNotice {};
    notice.states = this->told;
    return notice;
}

} // namespace citronloft
