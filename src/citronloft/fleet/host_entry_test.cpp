#include <gtest/gtest.h>

#include "citronloft/base/codec.hpp"
#include "fakes/fleet_fixture.hpp"

namespace citronloft {
namespace {

/// HostEntry of the versions without `reachesTargets`.
struct OldHostEntry {
    std::uint64_t incarnation = 7;
    std::string ip = "10.0.0.1";
    std::uint16_t peerPort = 1;
    std::uint16_t servicePort = 2;
    std::uint16_t statusPort = 3;
    HostState state = HostState::Serving;
    std::uint32_t counter = 4;
    std::uint32_t revision = 5;
    std::vector<PoolHeadroom> headroom;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->incarnation, this->ip, this->peerPort, this->servicePort, this->statusPort, this->state,
            this->counter, this->revision, this->headroom);
    }
};

auto makeEntry(HostState state, bool reachesTargets) -> HostEntry
{
    auto entry = HostEntry {};
    entry.state = state;
    entry.reachesTargets = reachesTargets;
    return entry;
}

TEST(HostEntry, KeepsStateAndPathWhenItIsSent)
{
    for (const auto state : { HostState::Joining, HostState::Serving, HostState::Leaving, HostState::Stopped }) {
        for (const auto reaches : { false, true }) {
            const auto read = decode<HostEntry>(encode(makeEntry(state, reaches)));
            ASSERT_TRUE(read.ok());
            EXPECT_EQ(read->state, state);
            EXPECT_EQ(read->reachesTargets, reaches || state != HostState::Serving);
        }
    }
}

/// Hosts of older versions must not send callers to a host without targets, and must not take it for a stopped one.
TEST(HostEntry, HostWithoutTargetsDoesNotServeForOlderVersions)
{
    const auto read = decode<OldHostEntry>(encode(makeEntry(HostState::Serving, false)));
    ASSERT_TRUE(read.ok());
    EXPECT_NE(read->state, HostState::Serving);
    EXPECT_NE(read->state, HostState::Stopped);
    const auto stopped = decode<OldHostEntry>(encode(makeEntry(HostState::Stopped, false)));
    EXPECT_EQ(stopped->state, HostState::Stopped);
}

TEST(HostEntry, EntryOfOlderVersionReachesTargets)
{
    const auto read = decode<HostEntry>(encode(OldHostEntry {}));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->state, HostState::Serving);
    EXPECT_TRUE(read->reachesTargets);
    EXPECT_EQ(read->revision, 5U);
}

/// Guards against look-ups of other hosts and zones that go on to name a host without targets.
TEST_F(FleetHostTest, AllZonesLearnThatHostLostItsTargets)
{
    this->start({}, 100, 50);
    auto& changed = *this->world->nodes.front();
    const auto isKnownEverywhere = [&](bool reaches) {
        return std::ranges::all_of(this->world->nodes, [&](const auto& node) {
            const auto hosts = node->host->membership().hostsOf(changed.zone);
            const auto found
                = std::ranges::find(hosts, changed.host->membership().self().incarnation, &HostEntry::incarnation);
            return found != hosts.end() && found->reachesTargets == reaches;
        });
    };
    ASSERT_TRUE(isKnownEverywhere(true));
    for (const auto reaches : { false, true }) {
        changed.host->membership().setReachesTargets(reaches);
        EXPECT_TRUE(this->world->runUntil([&] { return isKnownEverywhere(reaches); }, 10s)) << reaches;
    }
}

} // namespace
} // namespace citronloft
