#include <random>

#include <gtest/gtest.h>

#include "citronloft/fleet/discovery.hpp"
#include "citronloft/fleet/zone_feed.hpp"
#include "fakes/fleet_fixture.hpp"
#include "fakes/virtual_feed.hpp"

namespace citronloft {
namespace {

/// Tightest bounds of the users' site files: drain and configuration 2.5 s, evacuation 5 s; a host is in touch after 4
/// s without a fault on its way to the store or in the store.
constexpr auto drainBound = 2500ms;
constexpr auto configBound = 2500ms;
constexpr auto evacuationBound = 5000ms;
constexpr auto stableWindow = 4s;
constexpr auto history = 20s;
constexpr auto step = 20ms;
constexpr auto hostsPerZone = std::size_t { 4 };

/// Configurations are version numbers, targets their states.
class PlainDecoder final : public PlatformDecoder {
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
        auto entry = TargetEntry { "pool", {}, {} };
        entry.live.target = { object.name, "a1", 8 };
        entry.live.target.draining = object.body == "draining";
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

/// What one host believes.
struct Reader {
    std::shared_ptr<VirtualFeed> feed;
    std::shared_ptr<ZoneFeed> zoneFeed;
    std::unique_ptr<Discovery> discovery;
    /// Its zone's other hosts hear nothing of it.
    bool isMute = false;
    /// It hears nothing of its zone's other hosts.
    bool isDeaf = false;
    /// It does nothing; as the zone's reader it is replaced some seconds later.
    bool isFrozen = false;
    TimePoint frozenAt {};
    std::uint64_t version = 0;
    std::set<std::string> usable;
    std::set<std::string> evacuated;
    TimePoint lastFaultAt {};
    FeedFault fault = FeedFault::None;
};

/// Peers' copies, over ways that may be lost.
class VirtualPeers final : public FeedFetcher {
public:
    VirtualPeers(EventQueue& events, std::vector<std::unique_ptr<Reader>>& hosts, std::size_t self)
        : events(events)
        , hosts(hosts)
        , self(self)
    {
    }

    static auto addressOf(std::size_t host) -> Address { return { "10.0.0.1", static_cast<std::uint16_t>(host) }; }

    auto fetchFeed(const Address& peer, const FeedRequest& request, FeedFetcher::Done done) -> void override
    {
        constexpr auto timeout = 500ms;
        auto& own = *this->hosts[this->self];
        const auto& asked = *this->hosts[peer.port];
        const auto isLost = asked.isFrozen || asked.isDeaf || asked.isMute || own.isMute || own.isDeaf;
        if (isLost) {
            this->events.after(timeout, [done] { done(absl::DeadlineExceededError("silent")); });
            return;
        }
        this->events.after(1ms, [done, batch = asked.discovery->serve(request)]() mutable { done(std::move(batch)); });
    }

private:
    EventQueue& events;
    std::vector<std::unique_ptr<Reader>>& hosts;
    std::size_t self;
};

/// Hosts that read what operators withdraw: targets, zones, configurations (keys among them), under random faults of
/// the store, of the hosts' ways to it and of the ways to their zone's reader.
class WithdrawalBound : public testing::TestWithParam<int> {
protected:
    auto SetUp() -> void override
    {
        this->generator.seed(static_cast<std::uint64_t>(GetParam()));
        for (auto i = 0; i < 30; ++i)
            this->store.put("targets", "t" + std::to_string(i), "ready");
        this->store.put("config", "config", "1");
        constexpr auto hosts = 12;
        for (auto i = 0; i < hosts; ++i)
            this->startReader();
        this->run(3s);
    }

    /// Calls without an answer hold what they end at.
    ~WithdrawalBound() override
    {
        for (auto& reader : this->readers) {
            reader->feed->setFault(FeedFault::Silent);
            // What waits for a notice goes to the store, where it ends.
            reader->zoneFeed->tick(true, this->events.now());
        }
        this->events.runFor(1min);
    }

