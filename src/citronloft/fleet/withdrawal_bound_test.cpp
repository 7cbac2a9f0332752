#include <random>

#include <gtest/gtest.h>

#include "citronloft/fleet/discovery.hpp"
#include "citronloft/fleet/zone_feed.hpp"
#include "fakes/fleet_fixture.hpp"
#include "fakes/virtual_feed.hpp"

namespace citronloft {
namespace {

/// Shortest bounds in the site files: 2.5 s for drain and configuration, 5 s for evacuation. They apply to a host after
/// 4 s (`stableWindow`) without a fault in the store or on the host's connection to it.
constexpr auto drainBound = 2500ms;
constexpr auto configBound = 2500ms;
constexpr auto evacuationBound = 5000ms;
constexpr auto stableWindow = 4s;
constexpr auto shortestStableWindow = 3s;
constexpr auto history = 20s;
constexpr auto step = 20ms;
constexpr auto hostsPerZone = std::size_t { 4 };

/// Decodes bodies that contain a version number (configuration) or a state (target).
class TestDecoder final : public PlatformDecoder {
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
        entry.live.target = { object.name, "a1", 8 };
        entry.live.target.draining = object.body == "draining";
        return entry;
    }
};

class EventQueueClock final : public Clock {
public:
    explicit EventQueueClock(const EventQueue& events)
        : events(events)
    {
    }

    [[nodiscard]] auto now() const -> TimePoint override { return this->events.now(); }

private:
    const EventQueue& events;
};

/// One simulated host: its feeds, faults and known state.
struct SimulatedHost {
    std::shared_ptr<VirtualFeed> feed;
    std::shared_ptr<ZoneFeed> zoneFeed;
    std::unique_ptr<Discovery> discovery;
    /// Messages to the other hosts of the zone are lost.
    bool losesSentMessages = false;
    /// Messages from the other hosts of the zone are lost.
    bool losesReceivedMessages = false;
    /// The process is paused; if it is the zone's reader, another host replaces it some seconds later.
    bool isPaused = false;
    TimePoint pausedAt {};
    std::uint64_t version = 0;
    std::set<std::string> usable;
    std::set<std::string> evacuated;
    TimePoint lastFaultAt {};
    FeedFault fault = FeedFault::None;
};

/// Reads peers' copies over connections that can fail.
class VirtualPeers final : public FeedFetcher {
public:
    VirtualPeers(EventQueue& events, std::vector<std::unique_ptr<SimulatedHost>>& hosts, std::size_t self)
        : events(events)
        , hosts(hosts)
        , self(self)
    {
    }

    static auto addressOf(std::size_t hostIndex) -> Address
    {
        return { "10.0.0.1", static_cast<std::uint16_t>(hostIndex) };
    }

    auto fetchFeed(const Address& peer, const FeedRequest& request, FeedFetcher::Done done) -> void override
    {
        constexpr auto timeout = 500ms;
        auto& own = *this->hosts[this->self];
        const auto& asked = *this->hosts[peer.port];
        const auto isLost = asked.isPaused || asked.losesReceivedMessages || asked.losesSentMessages
            || own.losesSentMessages || own.losesReceivedMessages;
        if (isLost) {
            this->events.after(timeout, [done] { done(absl::DeadlineExceededError("silent")); });
            return;
        }
        this->events.after(1ms, [done, batch = asked.discovery->serve(request)]() mutable { done(std::move(batch)); });
    }

private:
    EventQueue& events;
    std::vector<std::unique_ptr<SimulatedHost>>& hosts;
    std::size_t self;
};

/// Withdraws targets, zones and configurations (including keys) under random faults of the store, of the hosts'
/// connections to it and of the connections within each zone, and checks that hosts learn of each within its bound.
class WithdrawalBound : public testing::TestWithParam<int> {
protected:
    auto SetUp() -> void override
    {
        this->generator.seed(static_cast<std::uint64_t>(GetParam()));
        for (auto i = 0; i < 30; ++i)
            this->write("targets", "t" + std::to_string(i), "ready");
        this->write("config", "config", "1");
        constexpr auto simulatedHostCount = 12;
        for (auto i = 0; i < simulatedHostCount; ++i)
            this->startHost();
        this->run(3s);
    }

