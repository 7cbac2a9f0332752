#include "citronloft/fleet/zone_leader.hpp"

#include <gtest/gtest.h>

#include "citronloft/base/codec.hpp"
#include "citronloft/fleet/membership.hpp"
#include "fakes/memory_store.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

/// Keeps the slots that the zone leader has granted last, by host.
class GrantRecorder final : public PeerTransport {
public:
    auto send(const Address& to, const PeerMessage& message) -> void override
    {
        if (const auto* grant = std::get_if<RenewGrant>(&message))
            this->slots[to.ip] = grant->slots;
    }

    std::map<std::string, std::vector<SlotRange>> slots;
};

class ZoneLeaderTest : public testing::Test {
protected:
    static constexpr auto leaderIncarnation = std::uint64_t { 1 };

    static auto makeLeaderEntry() -> HostEntry
    {
        auto entry = HostEntry {};
        entry.incarnation = leaderIncarnation;
        entry.zone = "a1";
        entry.ip = "1";
        return entry;
    }

    auto tickFor(Duration duration) -> void
    {
        for (auto passed = Duration {}; passed < duration; passed += 20ms) {
            this->clock.advance(20ms);
            this->leader->tick(this->clock.now());
        }
    }

    /// Renews the lease of a host that holds what it was granted last.
    auto renew(std::uint64_t host, bool isLeaving = false) -> void
    {
        const auto address = Address { std::to_string(host), 1 };
        this->leader->receive(
            { host, ++this->sequence, isLeaving, this->transport.slots[address.ip], {} }, address, this->clock.now());
    }

    auto grantedCount(std::uint64_t host) -> std::size_t
    {
        return SlotMap(this->transport.slots[std::to_string(host)]).count(host);
    }

    ManualClock clock;
    GrantRecorder transport;
    Membership members { {}, makeLeaderEntry(), transport, 7 };
    std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
    std::shared_ptr<ZoneLeader> leader
        = std::make_shared<ZoneLeader>(LeaseTerms {}, leaderIncarnation, "a1", clock, members, transport, store);
    std::uint64_t sequence = 0;
};

/// A host releases slots for another one, which leaves before it has them.
TEST_F(ZoneLeaderTest, ReleasedSlotsReturnToTheirHostIfNoOtherNeedsThem)
{
    constexpr auto first = std::uint64_t { 2 };
    constexpr auto second = std::uint64_t { 3 };
    for (auto round = 0; round < 5; ++round) {
        this->renew(first);
        this->tickFor(2s);
    }
    this->renew(first);
    ASSERT_EQ(this->grantedCount(first), slotsPerZone);
    this->renew(second);
    this->renew(first);
    ASSERT_EQ(this->grantedCount(first), slotsPerZone / 2);
    this->renew(first);
    this->renew(second, true);
    for (auto round = 0; round < 5; ++round) {
        this->tickFor(2s);
        this->renew(first);
    }
    EXPECT_EQ(this->grantedCount(first), slotsPerZone);
}

/// The layout of ZoneShares before it stated the store's era.
struct ZoneSharesWithoutEra {
    ZoneShares shares;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->shares.epoch, this->shares.zoneLeader, this->shares.leaderAddress, this->shares.renewals,
            this->shares.ranges);
    }
};

TEST_F(ZoneLeaderTest, ObjectOfAnOlderVersionIsTakenOver)
{
    auto written = ZoneSharesWithoutEra {};
    written.shares.epoch = 4;
    written.shares.zoneLeader = 9;
    written.shares.ranges = { { 9, 0, slotsPerZone } };
    this->store->put(zoneSharesKey("a1"), encode(written), absentVersion, [](const auto&) {});
    this->tickFor(15s);
    EXPECT_EQ(this->leader->heldEpoch(), 5U);
}

} // namespace
} // namespace citronloft
