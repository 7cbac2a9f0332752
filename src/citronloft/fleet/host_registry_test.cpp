#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "citronloft/fleet/host_registry.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::UnorderedElementsAre;

/// Answers immediately; fails while `isDown`.
class FakeKeyStore final : public ObjectStore {
public:
    auto get(const std::string& key, GetDone done) -> void override
    {
        ++this->calls;
        if (this->isDown)
            return done(absl::UnavailableError("down"));
        if (std::ranges::find(this->keys, key) == this->keys.end())
            return done(absl::NotFoundError(""));
        done(StoredObject { {}, { this->currentEra, 1 } });
    }

    auto put(const std::string& key, std::string, const StoreRevision&, PutDone done) -> void override
    {
        ++this->calls;
        if (this->isDown)
            return done(absl::UnavailableError("down"));
        if (std::ranges::find(this->keys, key) != this->keys.end())
            return done(absl::AbortedError("exists"));
        this->keys.push_back(key);
        done(StoreRevision { this->currentEra, 1 });
    }

    auto watch(const std::string&, const StoreRevision&, Duration, GetDone) -> void override { }

    auto list(const std::string&, ListDone done) -> void override
    {
        ++this->calls;
        if (this->isDown)
            return done(absl::UnavailableError("down"));
        done(this->keys);
    }

    [[nodiscard]] auto era() const -> std::uint64_t override { return this->currentEra; }

    std::vector<std::string> keys;
    std::uint64_t currentEra = 0;
    bool isDown = false;
    int calls = 0;
};

class HostRegistryTest : public testing::Test {
protected:
    auto start(const std::string& zone, const std::string& ip) -> std::shared_ptr<HostRegistry>
    {
        this->known.clear();
        return std::make_shared<HostRegistry>(RegisteredHost { zone, ip }, this->clock, this->store, 1,
            [this](const auto& hosts) { this->known = hosts; });
    }

    auto tick(HostRegistry& registry, Duration time) -> void
    {
        for (auto passed = Duration {}; passed < time; passed += 10ms) {
            registry.tick(this->clock.now());
            this->clock.advance(10ms);
        }
    }

    auto run(const std::string& zone, const std::string& ip, Duration time) -> std::vector<RegisteredHost>
    {
        this->tick(*this->start(zone, ip), time);
        return this->known;
    }

    ManualClock clock;
    std::vector<RegisteredHost> known;
    std::shared_ptr<FakeKeyStore> store = std::make_shared<FakeKeyStore>();
};

TEST_F(HostRegistryTest, HostsReadEachOthersZoneAndAddress)
{
    this->run("zone_a", "10.1.0.1", 1s);
    const auto known = this->run("zone_b", "10.1.0.2", 1s);
    EXPECT_THAT(
        known, UnorderedElementsAre(RegisteredHost { "zone_a", "10.1.0.1" }, RegisteredHost { "zone_b", "10.1.0.2" }));
}

TEST_F(HostRegistryTest, RestartedHostReadsListImmediately)
{
    this->run("z", "10.1.0.1", 1s);
    this->store->calls = 0;
    EXPECT_EQ(this->run("z", "10.1.0.1", 50ms).size(), 1U);
    EXPECT_EQ(this->store->calls, 2);
}

/// Guards against hosts that starting hosts cannot find, since the store was restored from a copy without them.
TEST_F(HostRegistryTest, RegistersAgainWhenRestoredStoreLacksItsObject)
{
    const auto registry = this->start("zone_a", "10.1.0.1");
    this->tick(*registry, 1s);
    this->store->keys.clear();
    this->store->currentEra = 1;
    this->tick(*registry, 3s);
    EXPECT_EQ(this->store->keys.size(), 1U);
}

TEST_F(HostRegistryTest, ReadsItsObjectOnceAfterARestore)
{
    const auto registry = this->start("zone_a", "10.1.0.1");
    this->tick(*registry, 1s);
    this->store->calls = 0;
    this->store->currentEra = 1;
    this->tick(*registry, 10s);
    EXPECT_EQ(this->store->calls, 1);
}

TEST_F(HostRegistryTest, RetriesWithBackoffWhileStoreIsDown)
{
    this->store->isDown = true;
    EXPECT_TRUE(this->run("z", "10.1.0.1", 20s).empty());
    EXPECT_LT(this->store->calls, 15);
}

TEST_F(HostRegistryTest, ObjectsThatNameNoAddressAreNoHosts)
{
    for (const auto* name :
        { "", "_", "north-a", "north-a_", "north-a_10.0.0.256", "north-a_10.0.0.9:80", "north-a_x" })
        this->store->keys.push_back(std::string { "citronloft-hosts/" } + name);
    const auto registry = this->start("north-a", "10.0.0.1");
    this->tick(*registry, 2s);
    ASSERT_EQ(this->known.size(), 1U);
    EXPECT_EQ(this->known.front().ip, "10.0.0.1");
}

} // namespace
} // namespace citronloft
