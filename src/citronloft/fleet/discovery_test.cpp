#include "citronloft/fleet/discovery.hpp"

#include <sstream>

#include <gmock/gmock.h>

#include "fakes/virtual_feed.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

/// Decodes targets from "STARTED SEQUENCE STATE" and configurations from a version number.
class TextDecoder final : public PlatformDecoder {
public:
    [[nodiscard]] auto configKind() const -> std::string override { return "config"; }
    [[nodiscard]] auto targetKind() const -> std::string override { return "targets"; }
    [[nodiscard]] auto evacuationKind() const -> std::string override { return "evacuations"; }

    [[nodiscard]] auto decodeConfig(const MirroredObject& object) const -> absl::StatusOr<ActiveConfig> override
    {
        auto active = ActiveConfig {};
        active.version = std::stoull(object.body);
        return active;
    }

    [[nodiscard]] auto decodeTarget(const MirroredObject& object) const -> absl::StatusOr<TargetEntry> override
    {
        auto entry = TargetEntry { "pool", {}, 0, {} };
        auto state = std::string {};
        std::istringstream(object.body) >> entry.live.startedAtMs >> entry.sequence >> state;
        entry.live.instance = object.name;
        entry.live.target = { object.name, "a1", 8 };
        entry.live.target.draining = state == "draining";
        return entry;
    }
};

class QueueClock final : public Clock {
public:
    explicit QueueClock(const EventQueue& events)
        : events(events)
    {
    }

    [[nodiscard]] auto now() const -> TimePoint override { return this->events.now(); }

private:
    const EventQueue& events;
};

class DiscoveryTest : public testing::Test {
protected:
    DiscoveryTest()
    {
        auto listener = DiscoveryListener {};
        listener.onConfig = [this](const ActiveConfig& active) { this->versions.push_back(active.version); };
        listener.onTargets = [this](const DiscoveredTargets& found) {
            this->ready.clear();
            for (const auto& [pool, targets] : found) {
                for (const auto& live : targets) {
                    if (!live.target.draining)
                        this->ready.push_back(live.instance);
                }
            }
        };
        listener.onEvacuatedZones = [](const std::set<std::string>&) {};
        listener.onQuarantines = [](const std::set<std::string>&) {};
        this->discovery = std::make_unique<Discovery>(
            this->clock, this->metrics, this->feed, std::make_shared<TextDecoder>(), 1, std::move(listener));
        this->store.put("config", "config", "1");
    }

    /// Ends all pending calls, since they own the objects that they report to.
    ~DiscoveryTest() override
    {
        this->feed->setFault(FeedFault::Silent);
        this->events.runFor(1min);
    }

    auto run(Duration duration) -> void
    {
        for (auto passed = Duration {}; passed < duration; passed += 20ms) {
            this->discovery->tick(this->events.now());
            this->events.runFor(20ms);
        }
    }

    /// Restores the store to its state of `age` ago; pending calls are lost.
    auto restore(Duration age) -> void
    {
        this->feed->setFault(FeedFault::Refused);
        this->store.restore(age);
        this->feed->setFault(FeedFault::None);
    }

    EventQueue events;
    QueueClock clock { this->events };
    Metrics metrics;
    VirtualObjects store { this->events, 20s };
    std::shared_ptr<VirtualFeed> feed = std::make_shared<VirtualFeed>(this->events, this->store);
    std::unique_ptr<Discovery> discovery;
    std::vector<std::uint64_t> versions;
    std::vector<std::string> ready;
};

/// Guards against a configuration that is skipped since its revision was given out before.
TEST_F(DiscoveryTest, ConfigurationWithReusedRevisionIsRead)
{
    this->run(1s);
    this->store.put("config", "config", "2");
    this->run(1s);
    this->restore(1500ms);
    this->store.put("config", "config", "3");
    this->run(2s);
    EXPECT_EQ(this->versions.back(), 3U);
}

/// Guards against requests to a target that is leaving, since the copy shows it as ready.
TEST_F(DiscoveryTest, LeavingTargetStaysOutOfUseWhenCopyShowsItAsReady)
{
    this->store.put("targets", "t", "100 4 ready");
    this->run(1s);
    EXPECT_THAT(this->ready, ElementsAre("t"));
    this->store.put("targets", "t", "100 5 draining");
    this->run(1s);
    this->restore(1500ms);
    this->run(10s);
    EXPECT_THAT(this->ready, IsEmpty());
}

TEST_F(DiscoveryTest, TargetThatWasGoneStaysOutOfUseWhenCopyContainsIt)
{
    this->store.put("targets", "t", "100 4 ready");
    this->run(1s);
    this->store.remove("targets", "t");
    this->run(1s);
    EXPECT_THAT(this->ready, IsEmpty());
    this->restore(1500ms);
    this->run(5s);
    EXPECT_THAT(this->ready, IsEmpty());
}

TEST_F(DiscoveryTest, TargetThatReportsAgainAfterRestoreIsUsed)
{
    this->store.put("targets", "t", "100 4 ready");
    this->run(1s);
    this->store.remove("targets", "t");
    this->run(1s);
    this->restore(1500ms);
    this->store.put("targets", "t", "100 6 ready");
    this->run(1s);
    EXPECT_THAT(this->ready, ElementsAre("t"));
}

TEST_F(DiscoveryTest, TargetThatStartedAnewAfterRestoreIsUsed)
{
    this->store.put("targets", "t", "100 4 ready");
    this->run(1s);
    this->store.put("targets", "t", "100 5 draining");
    this->run(1s);
    this->restore(1500ms);
    this->store.put("targets", "t", "900 1 ready");
    this->run(1s);
    EXPECT_THAT(this->ready, ElementsAre("t"));
}

/// A removed object can belong to a target that was silent; the platform keeps it only while it hears of the target.
TEST_F(DiscoveryTest, TargetThatStaysInRestoredStoreIsUsedAgain)
{
    this->store.put("targets", "t", "100 4 ready");
    this->run(1s);
    this->store.remove("targets", "t");
    this->run(1s);
    this->restore(1500ms);
    this->run(8s);
    EXPECT_THAT(this->ready, ElementsAre("t"));
}

} // namespace
} // namespace citronloft