    auto startReader() -> void
    {
        auto reader = std::make_unique<Reader>();
        auto* own = reader.get();
        reader->feed = std::make_shared<VirtualFeed>(this->events, this->store);
        auto listener = DiscoveryListener {};
        listener.onConfig = [own](ActiveConfig active) { own->version = std::max(own->version, active.version); };
        listener.onTargets = [own](const DiscoveredTargets& found) {
            own->usable.clear();
            for (const auto& [pool, targets] : found) {
                for (const auto& live : targets) {
                    if (!live.target.draining)
                        own->usable.insert(live.target.address);
                }
            }
        };
        listener.onEvacuatedZones = [own](std::set<std::string> zones) { own->evacuated = std::move(zones); };
        reader->zoneFeed = std::make_shared<ZoneFeed>(ZoneFeedOption {}, this->clock, reader->feed,
            std::make_shared<VirtualPeers>(this->events, this->readers, this->readers.size()));
        reader->discovery = std::make_unique<Discovery>(this->clock, this->metrics, reader->zoneFeed,
            std::make_shared<PlainDecoder>(), this->generator(), std::move(listener));
        // Even seeds: a fleet as large as pauses grow for.
        reader->discovery->setReaders(GetParam() % 2 == 0 ? 106 : 18);
        this->readers.push_back(std::move(reader));
    }

    auto run(Duration duration) -> void
    {
        const auto end = this->events.now() + duration;
        while (this->events.now() < end) {
            for (auto index = std::size_t { 0 }; index < this->readers.size(); ++index) {
                if (!this->readers[index]->isFrozen)
                    this->tick(index);
            }
            this->events.runFor(step);
            this->check();
        }
    }

    auto tick(std::size_t index) -> void
    {
        const auto now = this->events.now();
        auto& reader = *this->readers[index];
        reader.zoneFeed->tick(this->isZoneReader(index), now);
        reader.discovery->tick(now);
        const auto notice = reader.zoneFeed->takeNotice(reader.discovery->feedStates(), now);
        if (!notice || reader.isMute)
            return;
        for (auto peer = std::size_t { 0 }; peer < this->readers.size(); ++peer) {
            const auto hears = peer != index && peer / hostsPerZone == index / hostsPerZone
                && !this->readers[peer]->isDeaf && !this->readers[peer]->isFrozen;
            if (hears)
                this->readers[peer]->zoneFeed->noteReader(VirtualPeers::addressOf(index), *notice, now);
        }
    }

    /// The zone's first host that membership takes for live. Hosts that hear nobody take the role themselves.
    [[nodiscard]] auto isZoneReader(std::size_t index) const -> bool
    {
        constexpr auto suspectAfter = 5s;
        if (this->readers[index]->isDeaf)
            return true;
        for (auto first = index / hostsPerZone * hostsPerZone; first < index; ++first) {
            const auto& other = *this->readers[first];
            const auto isSuspected = other.isFrozen && this->events.now() - other.frozenAt >= suspectAfter;
            if (!isSuspected)
                return false;
        }
        return true;
    }

    auto drawPeerFaults() -> void
    {
        for (auto& reader : this->readers) {
            reader->isMute = this->chance(0.1);
            reader->isDeaf = this->chance(0.1);
            const auto freezes = this->chance(0.1);
            if (freezes && !reader->isFrozen)
                reader->frozenAt = this->events.now();
            reader->isFrozen = freezes;
        }
    }

    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(this->generator) < probability;
    }

    auto pick(std::size_t count) -> std::size_t { return this->generator(static_cast<std::uint32_t>(count)); }

    auto drawFaults() -> void
    {
        constexpr auto kinds = std::to_array({ FeedFault::Refused, FeedFault::Silent, FeedFault::Slow });
        const auto storeFault = this->chance(0.3) ? kinds.at(this->pick(kinds.size())) : FeedFault::None;
        for (auto& reader : this->readers) {
            const auto own = this->chance(0.15) ? kinds.at(this->pick(kinds.size())) : FeedFault::None;
            reader->fault = storeFault == FeedFault::None ? own : storeFault;
            reader->feed->setFault(reader->fault);
        }
        this->storeFault = storeFault;
        if (this->chance(0.2)) {
            this->store.compact();
            this->lastStoreFaultAt = this->events.now();
        }
    }

    [[nodiscard]] auto isStoreStable() const -> bool
    {
        return this->storeFault == FeedFault::None && this->events.now() - this->lastStoreFaultAt >= stableWindow;
    }

    [[nodiscard]] auto isInTouch(const Reader& reader) const -> bool
    {
        return this->isStoreStable() && reader.fault == FeedFault::None
            && this->events.now() - reader.lastFaultAt >= stableWindow;
    }

    /// The store acknowledges at once; what it acknowledges while it is not stable binds nobody.
    auto withdraw() -> void
    {
        const auto now = this->events.now();
        const auto isBinding = this->isStoreStable();
        const auto name = "t" + std::to_string(this->pick(30));
        switch (this->pick(5)) {
        case 0:
            this->store.put("targets", name, "draining");
            this->note(this->withdrawn, name, isBinding, now);
            break;
        case 1:
            this->store.remove("targets", name);
            this->note(this->withdrawn, name, isBinding, now);
            break;
        case 2:
            this->store.put("targets", name, "ready");
            this->withdrawn.erase(name);
            break;
        case 3: {
            const auto zone = "z" + std::to_string(this->pick(3));
            this->store.put("evacuations", zone, {});
            this->note(this->emptied, zone, isBinding, now);
            break;
        }
        default:
            ++this->version;
            this->store.put("config", "config", std::to_string(this->version));
            if (isBinding)
                this->versions[this->version] = now;
            break;
        }
    }