    /// Ends all pending calls, since they own the objects that they report to.
    ~WithdrawalBound() override
    {
        for (auto& host : this->simulatedHosts) {
            host->feed->setFault(FeedFault::Silent);
            // Watches that wait for a notice are sent to the store, where they time out.
            host->zoneFeed->tick(true, this->events.now());
        }
        this->events.runFor(1min);
    }

    auto startHost() -> void
    {
        auto host = std::make_unique<SimulatedHost>();
        auto* own = host.get();
        host->feed = std::make_shared<VirtualFeed>(this->events, this->store);
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
        listener.onQuarantines = [](const std::set<std::string>&) {};
        host->zoneFeed = std::make_shared<ZoneFeed>(ZoneFeedOption {}, this->clock, host->feed,
            std::make_shared<VirtualPeers>(this->events, this->simulatedHosts, this->simulatedHosts.size()));
        host->discovery = std::make_unique<Discovery>(this->clock, this->metrics, host->zoneFeed,
            std::make_shared<TestDecoder>(), this->generator(), std::move(listener));
        // Even seeds use a fleet so large that pauses reach their maximum.
        host->discovery->setReaderCount(GetParam() % 2 == 0 ? 106 : 18);
        this->simulatedHosts.push_back(std::move(host));
    }

    auto run(Duration duration) -> void
    {
        const auto end = this->events.now() + duration;
        while (this->events.now() < end) {
            for (auto index = std::size_t { 0 }; index < this->simulatedHosts.size(); ++index) {
                if (!this->simulatedHosts[index]->isPaused)
                    this->tick(index);
            }
            this->events.runFor(step);
            this->check();
        }
    }

    auto tick(std::size_t index) -> void
    {
        const auto now = this->events.now();
        auto& host = *this->simulatedHosts[index];
        host.zoneFeed->tick(this->readsDirectly || this->isZoneReader(index), now);
        const auto isReader = this->isZoneReader(index);
        host.discovery->setIsReader(isReader);
        host.discovery->tick(now);
        if (!isReader)
            return;
        const auto notice = host.zoneFeed->takeDueNotice(host.discovery->feedStates(), now);
        if (!notice || host.losesSentMessages)
            return;
        for (auto peer = std::size_t { 0 }; peer < this->simulatedHosts.size(); ++peer) {
            const auto isReceiver = peer != index && peer / hostsPerZone == index / hostsPerZone
                && !this->simulatedHosts[peer]->losesReceivedMessages && !this->simulatedHosts[peer]->isPaused;
            if (isReceiver)
                this->processNotice(*this->simulatedHosts[peer], VirtualPeers::addressOf(index), *notice);
        }
    }

    auto processNotice(SimulatedHost& host, const Address& reader, const FeedNotice& notice) -> void
    {
        if (this->readsDirectly)
            host.discovery->expectRevisions(notice.states, this->events.now());
        else
            host.zoneFeed->processNotice(reader, notice, this->events.now());
    }

    /// @return whether the host is the first of its zone that membership considers live. A host that receives no
    /// messages becomes a reader itself.
    [[nodiscard]] auto isZoneReader(std::size_t index) const -> bool
    {
        constexpr auto suspectAfter = 5s;
        if (this->simulatedHosts[index]->losesReceivedMessages)
            return true;
        for (auto first = index / hostsPerZone * hostsPerZone; first < index; ++first) {
            const auto& other = *this->simulatedHosts[first];
            const auto isSuspected = other.isPaused && this->events.now() - other.pausedAt >= suspectAfter;
            if (!isSuspected)
                return false;
        }
        return true;
    }

    auto drawPeerFaults() -> void
    {
        for (auto& host : this->simulatedHosts) {
            host->losesSentMessages = this->chance(0.1);
            host->losesReceivedMessages = this->chance(0.1);
            const auto willPause = this->chance(0.1);
            if (willPause && !host->isPaused)
                host->pausedAt = this->events.now();
            host->isPaused = willPause;
        }
    }

    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(this->generator) < probability;
    }

    auto pick(std::size_t count) -> std::size_t { return this->generator(static_cast<std::uint32_t>(count)); }

