/// @file
/// @brief Which hosts live: gossip inside the zone, summaries by delegates between zones.
///
/// Membership is advice for look-ups, loans and fetches. It never decides who may hold a share; leases do.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief Intervals and limits of membership.
struct MembershipOption {
    Duration gossipInterval = std::chrono::milliseconds { 500 };
    Duration delegateInterval = std::chrono::seconds { 1 };
    /// Silence after which a host is left out of look-ups.
    Duration suspectAfter = std::chrono::seconds { 2 };
    /// Silence after which a host counts as gone.
    Duration removeAfter = std::chrono::seconds { 5 };
    /// Silence after which a zone counts as cut off.
    Duration zoneRemoveAfter = std::chrono::seconds { 10 };
    std::size_t gossipFanout = 2;
    std::size_t membersPerMessage = 16;
    std::size_t summariesPerMessage = 8;
    std::size_t hostsPerSummary = 12;
    /// Hosts of each zone that talk to other zones and read the store for the zone.
    std::size_t delegates = 2;
    /// Addresses to greet while their hosts are unknown.
    std::vector<Address> seeds;
};

/// @brief Membership of one host.
class Membership {
public:
    /// @param self identity and addresses of this host.
    /// @param transport outlives the membership.
    Membership(MembershipOption option, HostEntry self, PeerTransport& transport, std::uint64_t seed);

    /// @brief Sends what is due and forgets silent hosts; to be called every 50 ms or so.
    auto tick(TimePoint now) -> void;

    /// @brief Takes in a heartbeat.
    auto receive(const GossipMessage& message, TimePoint now) -> void;

    /// @brief What this host says of itself; changes go out with the next heartbeat.
    auto self() -> HostEntry& { return this->own; }
    [[nodiscard]] auto self() const -> const HostEntry& { return this->own; }

    /// @brief Sends heartbeats at once, for example when a new configuration is in force.
    auto hasten() -> void { this->nextGossipAt = TimePoint {}; }

    /// @brief Adds an address to greet, for example the steward that the store names.
    auto addSeed(const Address& seed) -> void;

    /// @brief Sets the source of the age that heartbeats carry for the configuration.
    auto setConfigAge(std::function<Duration()> age) -> void { this->configAge = std::move(age); }

    /// @return live hosts of this zone without this one, as of the last tick or message; suspected ones are left out.
    [[nodiscard]] auto zonePeers() const -> const std::vector<HostEntry>& { return this->livePeers; }

    /// @return live hosts of other zones, as far as their summaries name them.
    [[nodiscard]] auto remoteHosts() const -> const std::vector<HostEntry>& { return this->liveRemote; }

    /// @return live hosts of one zone, this host included if it is its zone.
    [[nodiscard]] auto hostsOf(const std::string& zone, TimePoint now) const -> std::vector<HostEntry>;

    /// @return whether this host is a delegate of its zone.
    [[nodiscard]] auto isDelegate() const -> bool;

    /// @return the zone's steward with the greatest epoch, if one is known to live.
    [[nodiscard]] auto steward() const -> std::optional<HostEntry>;

    /// @return greatest steward epoch that any host of the zone has named.
    [[nodiscard]] auto greatestEpoch() const -> std::uint32_t { return this->highestEpoch; }

    /// @return a live host with a newer configuration than `version`, zone peers first.
    [[nodiscard]] auto hostWithNewerConfig(std::uint64_t version) const -> std::optional<HostEntry>;

    /// @return live hosts of this zone, this one included.
    [[nodiscard]] auto zoneSize() const -> std::size_t { return this->livePeers.size() + 1; }

private:
    struct Member {
        HostEntry entry;
        TimePoint heardAt;
    };

    struct Summary {
        ZoneSummary summary;
        TimePoint heardAt;
    };

    auto mergeMember(const HostEntry& entry, TimePoint now) -> void;
    auto mergeSummary(const ZoneSummary& summary, TimePoint now) -> void;
    auto forgetSilent(TimePoint now) -> void;
    auto refreshViews(TimePoint now) -> void;
    auto gossip(TimePoint now) -> void;
    auto gossipBetweenZones(TimePoint now) -> void;
    auto greetSeeds(TimePoint now) -> void;
    auto message(TimePoint now, bool withMembers, bool withOwnZone) -> GossipMessage;
    auto ownSummary() -> ZoneSummary;
    [[nodiscard]] auto newestSummary(const std::string& zone, TimePoint now) const -> const Summary*;
    auto greetSilentMember(TimePoint now) -> void;
    [[nodiscard]] auto isLiveAddress(const Address& address) const -> bool;

    MembershipOption option;
    HostEntry own;
    PeerTransport& transport;
    pcg32 random;
    std::function<Duration()> configAge;
    std::map<std::uint64_t, Member> members;
    /// By zone and publisher.
    std::map<std::string, std::map<std::uint64_t, Summary>> summaries;
    std::vector<HostEntry> livePeers;
    std::vector<HostEntry> liveRemote;
    bool isViewStale = true;
    TimePoint viewedAt {};
    std::uint32_t highestEpoch = 0;
    TimePoint nextGossipAt {};
    TimePoint nextDelegateAt {};
    std::size_t summaryCursor = 0;
};

} // namespace citronloft
