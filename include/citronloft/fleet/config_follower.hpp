/// @file
/// @brief Keeps this host's configuration at the newest accepted version; it never goes back.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "citronloft/fleet/config_manifest.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief A version of the configuration that a host has put in force.
struct ActiveConfig {
    std::uint64_t version = 0;
    Config config;
};

/// @brief One host asks another for what it lacks.
struct ConfigRequest {
    std::uint64_t haveVersion = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->haveVersion); }
};

/// @brief Fetches configuration from a peer.
class ConfigFetcher {
public:
    using Done = std::function<void(absl::StatusOr<ConfigUpdate>)>;

    virtual ~ConfigFetcher() = default;

    virtual auto fetch(const Address& peer, const ConfigRequest& request, Done done) -> void = 0;
};

/// @brief Follows the accepted configuration.
///
/// The zone's delegates watch the manifest in the store. A host that puts a version in force tells a few peers at once,
/// and every host fetches from a peer whose heartbeat names a higher version. Only a version greater than the one in
/// force is ever put in force, whatever its source.
class ConfigFollower : public std::enable_shared_from_this<ConfigFollower> {
public:
    using InForce = std::function<void(std::shared_ptr<const ActiveConfig>)>;

    ConfigFollower(const Clock& clock, Membership& membership, PeerTransport& transport,
        std::shared_ptr<ObjectStore> store, std::shared_ptr<ConfigFetcher> fetcher, InForce inForce);

    /// @brief Puts a configuration in force that this host has read from a platform itself.
    auto offer(std::uint64_t version, Config config) -> void;

    /// @brief Leaves the store's manifest alone: configurations come by offer(), and from a peer only if it has been
    /// ahead for `patience`.
    auto followOffers(Duration patience) -> void;

    /// @brief Takes in a peer's notice of a newer version.
    auto receive(const ConfigNotice& notice, const Address& from, TimePoint now) -> void;

    /// @brief Starts watches and fetches that are due.
    auto tick(TimePoint now) -> void;

    /// @brief Notes a peer's age of freshness, if it has the same version.
    auto notePeer(const GossipMessage& message, TimePoint now) -> void;

    /// @brief Answers a peer's request from memory: a delta if one is kept, else everything.
    [[nodiscard]] auto serve(const ConfigRequest& request) const -> absl::StatusOr<ConfigUpdate>;

    /// @return the configuration in force, or null.
    [[nodiscard]] auto active() const -> std::shared_ptr<const ActiveConfig> { return this->current; }

    /// @return time since the last sign that the configuration in force is the newest.
    [[nodiscard]] auto age(TimePoint now) const -> Duration { return now - this->freshAt; }

private:
    auto startWatch(TimePoint now) -> void;
    auto withManifest(const StoredObject& object) -> void;
    auto startFetch(const Address& peer, TimePoint now) -> void;
    auto notifyPeers(std::uint64_t oldVersion) -> void;
    auto apply(const ConfigUpdate& update) -> bool;
    auto putAllInForce(ConfigRecords newRecords, std::uint64_t version, const std::string& expected) -> bool;
    auto putDeltaInForce(const ConfigUpdate& update) -> bool;
    auto changeRecords(const std::vector<RecordChange>& changes) -> std::vector<RecordChange>;
    auto finish(std::uint64_t version, Config config) -> void;
    [[nodiscard]] auto version() const -> std::uint64_t { return this->current ? this->current->version : 0; }

    const Clock& clock;
    Membership& membership;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<ConfigFetcher> fetcher;
    InForce inForce;
    std::shared_ptr<const ActiveConfig> current;
    ConfigRecords records;
    RecordsDigest digest;
    std::deque<ConfigUpdate> recent;
    std::uint64_t watchedVersion = absentVersion;
    /// Configurations come by offer().
    bool isOffered = false;
    Duration fetchPatience {};
    /// Since when a peer has named a newer version; the default means that none does.
    TimePoint behindSince {};
    bool isWatching = false;
    bool isFetching = false;
    TimePoint nextWatchAt {};
    TimePoint nextFetchAt {};
    TimePoint freshAt {};
};

} // namespace citronloft
