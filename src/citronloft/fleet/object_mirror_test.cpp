#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "citronloft/fleet/object_mirror.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;

/// @return a revision of the first era of the tests' store, unless another era is given.
auto at(std::uint64_t number, std::uint64_t era = 1) -> StoreRevision { return { era, number }; }

/// Records calls until the test answers them.
class ScriptedFeed final : public ObjectFeed {
public:
    struct Call {
        bool isWatch = false;
        StoreRevision revision;
        std::string after;
        Done done;
        Duration wait {};
    };

    auto list(const std::string&, const std::string& after, Done done) -> void override
    {
        this->calls.push_back({ false, {}, after, std::move(done) });
    }

    auto watch(const std::string&, const StoreRevision& revision, Duration wait, Done done) -> void override
    {
        this->calls.push_back({ true, revision, {}, std::move(done), wait });
    }

    auto answer(absl::StatusOr<ObjectBatch> batch) -> void
    {
        if (this->calls.empty()) {
            ADD_FAILURE() << "no call to answer";
            return;
        }
        const auto call = std::move(this->calls.back());
        this->calls.pop_back();
        call.done(std::move(batch));
    }

    std::vector<Call> calls;
};

class ObjectMirrorTest : public testing::Test {
protected:
    /// Clears unanswered calls: they own the mirror, which owns the feed.
    ~ObjectMirrorTest() override { this->feed->calls.clear(); }

    auto tickFor(Duration time) -> void
    {
        for (auto passed = Duration {}; passed <= time; passed += 10ms) {
            this->mirror->tick(this->clock.now());
            this->clock.advance(10ms);
        }
    }

    auto names() const -> std::vector<std::string>
    {
        auto list = std::vector<std::string> {};
        for (const auto& [name, object] : this->mirror->objects())
            list.push_back(name);
        return list;
    }

    /// Starts the mirror, answers its first list call and starts its first watch.
    auto startWithList(std::vector<MirroredObject> objects, std::uint64_t revision) -> void
    {
        this->tickFor(0ms);
        this->feed->answer(ObjectBatch { std::move(objects), false, at(revision) });
        this->tickFor(0ms);
    }

    ManualClock clock;
    std::shared_ptr<ScriptedFeed> feed = std::make_shared<ScriptedFeed>();
    std::shared_ptr<StoreBackoff> storeBackoff = std::make_shared<StoreBackoff>(StoreBackoffOption {}, 1);
    int changes = 0;
    std::shared_ptr<ObjectMirror> mirror = std::make_shared<ObjectMirror>(
        ObjectMirrorOption { .kind = "targets" }, clock, feed, storeBackoff, [this](const auto&) { ++this->changes; });
};

TEST_F(ObjectMirrorTest, ListIsReadPageByPageAndWatchedFromItsFirstPage)
{
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(3), "", false } }, true, at(7) });
    EXPECT_FALSE(this->mirror->isReady());
    EXPECT_EQ(this->feed->calls.back().after, "a");
    this->feed->answer(ObjectBatch { { { "b", at(9), "", false } }, false, at(9) });
    EXPECT_THAT(this->names(), ElementsAre("a", "b"));
    this->tickFor(0ms);
    EXPECT_TRUE(this->feed->calls.back().isWatch);
    EXPECT_EQ(this->feed->calls.back().revision, at(7));
}

TEST_F(ObjectMirrorTest, IgnoresOlderEventsAndLists)
{
    this->startWithList({ { "a", at(8), "new", false } }, 9);
    this->feed->answer(ObjectBatch { { { "a", at(5), "old", false } }, false, at(9) });
    EXPECT_EQ(this->mirror->objects().at("a").body, "new");
    this->tickFor(200ms);
    this->feed->answer(absl::OutOfRangeError("gone"));
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(4), "older", false } }, false, at(6) });
    EXPECT_EQ(this->mirror->objects().at("a").body, "new");
}

