#include <gtest/gtest.h>

#include "citronloft/fleet/claim_registry.hpp"
#include "citronloft/fleet/config_loader.hpp"
#include "citronloft/fleet/config_publisher.hpp"
#include "fakes/memory_store.hpp"

namespace citronloft {
namespace {

/// Returns the given faults one after the other, then none.
auto injectFaults(std::vector<WriteFault> faults) -> std::function<WriteFault(const std::string&)>
{
    return [faults = std::move(faults), next = std::size_t { 0 }](
               const std::string& /*key*/) mutable { return next < faults.size() ? faults[next++] : WriteFault::None; };
}

class ClaimTest : public testing::Test {
protected:
    auto claim(const std::string& key = "k") -> ClaimOutcome
    {
        auto result = ClaimOutcome::Unavailable;
        this->registry->claim("team", key, [&](ClaimOutcome outcome, const Claim& claimed) {
            result = outcome;
            this->last = claimed;
        });
        return result;
    }

    std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
    ManualClock clock;
    std::shared_ptr<ClaimRegistry> registry = std::make_shared<ClaimRegistry>(store, clock);
    Claim last;
};

TEST_F(ClaimTest, SecondClaimOfAKeyIsADuplicate)
{
    EXPECT_EQ(this->claim(), ClaimOutcome::Granted);
    EXPECT_EQ(this->claim(), ClaimOutcome::Duplicate);
    EXPECT_EQ(this->claim("other"), ClaimOutcome::Granted);
}

TEST_F(ClaimTest, LostReplyIsResolvedByReadingBack)
{
    this->store->nextFault = injectFaults({ WriteFault::ReplyLost });
    EXPECT_EQ(this->claim(), ClaimOutcome::Granted);
    EXPECT_EQ(this->claim(), ClaimOutcome::Duplicate);
}

TEST_F(ClaimTest, RefusedWriteIsRetried)
{
    this->store->nextFault = injectFaults({ WriteFault::Refused, WriteFault::ReplyLost });
    EXPECT_EQ(this->claim(), ClaimOutcome::Granted);
}

TEST_F(ClaimTest, UnavailableStoreGrantsNothing)
{
    this->store->isDown = true;
    EXPECT_EQ(this->claim(), ClaimOutcome::Unavailable);
    this->store->isDown = false;
    EXPECT_EQ(this->claim(), ClaimOutcome::Granted);
}

TEST_F(ClaimTest, ReleasedKeyCanBeClaimedAgainOnce)
{
    this->claim();
    this->registry->release(this->last);
    EXPECT_EQ(this->claim(), ClaimOutcome::Granted);
    EXPECT_EQ(this->claim(), ClaimOutcome::Duplicate);
}

TEST_F(ClaimTest, OldHolderCantReleaseANewHoldersClaim)
{
    this->claim();
    const auto old = this->last;
    this->registry->release(old);
    this->claim();
    this->registry->release(old);
    EXPECT_EQ(this->claim(), ClaimOutcome::Duplicate);
}

/// Guards against a request that runs twice, since the store was restored from a copy without its claim.
TEST_F(ClaimTest, ClaimsAreWrittenAgainAfterRestore)
{
    const auto copy = this->store->objects;
    EXPECT_EQ(this->claim(), ClaimOutcome::Granted);
    this->store->restore(copy);
    this->registry->tick(this->clock.now());
    this->clock.advance(std::chrono::seconds { 5 });
    EXPECT_EQ(this->claim(), ClaimOutcome::Duplicate);
}

TEST_F(ClaimTest, NothingIsGrantedUntilOtherHostsHaveWrittenTheirClaimsAgain)
{
    const auto copy = this->store->objects;
    auto other = std::make_shared<ClaimRegistry>(this->store, this->clock);
    other->claim("team", "k", [](auto, const auto&) {});
    this->store->restore(copy);
    EXPECT_EQ(this->claim(), ClaimOutcome::Unavailable);
    EXPECT_EQ(this->claim("new"), ClaimOutcome::Unavailable);
    this->clock.advance(std::chrono::milliseconds { 600 });
    other->tick(this->clock.now());
    this->clock.advance(std::chrono::seconds { 3 });
    EXPECT_EQ(this->claim(), ClaimOutcome::Duplicate);
    EXPECT_EQ(this->claim("new"), ClaimOutcome::Granted);
}

TEST_F(ClaimTest, ReleasedClaimsAreNotWrittenAgain)
{
    const auto copy = this->store->objects;
    this->claim();
    this->registry->release(this->last);
    this->store->restore(copy);
    this->registry->tick(this->clock.now());
    this->clock.advance(std::chrono::seconds { 5 });
    EXPECT_EQ(this->claim(), ClaimOutcome::Granted);
}

TEST_F(ClaimTest, KeyIsNotStoredInPlainText)
{
    this->claim("secret-idempotency-key");
    for (const auto& [name, object] : this->store->objects)
        EXPECT_EQ((name + object.value).find("secret"), std::string::npos);
}

class PublisherTest : public testing::Test {
protected:
    static auto config(double rate) -> Config
    {
        auto newConfig = Config {};
        for (auto i = 0; i < 50; ++i)
            newConfig.teams.push_back({ "team-" + std::to_string(i), rate, 5, 1, {} });
        return newConfig;
    }

