/// @file
/// @brief Keeps this host's configuration at the newest accepted version and never reverts to an older one.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "citronloft/fleet/config_manifest.hpp"
#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Where a host has read a configuration.
enum class ConfigSource : std::uint8_t { Store, Peer };

/// @return name of a source in lower case.
auto configSourceName(ConfigSource source) -> std::string_view;

/// @brief A configuration that is active on a host, with its version.
struct ActiveConfig {
    std::uint64_t version = 0;
    Config config;
    ConfigSource source = ConfigSource::Store;
};

/// @brief Request to a peer for the changes since the version that the sender has.
struct ConfigRequest {
    std::uint64_t knownVersion = 0;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->knownVersion); }
};

/// @brief Fetches configuration updates from a peer.
class ConfigFetcher {
public:
    using Done = std::function<void(absl::StatusOr<ConfigUpdate>)>;

    virtual ~ConfigFetcher() = default;

    virtual auto fetch(const Address& peer, const ConfigRequest& request, Done done) -> void = 0;
};

/// @brief Follows the accepted configuration.
///
/// The delegates of a zone watch the manifest in the store. A host that applies a version immediately notifies a few
/// peers, and every host fetches updates from a peer whose heartbeat reports a higher version. A version is applied
/// only if it is greater than the active one, whatever its source.
class ConfigFollower : public std::enable_shared_from_this<ConfigFollower> {
public:
    using AppliedCallback = std::function<void(std::shared_ptr<const ActiveConfig>)>;

    ConfigFollower(const Clock& clock, Membership& membership, PeerTransport& transport,
        std::shared_ptr<ObjectStore> store, std::shared_ptr<ConfigFetcher> fetcher, AppliedCallback onApplied);

    /// @brief Applies a configuration that this host has read from the platform itself.
    auto applyPlatformConfig(std::uint64_t version, Config config) -> void;

    /// @brief Stops reading the manifest from the store: configurations then arrive through applyPlatformConfig(), and
    /// are fetched from a peer only after a peer has reported a newer version for `fetchDelay`.
    auto usePlatformConfig(Duration fetchDelay) -> void;

    /// @brief Processes a peer's notice of a newer version.
    auto receive(const ConfigNotice& notice, const Address& from, TimePoint now) -> void;

    /// @brief Starts the watches and fetches that are due.
    auto tick(TimePoint now) -> void;

    /// @brief Updates the age of this host's configuration from a peer's heartbeat if the peer has the same version,
    /// and notifies the peer if it has an older one.
    auto updateFromPeer(const GossipMessage& message, TimePoint now) -> void;

    /// @brief Answers a peer's request from memory.
    /// @return the changes since the requested version if they are kept, otherwise all records; NotFound if there is no
    /// newer version.
    [[nodiscard]] auto serve(const ConfigRequest& request) const -> absl::StatusOr<ConfigUpdate>;

    /// @return the active configuration, or null.
    [[nodiscard]] auto active() const -> std::shared_ptr<const ActiveConfig> { return this->current; }

    /// @return the time since the active configuration was last confirmed to be the newest.
    [[nodiscard]] auto age(TimePoint now) const -> Duration { return now - this->confirmedAt; }

private:
    auto startWatch(TimePoint now) -> void;
    auto processManifest(const StoredObject& object) -> void;
    auto startPeerFetch(const Address& peer, TimePoint now) -> void;
    auto notifyPeers(std::uint64_t oldVersion) -> void;
    auto apply(const ConfigUpdate& update, ConfigSource source) -> bool;
    auto applyRecords(ConfigRecords newRecords, std::uint64_t version, const std::string& expected, ConfigSource source)
        -> bool;
    auto applyDelta(const ConfigUpdate& update, ConfigSource source) -> bool;
    auto applyRecordChanges(const std::vector<RecordChange>& changes) -> std::vector<RecordChange>;
    auto activate(std::uint64_t version, Config config, ConfigSource source) -> void;
    [[nodiscard]] auto version() const -> std::uint64_t { return this->current ? this->current->version : 0; }

    const Clock& clock;
    Membership& membership;
    PeerTransport& transport;
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<ConfigFetcher> fetcher;
    AppliedCallback onApplied;
    std::shared_ptr<const ActiveConfig> current;
    ConfigRecords records;
    RecordsDigest digest;
    std::deque<ConfigUpdate> recentUpdates;
    StoreRevision watchedVersion = absentVersion;
    /// Configurations arrive through applyPlatformConfig() instead of the store's manifest.
    bool usesPlatformConfig = false;
    Duration peerFetchDelay {};
    /// Time since which a peer has reported a newer version; the default value if none does.
    TimePoint behindSince {};
    bool isWatching = false;
    bool isFetching = false;
    TimePoint nextWatchAt {};
    TimePoint nextFetchAt {};
    TimePoint confirmedAt {};
};

} // namespace citronloft