    auto drawStoreFaults() -> void
    {
        constexpr auto kinds = std::to_array({ FeedFault::Refused, FeedFault::Silent, FeedFault::Slow });
        const auto storeFault = this->chance(0.3) ? kinds.at(this->pick(kinds.size())) : FeedFault::None;
        for (auto& host : this->simulatedHosts) {
            const auto own = this->chance(0.15) ? kinds.at(this->pick(kinds.size())) : FeedFault::None;
            host->fault = storeFault == FeedFault::None ? own : storeFault;
            host->feed->setFault(host->fault);
        }
        this->storeFault = storeFault;
        if (this->chance(0.2)) {
            this->store.compact();
            this->lastStoreFaultAt = this->events.now();
        }
    }

    /// Restores the store from a copy after an outage. The operator and the targets write again what was lost, within
    /// the two seconds that the platform states.
    auto restoreStore() -> void
    {
        this->storeFault = FeedFault::Refused;
        for (auto& host : this->simulatedHosts) {
            host->fault = FeedFault::Refused;
            host->feed->setFault(FeedFault::Refused);
        }
        this->run(std::chrono::milliseconds { 20 + this->pick(3000) });
        const auto lost = this->store.restore(std::chrono::milliseconds { 500 + this->pick(12000) });
        this->storeFault = FeedFault::None;
        this->lastStoreFaultAt = this->events.now();
        for (auto& host : this->simulatedHosts) {
            host->fault = FeedFault::None;
            host->feed->setFault(FeedFault::None);
        }
        auto objects = std::set<std::pair<std::string, std::string>> {};
        for (const auto& change : lost)
            objects.emplace(change.kind, change.object.name);
        for (const auto& [kind, name] : objects) {
            constexpr auto rewriteTime = 1900U;
            this->events.after(std::chrono::milliseconds { this->pick(rewriteTime) },
                [this, kind = kind, name = name] { this->writeAgain(kind, name); });
        }
    }

    auto writeAgain(const std::string& kind, const std::string& name) -> void
    {
        const auto body = this->written[kind].find(name);
        if (body == this->written[kind].end())
            this->store.remove(kind, name);
        else
            this->store.put(kind, name, body->second);
    }

    auto write(const std::string& kind, const std::string& name, const std::string& body) -> void
    {
        this->written[kind][name] = body;
        this->store.put(kind, name, body);
    }

    auto remove(const std::string& kind, const std::string& name) -> void
    {
        this->written[kind].erase(name);
        this->store.remove(kind, name);
    }

    /// Makes the store, or the connections of about half of the hosts, take calls without answering them.
    auto silenceStore(Duration duration) -> void
    {
        const auto isForAll = this->chance(0.6);
        this->storeFault = isForAll ? FeedFault::Unanswered : FeedFault::None;
        for (auto& host : this->simulatedHosts) {
            host->fault = isForAll || this->chance(0.5) ? FeedFault::Unanswered : FeedFault::None;
            host->feed->setFault(host->fault);
        }
        this->run(duration);
        this->storeFault = FeedFault::None;
        for (auto& host : this->simulatedHosts) {
            host->fault = FeedFault::None;
            host->feed->setFault(FeedFault::None);
        }
    }

    auto setReaderFault(FeedFault fault) -> void
    {
        for (auto index = std::size_t { 0 }; index < this->simulatedHosts.size(); index += hostsPerZone) {
            this->simulatedHosts[index]->fault = fault;
            this->simulatedHosts[index]->feed->setFault(fault);
        }
    }

    [[nodiscard]] auto isStoreStable() const -> bool
    {
        return this->storeFault == FeedFault::None && this->events.now() - this->lastStoreFaultAt >= this->window;
    }

    [[nodiscard]] auto areBoundsBinding(const SimulatedHost& host) const -> bool
    {
        return this->isStoreStable() && host.fault == FeedFault::None
            && this->events.now() - host.lastFaultAt >= this->window;
    }

