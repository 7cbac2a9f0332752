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
    auto get(const std::string&, GetDone done) -> void override { done(absl::NotFoundError("")); }

    auto put(const std::string& key, std::string, const StoreRevision&, PutDone done) -> void override
    {
        ++this->calls;
        if (this->isDown)
            return done(absl::UnavailableError("down"));
        if (std::ranges::find(this->keys, key) != this->keys.end())
            return done(absl::AbortedError("exists"));
        this->keys.push_back(key);
        done(StoreRevision { 0, 1 });
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
    auto run(const std::string& zone, const std::string& ip, Duration time) -> std::vector<RegisteredHost>
    {
        auto known = std::vector<RegisteredHost> {};
        const auto registry = std::make_shared<HostRegistry>(
            RegisteredHost { zone, ip }, this->clock, this->store, 1, [&](const auto& hosts) { known = hosts; });
        for (auto passed = Duration {}; passed < time; passed += 10ms) {
            registry->tick(this->clock.now());
            this->clock.advance(10ms);
        }
        return known;
    }

    ManualClock clock;
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

TEST_F(HostRegistryTest, RetriesWithBackoffWhileStoreIsDown)
{
    this->store->isDown = true;
    EXPECT_TRUE(this->run("z", "10.1.0.1", 20s).empty());
    EXPECT_LT(this->store->calls, 15);
}

} // namespace
} // namespace citronloft