    auto apply(const Config& newConfig, const std::string& id, std::optional<std::uint64_t> expected = {})
        -> ApplyResult
    {
        auto result = ApplyResult {};
        applyConfig(this->store, { newConfig, "operator", "test", id, expected }, {},
            [&](ApplyResult done) { result = std::move(done); });
        return result;
    }

    auto stored() -> ConfigRecords
    {
        auto records = ConfigRecords {};
        const auto manifest = decode<ConfigManifest>(this->store->objects.at(manifestKey).value);
        loadRecords(this->store, *manifest, [&](const auto& loaded) { records = *loaded; });
        return records;
    }

    std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
};

TEST_F(PublisherTest, AppliesAndReadsBack)
{
    const auto result = this->apply(config(1), "a");
    EXPECT_EQ(result.outcome, ApplyOutcome::Accepted);
    EXPECT_EQ(result.version, 1U);
    EXPECT_EQ(this->stored(), toRecords(config(1)));
    EXPECT_EQ(this->apply(config(1), "b").outcome, ApplyOutcome::Unchanged);
}

TEST_F(PublisherTest, ConflictNamesTheAcceptedChange)
{
    this->apply(config(1), "a");
    this->apply(config(2), "b", 1);
    const auto late = this->apply(config(3), "c", 1);
    EXPECT_EQ(late.outcome, ApplyOutcome::Conflict);
    EXPECT_NE(late.reason.find("by operator"), std::string::npos);
    EXPECT_EQ(this->stored(), toRecords(config(2)));
}

TEST_F(PublisherTest, LostReplyOfTheManifestIsAccepted)
{
    this->apply(config(1), "a");
    this->store->nextFault
        = [](const std::string& key) { return key == manifestKey ? WriteFault::ReplyLost : WriteFault::None; };
    EXPECT_EQ(this->apply(config(2), "b").outcome, ApplyOutcome::Accepted);
}

TEST_F(PublisherTest, LostReplyIsAcceptedEvenIfAnotherChangeCameAfterIt)
{
    this->apply(config(1), "a");
    auto isFirst = true;
    this->store->nextFault = [&](const std::string& key) {
        if (key != manifestKey || !std::exchange(isFirst, false))
            return WriteFault::None;
        return WriteFault::ReplyLost;
    };
    auto result = ApplyResult {};
    auto option = ApplyOption {};
    // Another operator's change is applied before this one retries.
    option.runLater = [&](const std::function<void()>& action) {
        EXPECT_EQ(this->apply(config(3), "c").outcome, ApplyOutcome::Accepted);
        action();
    };
    applyConfig(this->store, { config(2), "operator", "", "b", {} }, option, [&](ApplyResult done) { result = done; });
    EXPECT_EQ(result.outcome, ApplyOutcome::Accepted);
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(this->stored(), toRecords(config(3)));
}

TEST_F(PublisherTest, OutageBeforeTheUpdateIsNotAccepted)
{
    this->store->isDown = true;
    EXPECT_EQ(this->apply(config(1), "a").outcome, ApplyOutcome::NotAccepted);
}

TEST_F(PublisherTest, OutageDuringTheUpdateIsUnknown)
{
    this->apply(config(1), "a");
    this->store->nextFault = [&](const std::string& key) {
        this->store->isDown = key == manifestKey;
        return key == manifestKey ? WriteFault::ReplyLost : WriteFault::None;
    };
    EXPECT_EQ(this->apply(config(2), "b").outcome, ApplyOutcome::Unknown);
}

TEST_F(PublisherTest, SmallChangeRewritesFewChunks)
{
    auto large = Config {};
    for (auto i = 0; i < 20'000; ++i)
        large.teams.push_back({ "team-" + std::to_string(i), 1, 5, 1, {} });
    this->apply(large, "a");
    const auto before = this->store->lastVersion;
    large.teams[777].rate = 2;
    EXPECT_EQ(this->apply(large, "b").changedRecords, 1U);
    EXPECT_EQ(this->store->lastVersion - before, 2U);
    EXPECT_EQ(this->stored(), toRecords(large));
}

} // namespace
} // namespace citronloft