    /// Makes a random change, which the store acknowledges immediately. The bounds do not apply to changes made while
    /// the store is not stable.
    auto withdraw() -> void
    {
        const auto now = this->events.now();
        const auto isBinding = this->bindsUnstableChanges || this->isStoreStable();
        const auto name = "t" + std::to_string(this->pick(30));
        switch (this->pick(5)) {
        case 0:
            this->write("targets", name, "draining");
            this->recordBinding(this->withdrawnTargets, name, isBinding, now);
            break;
        case 1:
            this->remove("targets", name);
            this->recordBinding(this->withdrawnTargets, name, isBinding, now);
            break;
        case 2:
            this->write("targets", name, "ready");
            this->withdrawnTargets.erase(name);
            break;
        case 3: {
            const auto zone = "z" + std::to_string(this->pick(3));
            this->write("evacuations", zone, {});
            this->recordBinding(this->evacuatedZones, zone, isBinding, now);
            break;
        }
        default:
            ++this->version;
            this->write("config", "config", std::to_string(this->version));
            if (isBinding)
                this->configVersions[this->version] = now;
            break;
        }
    }

    static auto recordBinding(
        std::map<std::string, TimePoint>& list, const std::string& name, bool isBinding, TimePoint now) -> void
    {
        if (isBinding)
            list.try_emplace(name, now);
    }

    auto check() -> void
    {
        const auto now = this->events.now();
        if (this->storeFault != FeedFault::None)
            this->lastStoreFaultAt = now;
        for (auto& host : this->simulatedHosts) {
            if (host->fault != FeedFault::None || host->isPaused)
                host->lastFaultAt = now;
            if (this->areBoundsBinding(*host))
                this->checkHost(*host, now);
        }
    }

    auto checkHost(const SimulatedHost& host, TimePoint now) -> void
    {
        ++this->checks;
        for (const auto& [name, at] : this->withdrawnTargets)
            this->expect(!host.usable.contains(name), now - at, drainBound, "target " + name);
        for (const auto& [zone, at] : this->evacuatedZones)
            this->expect(host.evacuated.contains(zone), now - at, evacuationBound, "zone " + zone);
        for (const auto& [number, at] : this->configVersions)
            this->expect(host.version >= number, now - at, configBound, "version " + std::to_string(number));
    }

    /// Records a change as late if the host does not know it when the bound has passed, and the longest delay as a
    /// fraction of its bound.
    auto expect(bool isKnown, Duration age, Duration bound, const std::string& description) -> void
    {
        if (isKnown)
            return;
        const auto boundFraction = std::chrono::duration<double>(age) / bound;
        this->maxBoundFraction = std::max(this->maxBoundFraction, boundFraction);
        if (boundFraction > 1 && this->firstLate.empty())
            this->firstLate = description;
    }

    pcg32 generator;
    EventQueue events;
    EventQueueClock clock { this->events };
    Metrics metrics;
    VirtualObjects store { this->events, history };
    /// What the operator and the targets have written last, by kind and name.
    std::map<std::string, std::map<std::string, std::string>> written;
    std::vector<std::unique_ptr<SimulatedHost>> simulatedHosts;
    FeedFault storeFault = FeedFault::None;
    TimePoint lastStoreFaultAt {};
    std::map<std::string, TimePoint> withdrawnTargets;
    std::map<std::string, TimePoint> evacuatedZones;
    std::map<std::uint64_t, TimePoint> configVersions;
    std::uint64_t version = 1;
    /// Every host watches the store itself, as in the daemon.
    bool readsDirectly = false;
    /// Bounds apply to changes made while the store is not stable, once it is stable.
    bool bindsUnstableChanges = false;
    Duration window = stableWindow;
    std::uint64_t checks = 0;
    double maxBoundFraction = 0;
    std::string firstLate;
};

TEST_P(WithdrawalBound, HoldsUnderRandomFaults)
{
    for (auto round = 0; round < 30; ++round) {
        if (round % 3 == 0)
            this->drawStoreFaults();
        if (round % 2 == 0)
            this->drawPeerFaults();
        for (auto count = this->pick(6); count > 0; --count) {
            this->withdraw();
            this->run(std::chrono::milliseconds { 20 + this->pick(400) });
        }
        this->run(std::chrono::milliseconds { 500 + this->pick(3000) });
        // Occasionally runs without changes for longer than a watch waits.
        if (this->chance(0.05))
            this->run(22s);
    }
    std::cout << "seed " << GetParam() << ": " << this->checks << " checks, used at most " << this->maxBoundFraction
              << " of the bound\n";
    EXPECT_GT(this->checks, 0U);
    EXPECT_EQ(this->firstLate, "") << "seed " << GetParam() << ": learned of a withdrawal after its bound";
}

