/// @file
/// @brief Simulation of many hosts over a lossy network and a fake store in virtual time, for fleet tests.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/fleet/config_publisher.hpp"
#include "citronloft/fleet/fleet_host.hpp"
#include "citronloft/model/event_queue.hpp"

namespace citronloft {

/// @brief A host's clock, which drifts from the simulated time.
class DriftingClock final : public Clock {
public:
    DriftingClock(const EventQueue& events, double drift)
        : events(events)
        , drift(drift)
        , start(events.now())
    {
    }

    [[nodiscard]] auto now() const -> TimePoint override
    {
        const auto elapsed = std::chrono::duration<double, Duration::period>(this->events.now() - this->start);
        return this->start + std::chrono::duration_cast<Duration>(elapsed * (1 + this->drift));
    }

private:
    const EventQueue& events;
    double drift;
    TimePoint start;
};

/// @brief Faults of the network and the store.
struct WorldFaults {
    double loss = 0;
    double duplication = 0;
    /// Fraction of the messages whose delay is up to ten times as long.
    double slow = 0;
    bool storeDown = false;
    /// The store takes new watches and never answers them, also not after the fault.
    bool losesWatches = false;
    double lostReplies = 0;
    double staleReads = 0;
    /// Pairs of zones that cannot reach each other.
    std::set<std::pair<std::string, std::string>> cuts;
    /// One-way partitions: (from, to) pairs of zones whose datagrams are lost; the reverse direction works.
    std::set<std::pair<std::string, std::string>> oneWayCuts {};
    /// IP addresses of hosts that receive no datagrams, and of hosts whose datagrams are all lost.
    std::set<std::string> receiveBlocked {};
    std::set<std::string> sendBlocked {};
    /// Zones that cannot reach the store.
    std::set<std::string> cutFromStore;
};

/// @brief Options of a simulated world.
struct WorldOption {
    std::uint64_t seed = 1;
    std::vector<std::string> zones { "a1", "a2", "b1", "b2" };
    std::size_t hostsPerZone = 3;
    Duration tick = std::chrono::milliseconds { 20 };
    Duration insideZone = std::chrono::milliseconds { 1 };
    /// Latency between zones of one region, that is, zones whose names begin with the same letter.
    Duration insideRegion = std::chrono::milliseconds { 20 };
    Duration betweenZones = std::chrono::milliseconds { 20 };
    Duration store = std::chrono::milliseconds { 5 };
    double drift = 0.005;
    /// Messages that a host processes without delay in one tick; the others are processed `overloadDelay` later, as on
    /// a host whose share of a core is used up. 0: no limit.
    std::size_t messagesPerTick = 0;
    Duration overloadDelay = std::chrono::milliseconds { 60 };
    FleetHostOption host {};
};

/// @brief The simulated world and its hosts.
class VirtualWorld {
public:
    /// @brief One host, running or stopped.
    struct Node {
        std::string zone;
        Address address;
        std::unique_ptr<DriftingClock> clock;
        std::unique_ptr<PeerTransport> transport;
        std::unique_ptr<FleetHost> host;
        std::vector<std::uint64_t> versions;
        bool alive = true;
        bool paused = false;
        std::vector<std::function<void()>> held;
        std::uint64_t bytesSent = 0;
        std::uint64_t messagesSent = 0;
        /// Start of the current tick and the messages received since; only maintained if `messagesPerTick` is set.
        TimePoint tickStartedAt {};
        std::size_t messagesInTick = 0;
        std::uint64_t messagesDelayed = 0;
    };

    explicit VirtualWorld(WorldOption option);

    EventQueue events;
    WorldFaults faults;
    std::vector<std::unique_ptr<Node>> nodes;
    /// Store calls that were answered or lost.
    std::uint64_t storeCalls = 0;

    /// @brief Starts a host and returns its index.
    auto startHost(const std::string& zone) -> std::size_t;

    auto crash(std::size_t index) -> void { this->nodes[index]->alive = false; }
    auto pause(std::size_t index) -> void { this->nodes[index]->paused = true; }
    auto resume(std::size_t index) -> void;

    /// @brief Applies a configuration through the publisher and runs the world until the publisher answers.
    auto apply(const Config& config) -> ApplyResult;

    auto run(Duration duration) -> void { this->events.runFor(duration); }

    /// @return the rest of each key of the store that begins with `prefix`.
    [[nodiscard]] auto storedNames(const std::string& prefix) const -> std::set<std::string>;

    /// @brief Restores the store from a copy that is `age` old; its versions are given out again from there.
    auto restoreStore(Duration age) -> void;

    /// @brief Runs the world until the condition holds or the time limit expires.
    /// @return true if the condition held in time.
    auto runUntil(const std::function<bool()>& condition, Duration limit) -> bool;

    [[nodiscard]] auto random(double probability) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(this->generator) < probability;
    }

    pcg32 generator;

private:
    class Transport;
    class StoreClient;
    class Fetcher;

    struct Object {
        std::string value;
        StoreRevision version;
        std::string oldValue;
        StoreRevision oldVersion;
    };

    /// A write, and the object that it replaced.
    struct UndoEntry {
        TimePoint at;
        std::string key;
        Object replaced;
    };

    auto deliver(Node& node, std::function<void()> action) -> void;
    /// Delivers a datagram, with a delay if the host has received too many in this tick.
    auto deliverDatagram(Node& node, std::function<void()> action) -> void;
    auto scheduleTick(Node& node, Duration delay) -> void;
    auto isCut(const std::string& left, const std::string& right) const -> bool;
    [[nodiscard]] auto isLost(const Node& sender, const Node& receiver) const -> bool;
    auto find(const Address& address) -> Node*;

    WorldOption option;
    std::map<std::string, Object> objects;
    std::vector<UndoEntry> undo;
    std::uint64_t lastVersion = 0;
    std::uint64_t storeEra = 0;
    std::uint64_t lastIncarnation = 0;
};

} // namespace citronloft