    static auto note(std::map<std::string, TimePoint>& list, const std::string& name, bool isBinding, TimePoint now)
        -> void
    {
        if (isBinding)
            list.try_emplace(name, now);
    }

    auto check() -> void
    {
        const auto now = this->events.now();
        if (this->storeFault != FeedFault::None)
            this->lastStoreFaultAt = now;
        for (auto& reader : this->readers) {
            if (reader->fault != FeedFault::None || reader->isFrozen)
                reader->lastFaultAt = now;
            if (this->isInTouch(*reader))
                this->checkReader(*reader, now);
        }
    }

    auto checkReader(const Reader& reader, TimePoint now) -> void
    {
        ++this->checks;
        for (const auto& [name, at] : this->withdrawn)
            this->expect(!reader.usable.contains(name), now - at, drainBound, "target " + name);
        for (const auto& [zone, at] : this->emptied)
            this->expect(reader.evacuated.contains(zone), now - at, evacuationBound, "zone " + zone);
        for (const auto& [number, at] : this->versions)
            this->expect(reader.version >= number, now - at, configBound, "version " + std::to_string(number));
    }

    /// Late is what is not known when the bound has passed; the longest lag in touch is noted as a part of its bound.
    auto expect(bool isKnown, Duration age, Duration bound, const std::string& what) -> void
    {
        if (isKnown)
            return;
        const auto part = std::chrono::duration<double>(age) / bound;
        this->worst = std::max(this->worst, part);
        if (part > 1 && this->late.empty())
            this->late = what;
    }

    pcg32 generator;
    EventQueue events;
    QueueClock clock { this->events };
    Metrics metrics;
    VirtualObjects store { this->events, history };
    std::vector<std::unique_ptr<Reader>> readers;
    FeedFault storeFault = FeedFault::None;
    TimePoint lastStoreFaultAt {};
    std::map<std::string, TimePoint> withdrawn;
    std::map<std::string, TimePoint> emptied;
    std::map<std::uint64_t, TimePoint> versions;
    std::uint64_t version = 1;
    std::uint64_t checks = 0;
    double worst = 0;
    std::string late;
};

TEST_P(WithdrawalBound, HoldsUnderRandomFaults)
{
    for (auto round = 0; round < 30; ++round) {
        if (round % 3 == 0)
            this->drawFaults();
        if (round % 2 == 0)
            this->drawPeerFaults();
        for (auto count = this->pick(6); count > 0; --count) {
            this->withdraw();
            this->run(std::chrono::milliseconds { 20 + this->pick(400) });
        }
        this->run(std::chrono::milliseconds { 500 + this->pick(3000) });
        // A quiet time as long as a watch waits, now and then.
        if (this->chance(0.05))
            this->run(22s);
    }
    std::cout << "seed " << GetParam() << ": " << this->checks << " checks, used at most " << this->worst
              << " of the bound\n";
    EXPECT_GT(this->checks, 0U);
    EXPECT_EQ(this->late, "") << "seed " << GetParam() << ": known too late";
}

/// Hundreds of hosts watch the same few kinds, and each call is counted: without faults one host of each zone calls.
TEST_P(WithdrawalBound, OneHostOfAZoneReadsTheStore)
{
    this->run(40s);
    const auto callsOf = [this](bool ofFollowers) {
        auto sum = std::uint64_t { 0 };
        for (auto index = std::size_t { 0 }; index < this->readers.size(); ++index)
            sum += (index % hostsPerZone != 0) == ofFollowers ? this->readers[index]->feed->callsMade : 0;
        return sum;
    };
    const auto followersBefore = callsOf(true);
    const auto readersBefore = callsOf(false);
    for (auto round = 0; round < 30; ++round) {
        this->withdraw();
        this->run(std::chrono::milliseconds { 100 + this->pick(900) });
    }
    EXPECT_EQ(callsOf(true), followersBefore);
    EXPECT_GT(callsOf(false), readersBefore);
    EXPECT_EQ(this->late, "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, WithdrawalBound, testing::ValuesIn(campaignSeeds()));

} // namespace
} // namespace citronloft
