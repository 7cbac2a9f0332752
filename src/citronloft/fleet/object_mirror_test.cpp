#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "citronloft/fleet/object_mirror.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;

/// Records calls until the test answers them.
class ScriptedFeed final : public ObjectFeed {
public:
    struct Call {
        bool isWatch = false;
        std::uint64_t revision = 0;
        std::string after;
        Done done;
        Duration wait {};
    };

    auto list(const std::string&, const std::string& after, Done done) -> void override
    {
        this->calls.push_back({ false, 0, after, std::move(done) });
    }

    auto watch(const std::string&, std::uint64_t revision, Duration wait, Done done) -> void override
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
        this->feed->answer(ObjectBatch { std::move(objects), false, revision });
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
    this->feed->answer(ObjectBatch { { { "a", 3, "", false } }, true, 7 });
    EXPECT_FALSE(this->mirror->isReady());
    EXPECT_EQ(this->feed->calls.back().after, "a");
    this->feed->answer(ObjectBatch { { { "b", 9, "", false } }, false, 9 });
    EXPECT_THAT(this->names(), ElementsAre("a", "b"));
    this->tickFor(0ms);
    EXPECT_TRUE(this->feed->calls.back().isWatch);
    EXPECT_EQ(this->feed->calls.back().revision, 7U);
}

TEST_F(ObjectMirrorTest, IgnoresOlderEventsAndLists)
{
    this->startWithList({ { "a", 8, "new", false } }, 9);
    this->feed->answer(ObjectBatch { { { "a", 5, "old", false } }, false, 9 });
    EXPECT_EQ(this->mirror->objects().at("a").body, "new");
    this->tickFor(200ms);
    this->feed->answer(absl::OutOfRangeError("gone"));
    this->tickFor(0ms);
    this->feed->answer(ObjectBatch { { { "a", 4, "older", false } }, false, 6 });
    EXPECT_EQ(this->mirror->objects().at("a").body, "new");
}

/// Guards against one call per event. Load pattern: many targets start or renew at the same time.
TEST_F(ObjectMirrorTest, FetchesEventsOfLongBurstInFewCalls)
{
    this->startWithList({ { "a", 1, "", false } }, 1);
    auto watches = 0;
    for (auto revision = std::uint64_t { 2 }; revision < 102; ++revision) {
        this->tickFor(50ms);
        if (this->feed->calls.empty())
            continue;
        ++watches;
        this->feed->answer(ObjectBatch { { { "a", revision, "", false } }, false, revision });
    }
    EXPECT_LE(watches, 14) << "in six seconds of events";
    this->tickFor(5s);
    this->feed->answer(ObjectBatch { { { "a", 200, "", false } }, false, 200 });
    this->tickFor(200ms);
    EXPECT_EQ(this->feed->calls.size(), 1U) << "first pause after the end of a burst";
}

TEST_F(ObjectMirrorTest, WatchWaitIsShorterThanStoreHistory)
{
    constexpr auto history = 20s;
    this->startWithList({ { "a", 1, "", false } }, 1);
    EXPECT_LT(this->feed->calls.back().wait, history);
}

/// Guards against a probe that blocks all mirrors after an outage: it waited 30 s for an event of its kind, and no
/// other mirror could call meanwhile. Found by the withdrawal campaign.
TEST_F(ObjectMirrorTest, ProbeAfterOutageDoesNotWaitForEvents)
{
    this->startWithList({ { "a", 1, "", false } }, 1);
    this->feed->answer(absl::DeadlineExceededError("silent"));
    this->tickFor(300ms);
    ASSERT_EQ(this->feed->calls.size(), 1U);
    EXPECT_LE(this->feed->calls.back().wait, 1ms);
    this->feed->answer(ObjectBatch { {}, false, 1 });
    this->tickFor(300ms);
    EXPECT_GT(this->feed->calls.back().wait, 1s) << "store is available again";
}

TEST_F(ObjectMirrorTest, LongerPauseFetchesMoreEventsPerCall)
{
    this->mirror->setMaxPause(1200ms);
    this->startWithList({ { "a", 1, "", false } }, 1);
    auto watches = 0;
    for (auto revision = std::uint64_t { 2 }; revision < 102; ++revision) {
        this->tickFor(50ms);
        if (this->feed->calls.empty())
            continue;
        ++watches;
        this->feed->answer(ObjectBatch { { { "a", revision, "", false } }, false, revision });
    }
    EXPECT_LE(watches, 7) << "in six seconds of events";
}

TEST_F(ObjectMirrorTest, RemovesDeletedObjectImmediatelyWhileStoreIsAvailable)
{
    this->startWithList({ { "a", 1, "", false }, { "b", 2, "", false } }, 2);
    this->feed->answer(ObjectBatch { { { "a", 3, "", true } }, false, 3 });
    EXPECT_THAT(this->names(), ElementsAre("b"));
}

TEST_F(ObjectMirrorTest, KeepsMissingObjectsForGracePeriodAfterOutage)
{
    this->startWithList({ { "a", 1, "", false }, { "b", 2, "", false } }, 2);
    this->feed->answer(absl::UnavailableError("down"));
    this->tickFor(300ms);
    // The answer that ends the outage reports both as deleted; then one of them registers again.
    this->feed->answer(ObjectBatch { { { "a", 3, "", true }, { "b", 4, "", true } }, false, 4 });
    EXPECT_THAT(this->names(), ElementsAre("a", "b"));
    this->tickFor(500ms);
    this->feed->answer(ObjectBatch { { { "b", 5, "", false } }, false, 5 });
    this->tickFor(1600ms);
    EXPECT_THAT(this->names(), ElementsAre("b"));
}

TEST_F(ObjectMirrorTest, RemovesMissingObjectsWithinWithdrawalBound)
{
    this->startWithList({ { "a", 1, "", false }, { "b", 2, "", false } }, 2);
    this->feed->answer(absl::UnavailableError("down"));
    this->tickFor(300ms);
    this->feed->answer(ObjectBatch { { { "a", 3, "", true }, { "b", 4, "", true } }, false, 4 });
    this->tickFor(1100ms);
    EXPECT_EQ(this->names().size(), 2U);
    this->tickFor(200ms);
    EXPECT_EQ(this->names().size(), 0U);
}

TEST_F(ObjectMirrorTest, RemovesSingleMissingObjectImmediatelyAfterOutage)
{
    auto objects = std::vector<MirroredObject> {};
    for (const auto* name : { "a", "b", "c", "d", "e", "f" })
        objects.push_back({ name, 1, "", false });
    this->startWithList(objects, 2);
    this->feed->answer(absl::DeadlineExceededError("cut off"));
    this->tickFor(300ms);
    this->feed->answer(ObjectBatch { { { "a", 3, "", true } }, false, 4 });
    EXPECT_THAT(this->names(), ElementsAre("b", "c", "d", "e", "f"));
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
