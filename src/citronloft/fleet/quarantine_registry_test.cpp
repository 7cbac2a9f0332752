#include "citronloft/fleet/quarantine_registry.hpp"

#include <gmock/gmock.h>

#include "fakes/memory_store.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

class QuarantineRegistryTest : public testing::Test {
protected:
    QuarantineRegistryTest()
    {
        auto listener = QuarantineListener {};
        listener.onQuarantined = [this](std::uint64_t request, TimePoint until) {
            this->quarantined.push_back(request);
            this->lastUntil = until;
        };
        listener.onLifted = [this](std::uint64_t request) { this->lifted.push_back(request); };
        const auto wallClock = [this] {
            return std::chrono::system_clock::time_point { 1'700'000'000s + this->clock.now().time_since_epoch() };
        };
        this->registry = std::make_shared<QuarantineRegistry>(
            this->clock, wallClock, this->store, std::nullopt, seed, std::move(listener));
    }

    auto tickFor(Duration duration) -> void
    {
        for (auto passed = Duration {}; passed < duration; passed += 20ms) {
            this->registry->tick(this->clock.now());
            this->clock.advance(20ms);
        }
    }

    /// Passes the store's objects to the registry, as a feed does.
    auto update() -> void
    {
        auto names = std::set<std::string> {};
        for (const auto& [key, object] : this->store->objects)
            names.insert(key.substr(key.find('/') + 1));
        this->registry->update(names);
    }

    /// @return the name of an object that another host has written, whose quarantine ends in ten minutes.
    [[nodiscard]] auto namesOfOtherHost() const -> std::set<std::string>
    {
        const auto end = 1'700'000'000s + this->clock.now().time_since_epoch() + 10min;
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(end).count();
        return { "0000000000000abc_" + std::to_string(seconds) };
    }

    static constexpr auto seed = std::uint64_t { 7 };

    ManualClock clock;
    std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
    std::shared_ptr<QuarantineRegistry> registry;
    std::vector<std::uint64_t> quarantined;
    std::vector<std::uint64_t> lifted;
    TimePoint lastUntil {};
};

TEST_F(QuarantineRegistryTest, PublishedRequestIsReadBackWithItsTerm)
{
    const auto until = this->clock.now() + 10min;
    this->registry->publish(0xabc, until);
    this->tickFor(100ms);
    this->update();
    EXPECT_THAT(this->quarantined, ElementsAre(0xabc));
    EXPECT_GE(this->lastUntil, until - 1s);
    EXPECT_LE(this->lastUntil, until + 1min);
}

TEST_F(QuarantineRegistryTest, HostsThatFindTheSameRequestWriteOneObject)
{
    this->registry->publish(0xabc, this->clock.now() + 10min);
    this->registry->publish(0xabc, this->clock.now() + 10min + 20ms);
    this->tickFor(1s);
    EXPECT_EQ(this->store->objects.size(), 1U);
}

TEST_F(QuarantineRegistryTest, DeletedObjectLiftsTheQuarantine)
{
    this->registry->publish(0xabc, this->clock.now() + 10min);
    this->tickFor(100ms);
    this->update();
    this->store->objects.clear();
    this->update();
    EXPECT_THAT(this->lifted, ElementsAre(0xabc));
}

TEST_F(QuarantineRegistryTest, ObjectThatIsMissingAfterRestoreIsWrittenAgain)
{
    this->registry->publish(0xabc, this->clock.now() + 10min);
    this->tickFor(100ms);
    this->update();
    this->store->restore({});
    this->update();
    this->tickFor(1s);
    EXPECT_THAT(this->lifted, IsEmpty());
    EXPECT_EQ(this->store->objects.size(), 1U);
}

TEST_F(QuarantineRegistryTest, OtherHostsLeaveTheRewriteAfterRestoreToTheWriter)
{
    auto writes = 0;
    this->store->nextFault = [&](const std::string&) {
        ++writes;
        return WriteFault::None;
    };
    const auto names = this->namesOfOtherHost();
    this->registry->update(names);
    EXPECT_THAT(this->quarantined, ElementsAre(0xabc));
    this->store->restore({});
    this->registry->update({});
    this->tickFor(1s);
    EXPECT_EQ(writes, 0);
    // The writer's object has come back.
    this->registry->update(names);
    this->tickFor(30s);
    EXPECT_EQ(writes, 0);
    EXPECT_THAT(this->lifted, IsEmpty());
}

TEST_F(QuarantineRegistryTest, AnotherHostRewritesAfterRestoreIfTheWriterIsGone)
{
    this->registry->update(this->namesOfOtherHost());
    this->store->restore({});
    this->registry->update({});
    this->tickFor(30s);
    EXPECT_EQ(this->store->objects.size(), 1U);
}

TEST_F(QuarantineRegistryTest, ExpiredAndMalformedNamesAreIgnored)
{
    this->registry->update({ "00000000000000ab_1600000000", "text", "12_", "_12", "" });
    EXPECT_THAT(this->quarantined, IsEmpty());
}

TEST_F(QuarantineRegistryTest, ManyFindingsAreWrittenSlowly)
{
    for (auto request = std::uint64_t { 1 }; request <= 1000; ++request)
        this->registry->publish(request, this->clock.now() + 10min);
    this->tickFor(1s);
    EXPECT_LE(this->store->objects.size(), 6U);
}

TEST_F(QuarantineRegistryTest, WritesAgainUntilTheStoreAnswers)
{
    this->store->isDown = true;
    this->registry->publish(0xabc, this->clock.now() + 10min);
    this->tickFor(1s);
    this->store->isDown = false;
    this->tickFor(1s);
    EXPECT_EQ(this->store->objects.size(), 1U);
}

TEST_F(QuarantineRegistryTest, NamesWithNumbersOutOfRangeQuarantineNothing)
{
    for (const auto* end : { "9223372036854775807", "-9223372036854775808", "9223372036854", "99999999999999999999",
             "1800000000", "", "1e9" })
        this->registry->update({ std::string { "0000000000000abc_" } + end });
    this->registry->update({ "_1700004200", "0_1700004200", "fffffffffffffffff_1700004200", "abc" });
    EXPECT_THAT(this->quarantined, IsEmpty());
    EXPECT_THAT(this->lifted, IsEmpty());
    this->registry->update(this->namesOfOtherHost());
    EXPECT_THAT(this->quarantined, ElementsAre(0xabcU));
}

} // namespace
} // namespace citronloft