/// Guards against one call per event. Load pattern: many targets start or renew at the same time.
TEST_F(ObjectMirrorTest, FetchesEventsOfLongBurstInFewCalls)
{
    this->startWithList({ { "a", at(1), "", false } }, 1);
    auto watches = 0;
    for (auto revision = std::uint64_t { 2 }; revision < 102; ++revision) {
        this->tickFor(50ms);
        if (this->feed->calls.empty())
            continue;
        ++watches;
        this->feed->answer(ObjectBatch { { { "a", at(revision), "", false } }, false, at(revision) });
    }
    EXPECT_LE(watches, 14) << "in six seconds of events";
    this->tickFor(5s);
    this->feed->answer(ObjectBatch { { { "a", at(200), "", false } }, false, at(200) });
    this->tickFor(200ms);
    EXPECT_EQ(this->feed->calls.size(), 1U) << "first pause after the end of a burst";
}

TEST_F(ObjectMirrorTest, WatchWaitIsShorterThanStoreHistory)
{
    constexpr auto history = 20s;
    this->startWithList({ { "a", at(1), "", false } }, 1);
    EXPECT_LT(this->feed->calls.back().wait, history);
}

/// Guards against hosts that wait for the end of a watch that the store has never answered.
TEST_F(ObjectMirrorTest, OverdueWatchIsFollowedByProbe)
{
    this->startWithList({ { "a", at(1), "", false } }, 1);
    const auto lost = this->feed->calls.back();
    this->tickFor(lost.wait + 300ms);
    EXPECT_EQ(this->feed->calls.size(), 1U);
    this->tickFor(200ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    EXPECT_EQ(this->feed->calls.back().wait, 1ms);
    EXPECT_EQ(this->feed->calls.back().revision, at(1));
    this->feed->answer(ObjectBatch { { { "b", at(4), "", false } }, false, at(4) });
    EXPECT_THAT(this->names(), ElementsAre("a", "b"));
    lost.done(ObjectBatch { { { "a", at(2), "", true } }, false, at(2) });
    EXPECT_THAT(this->names(), ElementsAre("a", "b")) << "the answer of the abandoned watch is out of date";
}

TEST_F(ObjectMirrorTest, WatchThatMissedAChangeIsFollowedByProbe)
{
    this->startWithList({ { "a", at(1), "", false } }, 3);
    this->mirror->expectRevision(at(3), this->clock.now());
    this->tickFor(2s);
    EXPECT_EQ(this->feed->calls.size(), 1U) << "the copy contains the change";
    this->mirror->expectRevision(at(7), this->clock.now());
    this->tickFor(300ms);
    EXPECT_EQ(this->feed->calls.size(), 1U) << "the answer may be on its way";
    this->tickFor(200ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    EXPECT_EQ(this->feed->calls.back().wait, 1ms);
    this->feed->answer(ObjectBatch { { { "b", at(7), "", false } }, false, at(9) });
    this->tickFor(2s);
    EXPECT_EQ(this->feed->calls.size(), 2U) << "the lost watch and one that goes on";
    EXPECT_GT(this->feed->calls.back().wait, 1s);
    EXPECT_EQ(this->feed->calls.back().revision, at(9));
}

TEST_F(ObjectMirrorTest, WatchFromBeforeAnOutageIsFollowedByProbe)
{
    this->startWithList({ { "a", at(1), "", false } }, 1);
    this->storeBackoff->recordFailure(absl::DeadlineExceededError("no response"), this->clock.now());
    this->tickFor(1s);
    EXPECT_EQ(this->feed->calls.size(), 1U) << "another mirror finds out whether the store answers";
    this->storeBackoff->recordSuccess(this->clock.now());
    this->tickFor(50ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    EXPECT_EQ(this->feed->calls.back().wait, 1ms);
}

/// Guards against an outage that is noticed late, since the call that showed it had been abandoned.
TEST_F(ObjectMirrorTest, FailureOfAbandonedWatchShowsOutage)
{
    this->startWithList({ { "a", at(1), "", false } }, 1);
    const auto abandoned = this->feed->calls.back();
    this->tickFor(abandoned.wait + 500ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    abandoned.done(absl::DeadlineExceededError("no response"));
    EXPECT_TRUE(this->storeBackoff->isUnavailable());
    EXPECT_FALSE(this->mirror->currentRevision());
}

/// Guards against a store that counts as unavailable because it answers that its history is gone.
TEST_F(ObjectMirrorTest, LateAnswerOfAbandonedWatchShowsNoOutage)
{
    this->startWithList({ { "a", at(1), "", false } }, 1);
    const auto abandoned = this->feed->calls.back();
    this->tickFor(abandoned.wait + 500ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    abandoned.done(absl::OutOfRangeError("history is gone"));
    EXPECT_FALSE(this->storeBackoff->isUnavailable());
    this->feed->answer(absl::OutOfRangeError("history is gone"));
    this->tickFor(0ms);
    EXPECT_FALSE(this->feed->calls.back().isWatch);
}

/// Guards against a busy host that abandons a watch whose answer it has not read yet, and learns of a change a call
/// later.
TEST_F(ObjectMirrorTest, EventsInLateAnswerOfAbandonedWatchAreApplied)
{
    this->startWithList({ { "a", at(1), "", false }, { "c", at(2), "", false } }, 3);
    this->mirror->expectRevision(at(7), this->clock.now());
    this->tickFor(500ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    const auto abandoned = this->feed->calls.front();
    const auto before = this->changes;
    abandoned.done(ObjectBatch { { { "b", at(6), "", false }, { "c", at(2), "", true } }, false, at(7) });
    EXPECT_EQ(this->changes, before + 1);
    EXPECT_THAT(this->names(), ElementsAre("a", "b"));
    // Its successor was answered earlier and says less.
    this->feed->answer(ObjectBatch { { { "c", at(4), "", false } }, false, at(5) });
    EXPECT_THAT(this->names(), ElementsAre("a", "b"));
    this->tickFor(500ms);
    EXPECT_EQ(this->feed->calls.back().revision, at(7));
}

/// A list that is under way replaces the copy, so that events from before it do not count.
TEST_F(ObjectMirrorTest, LateAnswerOfAbandonedWatchIsIgnoredDuringAList)
{
    this->startWithList({ { "a", at(1), "", false } }, 3);
    const auto abandoned = this->feed->calls.back();
    this->tickFor(abandoned.wait + 500ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    this->feed->answer(absl::OutOfRangeError("history is gone"));
    abandoned.done(ObjectBatch { { { "b", at(6), "", false } }, false, at(7) });
    EXPECT_THAT(this->names(), ElementsAre("a"));
}

/// Guards against a new reader whose own watch is lost: it stays in the dark for as long as it did before.
TEST_F(ObjectMirrorTest, ShorterWaitAppliesToPendingWatch)
{
    this->startWithList({ { "a", at(1), "", false } }, 1);
    this->tickFor(1s);
    this->mirror->setWatchWait(1500ms);
    this->tickFor(800ms);
    EXPECT_EQ(this->feed->calls.size(), 1U);
    this->tickFor(200ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    EXPECT_EQ(this->feed->calls.back().wait, 1ms);
}

/// Guards against calls without end for a revision that the answers do not state.
TEST_F(ObjectMirrorTest, AnswerAfterAnnouncementEndsTheSearchForIt)
{
    this->startWithList({ { "a", at(1), "", false } }, 3);
    this->mirror->expectRevision(at(7), this->clock.now());
    this->tickFor(500ms);
    ASSERT_EQ(this->feed->calls.size(), 2U);
    this->feed->answer(ObjectBatch { {}, false, at(5) });
    this->tickFor(5s);
    EXPECT_EQ(this->feed->calls.size(), 2U) << "the lost watch and one that goes on";
    this->mirror->expectRevision(at(7), this->clock.now());
    this->tickFor(1s);
    EXPECT_EQ(this->feed->calls.size(), 2U);
    this->mirror->expectRevision(at(8), this->clock.now());
    this->tickFor(500ms);
    EXPECT_EQ(this->feed->calls.size(), 3U);
}

/// Guards against a probe that blocks all mirrors after an outage: it waited 30 s for an event of its kind, and no
/// other mirror could call meanwhile. Found by the withdrawal campaign.
TEST_F(ObjectMirrorTest, ProbeAfterOutageDoesNotWaitForEvents)
{
    this->startWithList({ { "a", at(1), "", false } }, 1);
    this->feed->answer(absl::DeadlineExceededError("silent"));
    this->tickFor(300ms);
    ASSERT_EQ(this->feed->calls.size(), 1U);
    EXPECT_LE(this->feed->calls.back().wait, 1ms);
    this->feed->answer(ObjectBatch { {}, false, at(1) });
    this->tickFor(300ms);
    EXPECT_GT(this->feed->calls.back().wait, 1s) << "store is available again";
}

TEST_F(ObjectMirrorTest, LongerPauseFetchesMoreEventsPerCall)
{
    this->mirror->setMaxPause(1200ms);
    this->startWithList({ { "a", at(1), "", false } }, 1);
    auto watches = 0;
    for (auto revision = std::uint64_t { 2 }; revision < 102; ++revision) {
        this->tickFor(50ms);
        if (this->feed->calls.empty())
            continue;
        ++watches;
        this->feed->answer(ObjectBatch { { { "a", at(revision), "", false } }, false, at(revision) });
    }
    EXPECT_LE(watches, 7) << "in six seconds of events";
}

TEST_F(ObjectMirrorTest, RemovesDeletedObjectImmediatelyWhileStoreIsAvailable)
{
    this->startWithList({ { "a", at(1), "", false }, { "b", at(2), "", false } }, 2);
    this->feed->answer(ObjectBatch { { { "a", at(3), "", true } }, false, at(3) });
    EXPECT_THAT(this->names(), ElementsAre("b"));
}

TEST_F(ObjectMirrorTest, KeepsMissingObjectsForGracePeriodAfterOutage)
{
    this->startWithList({ { "a", at(1), "", false }, { "b", at(2), "", false } }, 2);
    this->feed->answer(absl::UnavailableError("down"));
    this->tickFor(300ms);
    // The answer that ends the outage reports both as deleted; then one of them registers again.
    this->feed->answer(ObjectBatch { { { "a", at(3), "", true }, { "b", at(4), "", true } }, false, at(4) });
    EXPECT_THAT(this->names(), ElementsAre("a", "b"));
    this->tickFor(500ms);
    this->feed->answer(ObjectBatch { { { "b", at(5), "", false } }, false, at(5) });
    this->tickFor(1600ms);
    EXPECT_THAT(this->names(), ElementsAre("b"));
}

TEST_F(ObjectMirrorTest, RemovesMissingObjectsWithinWithdrawalBound)
{
    this->startWithList({ { "a", at(1), "", false }, { "b", at(2), "", false } }, 2);
    this->feed->answer(absl::UnavailableError("down"));
    this->tickFor(300ms);
    this->feed->answer(ObjectBatch { { { "a", at(3), "", true }, { "b", at(4), "", true } }, false, at(4) });
    this->tickFor(1100ms);
    EXPECT_EQ(this->names().size(), 2U);
    this->tickFor(200ms);
    EXPECT_EQ(this->names().size(), 0U);
}

TEST_F(ObjectMirrorTest, RemovesSingleMissingObjectImmediatelyAfterOutage)
{
    auto objects = std::vector<MirroredObject> {};
    for (const auto* name : { "a", "b", "c", "d", "e", "f" })
        objects.push_back({ name, at(1), "", false });
    this->startWithList(objects, 2);
    this->feed->answer(absl::DeadlineExceededError("cut off"));
    this->tickFor(300ms);
    this->feed->answer(ObjectBatch { { { "a", at(3), "", true } }, false, at(4) });
    EXPECT_THAT(this->names(), ElementsAre("b", "c", "d", "e", "f"));
}

/// Guards against lists that are discarded as too old after the store was restored from a copy.
TEST_F(ObjectMirrorTest, ListOfNewEraReplacesCopyWithHigherRevision)
{
    this->startWithList({ { "a", at(50), "new", false } }, 51);
    this->feed->answer(absl::OutOfRangeError("restored"));
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(40, 2), "restored", false } }, false, at(50, 2) });
    EXPECT_EQ(this->mirror->objects().at("a").body, "restored");
    this->tickFor(0ms);
    EXPECT_EQ(this->feed->calls.back().revision, at(50, 2));
}

TEST_F(ObjectMirrorTest, ListThatSpansARestoreIsReadAgain)
{
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(3), "lost", false } }, true, at(7) });
    this->feed->answer(ObjectBatch { { { "b", at(2, 2), "", false } }, false, at(5, 2) });
    EXPECT_FALSE(this->mirror->isReady());
    ASSERT_EQ(this->feed->calls.size(), 1U);
    EXPECT_EQ(this->feed->calls.back().after, "");
    this->feed->answer(ObjectBatch { { { "b", at(2, 2), "", false } }, false, at(5, 2) });
    EXPECT_THAT(this->names(), ElementsAre("b"));
}

