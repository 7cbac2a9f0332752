#include <gtest/gtest.h>

#include "citronloft/fleet/even_shares.hpp"
#include "citronloft/fleet/slot_map.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };

auto sharesOf(const std::string& self, const std::vector<std::string>& known, TimePoint now) -> std::vector<SlotRange>
{
    auto shares = EvenShares({}, self, start);
    for (const auto& host : known)
        shares.note(host, now);
    return shares.usable(now);
}

TEST(EvenShares, HostsThatKnowTheSameHostsDivideAllSlots)
{
    const auto hosts = std::vector<std::string> { "10.1.0.1", "10.1.0.2", "10.1.0.3" };
    auto map = SlotMap();
    for (const auto& host : hosts) {
        for (const auto& range : sharesOf(host, hosts, start + 5s)) {
            for (auto slot = std::uint32_t { range.first }; slot < std::uint32_t { range.first } + range.count;
                 ++slot) {
                EXPECT_EQ(map.ownerOf(slot), 0U);
                map.setOwner(slot, 1);
            }
        }
    }
    EXPECT_EQ(map.count(0), 0U);
}

TEST(EvenShares, HostThatLosesContactKeepsToItsPart)
{
    auto shares = EvenShares({}, "10.1.0.1", start);
    shares.note("10.1.0.2", start + 3s);
    EXPECT_EQ(countSlots(shares.usable(start + 40s)), slotsPerZone / 2);
    EXPECT_EQ(countSlots(shares.usable(start + 70s)), slotsPerZone);
}

TEST(EvenShares, HostThatHasJustStartedTakesASmallPart)
{
    auto shares = EvenShares({}, "10.1.0.1", start);
    EXPECT_EQ(countSlots(shares.usable(start)), slotsPerZone / 8);
    EXPECT_EQ(countSlots(shares.usable(start + 3s)), slotsPerZone);
}

} // namespace
} // namespace citronloft
