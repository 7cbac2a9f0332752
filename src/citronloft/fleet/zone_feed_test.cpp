#include "citronloft/fleet/zone_feed.hpp"

#include <gmock/gmock.h>

#include "citronloft/policy/shares.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::_;
using testing::SaveArg;
using testing::StrictMock;

auto at(std::uint64_t number, std::uint64_t era = 1) -> StoreRevision { return { era, number }; }

class FakeClock final : public Clock {
public:
    [[nodiscard]] auto now() const -> TimePoint override { return this->time; }

    TimePoint time { 100s };
};

class MockFeed : public ObjectFeed {
public:
    MOCK_METHOD(void, list, (const std::string&, const std::string&, Done), (override));
    MOCK_METHOD(void, watch, (const std::string&, const StoreRevision&, Duration, Done), (override));
};

class MockFetcher : public FeedFetcher {
public:
    MOCK_METHOD(void, fetchFeed, (const Address&, const FeedRequest&, Done), (override));
};

class ZoneFeedTest : public testing::Test {
protected:
    /// Makes the feed follow a reader whose copy has `revision`.
    auto follow(std::uint64_t revision) -> void
    {
        this->feed->tick(false, this->clock.time);
        this->receiveNotice(revision);
    }

    auto receiveNotice(std::uint64_t revision) -> void
    {
        auto notice = FeedNotice {};
        notice.states = { { bucketId("servers"), at(revision) } };
        this->feed->processNotice(this->reader, notice, this->clock.time);
    }

    auto watch(std::uint64_t revision) -> void
    {
        this->feed->watch("servers", at(revision), 18s, [this](absl::StatusOr<ObjectBatch> batch) {
            this->answered = true;
            this->status = batch.status();
            this->answer = batch.ok() ? *batch : ObjectBatch {};
        });
    }

    auto advance(Duration duration) -> void
    {
        this->clock.time += duration;
        this->feed->tick(false, this->clock.time);
    }

    FakeClock clock;
    Address reader { "10.0.0.7", 7560 };
    std::shared_ptr<StrictMock<MockFeed>> store = std::make_shared<StrictMock<MockFeed>>();
    std::shared_ptr<StrictMock<MockFetcher>> peers = std::make_shared<StrictMock<MockFetcher>>();
    std::shared_ptr<ZoneFeed> feed
        = std::make_shared<ZoneFeed>(ZoneFeedOption {}, this->clock, this->store, this->peers);
    bool answered = false;
    absl::Status status;
    ObjectBatch answer;
};

TEST_F(ZoneFeedTest, ReaderWatchesTheStore)
{
    EXPECT_CALL(*this->store, watch("servers", at(7), Duration { 18s }, _));
    this->feed->tick(true, this->clock.time);
    this->receiveNotice(9);
    this->watch(7);
}

TEST_F(ZoneFeedTest, WatchWaitsForANewerRevisionOfTheReader)
{
    this->follow(7);
    this->watch(7);
    this->advance(200ms);
    auto done = FeedFetcher::Done {};
    EXPECT_CALL(*this->peers, fetchFeed(this->reader, _, _)).WillOnce(SaveArg<2>(&done));
    this->receiveNotice(9);
    done(ObjectBatch { {}, false, at(9), true });
    EXPECT_TRUE(this->answered);
    EXPECT_EQ(this->answer.revision, at(9));
}

TEST_F(ZoneFeedTest, WatchEndsWithoutEventsWhenItsWaitIsOver)
{
    this->follow(7);
    this->watch(7);
    for (auto i = 0; i < 80; ++i) {
        this->receiveNotice(7);
        this->advance(250ms);
    }
    EXPECT_TRUE(this->answered);
    EXPECT_EQ(this->answer.revision, at(7));
    EXPECT_TRUE(this->answer.objects.empty());
}

/// Guards against a watch that blocks: a store that dropped its history when the reader stopped responding answers a
/// watch that waits only with its next event.
TEST_F(ZoneFeedTest, WatchesGoToStoreWithoutWaitWhenReaderTimesOut)
{
    this->follow(7);
    this->watch(7);
    this->advance(700ms);
    EXPECT_FALSE(this->answered);
    EXPECT_CALL(*this->store, watch("servers", at(7), Duration { 1ms }, _));
    this->advance(150ms);
}

TEST_F(ZoneFeedTest, WatchesGoToStoreImmediatelyWhenReaderLosesStore)
{
    this->follow(7);
    this->watch(7);
    EXPECT_CALL(*this->store, watch("servers", at(7), Duration { 1ms }, _));
    this->feed->processNotice(this->reader, FeedNotice {}, this->clock.time);
}

TEST_F(ZoneFeedTest, FailedFetchFallsBackToStore)
{
    this->follow(9);
    EXPECT_CALL(*this->peers, fetchFeed(_, _, _)).WillOnce([](const auto&, const auto&, auto done) {
        done(absl::OutOfRangeError("no history"));
    });
    EXPECT_CALL(*this->store, watch("servers", at(7), Duration { 1ms }, _));
    this->watch(7);
    EXPECT_FALSE(this->answered);
}

TEST_F(ZoneFeedTest, SendsNoticeImmediatelyOnChangeAndPeriodically)
{
    this->feed->tick(true, this->clock.time);
    const auto isNoticeDue = [this](std::uint64_t revision) {
        return this->feed->takeDueNotice({ { bucketId("servers"), at(revision) } }, this->clock.time).has_value();
    };
    EXPECT_TRUE(isNoticeDue(7));
    EXPECT_FALSE(isNoticeDue(7));
    EXPECT_TRUE(isNoticeDue(8));
    this->clock.time += 250ms;
    EXPECT_TRUE(isNoticeDue(8));
    this->feed->tick(false, this->clock.time);
    EXPECT_FALSE(isNoticeDue(9));
}

} // namespace
} // namespace citronloft