/// A peer's copy, or an answer that was under way, can be from before a restore.
TEST_F(ObjectMirrorTest, IgnoresEventsAndListsFromBeforeARestore)
{
    this->startWithList({ { "a", at(4, 2), "new", false } }, 5);
    this->feed->answer(absl::OutOfRangeError("restored"));
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(4, 2), "new", false } }, false, at(5, 2) });
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(60), "", true }, { "b", at(61), "", false } }, false, at(61) });
    EXPECT_THAT(this->names(), ElementsAre("a"));
    this->tickFor(200ms);
    this->feed->answer(absl::OutOfRangeError("no history"));
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "b", at(61), "", false } }, false, at(61) });
    EXPECT_THAT(this->names(), ElementsAre("a"));
}

TEST_F(ObjectMirrorTest, EventsOfNewEraLeadToAList)
{
    this->startWithList({ { "a", at(4), "", false } }, 5);
    this->feed->answer(ObjectBatch { { { "b", at(6, 2), "", false } }, false, at(6, 2) });
    EXPECT_THAT(this->names(), ElementsAre("a"));
    this->tickFor(0ms);
    EXPECT_FALSE(this->feed->calls.back().isWatch);
}

TEST_F(ObjectMirrorTest, KeepsObjectsMissingAfterRestoreUntilTheyAreWrittenAgain)
{
    this->startWithList({ { "a", at(1), "", false }, { "b", at(2), "", false }, { "c", at(3), "", false },
                            { "d", at(4), "", false }, { "e", at(5), "", false }, { "f", at(6), "", false } },
        6);
    this->feed->answer(absl::OutOfRangeError("restored"));
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(1, 2), "", false }, { "b", at(2, 2), "", false },
                                         { "c", at(3, 2), "", false }, { "d", at(4, 2), "", false } },
        false, at(4, 2) });
    EXPECT_EQ(this->names().size(), 6U);
    this->tickFor(500ms);
    this->feed->answer(ObjectBatch { { { "e", at(5, 2), "", false } }, false, at(5, 2) });
    this->tickFor(1s);
    EXPECT_THAT(this->names(), ElementsAre("a", "b", "c", "d", "e"));
}