/// Guards against hosts that follow no store whose revisions have gone back: lists were discarded as too old, and a
/// configuration with a revision that was given out again was taken for the one before.
TEST_P(WithdrawalBound, HoldsWhenStoreIsRestoredFromCopy)
{
    for (auto round = 0; round < 20; ++round) {
        for (auto count = 1 + this->pick(5); count > 0; --count) {
            // Nobody writes the system's own objects again.
            for (auto own = this->pick(8); own > 0; --own)
                this->store.put("system", "s" + std::to_string(this->pick(5)), {});
            this->withdraw();
            this->run(std::chrono::milliseconds { 20 + this->pick(400) });
        }
        this->run(std::chrono::milliseconds { this->pick(6000) });
        if (this->chance(0.6))
            this->restoreStore();
        if (this->chance(0.3))
            this->drawPeerFaults();
        this->run(this->chance(0.5) ? stableWindow : 100ms);
    }
    this->run(10s);
    EXPECT_GT(this->checks, 0U);
    EXPECT_EQ(this->firstLate, "") << "seed " << GetParam() << ": learned of a withdrawal after its bound";
}

/// Guards against hosts that learn of no change after the store was silent: the watches that it took meanwhile were
/// never answered and ended only after their own wait.
TEST_P(WithdrawalBound, HoldsAfterStoreTookCallsWithoutAnsweringThem)
{
    this->readsDirectly = true;
    this->bindsUnstableChanges = true;
    this->window = shortestStableWindow;
    this->run(1s);
    for (auto round = 0; round < 20; ++round) {
        // A change ends the pending watches, so that the next ones meet the silent store.
        this->withdraw();
        this->run(std::chrono::milliseconds { this->pick(1200) });
        this->silenceStore(std::chrono::milliseconds { 100 + this->pick(8000) });
        for (auto count = 1 + this->pick(4); count > 0; --count) {
            this->withdraw();
            this->run(std::chrono::milliseconds { 20 + this->pick(400) });
        }
        this->run(std::chrono::milliseconds { 3000 + this->pick(3000) });
        this->withdraw();
        this->run(std::chrono::milliseconds { 1000 + this->pick(3000) });
    }
    EXPECT_GT(this->checks, 0U);
    EXPECT_EQ(this->firstLate, "") << "seed " << GetParam() << ": learned of a withdrawal after its bound";
}

/// Guards against hosts whose watches were lost while the reader of their zone cannot tell them so.
TEST_P(WithdrawalBound, HoldsWhileReadersAreRefusedAfterUnansweredCalls)
{
    this->readsDirectly = true;
    this->bindsUnstableChanges = true;
    this->window = shortestStableWindow;
    this->run(1s);
    for (auto round = 0; round < 20; ++round) {
        this->withdraw();
        this->run(std::chrono::milliseconds { this->pick(1200) });
        this->silenceStore(std::chrono::milliseconds { 100 + this->pick(3000) });
        this->setReaderFault(FeedFault::Refused);
        this->run(std::chrono::milliseconds { 2000 + this->pick(2000) });
        this->withdraw();
        this->run(4s);
        this->setReaderFault(FeedFault::None);
        this->run(std::chrono::milliseconds { 1000 + this->pick(3000) });
    }
    EXPECT_GT(this->checks, 0U);
    EXPECT_EQ(this->firstLate, "") << "seed " << GetParam() << ": learned of a withdrawal after its bound";
}

/// Guards against store calls from every host: hundreds of hosts watch the same few kinds, and the store counts each
/// call. Without faults only one host of each zone calls the store.
TEST_P(WithdrawalBound, OneHostOfAZoneReadsTheStore)
{
    this->run(40s);
    const auto callsOf = [this](bool ofFollowers) {
        auto sum = std::uint64_t { 0 };
        for (auto index = std::size_t { 0 }; index < this->simulatedHosts.size(); ++index)
            sum += (index % hostsPerZone != 0) == ofFollowers ? this->simulatedHosts[index]->feed->callsMade : 0;
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
    EXPECT_EQ(this->firstLate, "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, WithdrawalBound, testing::ValuesIn(campaignSeeds()));

} // namespace
} // namespace citronloft
