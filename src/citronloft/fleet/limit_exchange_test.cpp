#include "citronloft/base/codec.hpp"
#include "fakes/fleet_fixture.hpp"

namespace citronloft {
namespace {

/// More observations than one datagram holds.
TEST(LimitExchangeTest, ManyObservationsReachAllHosts)
{
    constexpr auto count = std::size_t { 1000 };
    auto option = WorldOption {};
    option.host.shares = ShareStrategy::Demand;
    auto world = VirtualWorld { option };
    world.run(6s);
    auto received = std::map<std::size_t, std::set<std::uint64_t>> {};
    for (auto index = std::size_t { 0 }; index < world.nodes.size(); ++index) {
        world.nodes[index]->host->limits().onObservations([&received, index](const auto& observations) {
            for (const auto& observation : observations)
                received[index].insert(observation.target);
        });
    }
    auto& first = *world.nodes.front();
    auto observations = std::vector<LimitObservation> {};
    for (auto target = std::uint64_t { 1 }; target <= count; ++target)
        observations.push_back({ target, 2.5, first.clock->now() });
    first.host->limits().report(observations);
    world.run(3s);
    for (auto index = std::size_t { 1 }; index < world.nodes.size(); ++index)
        EXPECT_EQ(received[index].size(), count) << "host " << index;
}

TEST(LimitExchangeTest, ObservationsKeepTheirAge)
{
    auto option = WorldOption {};
    option.host.shares = ShareStrategy::Demand;
    auto world = VirtualWorld { option };
    world.run(6s);
    auto& last = *world.nodes.back();
    auto age = Duration {};
    last.host->limits().onObservations([&](const auto& list) { age = last.clock->now() - list.front().observedAt; });
    auto& first = *world.nodes.front();
    first.host->limits().report({ { 7, std::nullopt, first.clock->now() - 2s } });
    world.run(1s);
    EXPECT_GE(age, 1900ms);
    EXPECT_LE(age, 2600ms);
}

/// A full notice must fit into a datagram.
TEST(LimitExchangeTest, FullNoticeFitsIntoADatagram)
{
    auto notice = LimitNotice { 1, 2, "a-zone-with-a-long-name", true, {} };
    notice.reports.resize(256, { 1, 2.5, 3 });
    EXPECT_LT(encode(notice).size(), maxDatagramBytes / 2);
}

} // namespace
} // namespace citronloft