TEST_F(ObjectMirrorTest, PeersThatKnowAnEarlierEraMustList)
{
    this->startWithList({ { "a", at(50), "", false } }, 50);
    this->feed->answer(absl::OutOfRangeError("restored"));
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", at(40, 2), "", false } }, false, at(41, 2) });
    EXPECT_TRUE(absl::IsOutOfRange(this->mirror->changesAfter(at(50)).status()));
    EXPECT_TRUE(absl::IsUnavailable(this->mirror->changesAfter(at(3, 3)).status()));
    EXPECT_EQ(this->mirror->changesAfter({})->objects.size(), 1U);
}

/// Guards against a pause that grows with the number of kinds that are mirrored.
TEST_F(ObjectMirrorTest, CallsThatFailTogetherCountAsOneFailure)
{
    const auto start = this->clock.now();
    EXPECT_TRUE(this->storeBackoff->recordFailure(absl::UnavailableError("down"), start));
    for (auto call = 0; call < 5; ++call)
        EXPECT_FALSE(this->storeBackoff->recordFailure(absl::UnavailableError("down"), start));
    EXPECT_TRUE(this->storeBackoff->tryStart(start + StoreBackoffOption {}.minBackoff));
}

TEST_F(ObjectMirrorTest, RetriesFailuresWithBackoff)
{
    auto calls = 0;
    for (auto passed = 0ms; passed < 10s; passed += 10ms) {
        this->mirror->tick(this->clock.now());
        this->clock.advance(10ms);
        if (this->feed->calls.empty())
            continue;
        ++calls;
        this->feed->answer(absl::UnavailableError("down"));
    }
    EXPECT_GT(calls, 5);
    EXPECT_LT(calls, 20);
}

} // namespace
} // namespace citronloft
