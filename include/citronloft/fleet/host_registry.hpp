/// @file
/// @brief Lets hosts find each other through the platform's store, where each host writes one object.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief A host that has registered; it may no longer be running.
struct RegisteredHost {
    std::string zone;
    std::string ip;

    auto operator==(const RegisteredHost&) const -> bool = default;
};

/// @brief Registers this host once and reads the list of registered hosts. Membership tracks which of them are live.
///
/// A host's object is written at its first start and never removed, so that when the whole fleet restarts every host
/// finds the others with one list call. A store that was restored from a copy may lack the object; each host then reads
/// its own, and writes it again if it is missing.
class HostRegistry : public std::enable_shared_from_this<HostRegistry> {
public:
    using ListedCallback = std::function<void(const std::vector<RegisteredHost>&)>;

    HostRegistry(RegisteredHost self, const Clock& clock, std::shared_ptr<ObjectStore> store, std::uint64_t seed,
        ListedCallback onListed);

    /// @brief Starts calls that are due; call about every 20 ms.
    auto tick(TimePoint now) -> void;

    /// @return whether the list of hosts has been read.
    [[nodiscard]] auto isListRead() const -> bool { return this->isListed; }

private:
    auto registerSelf() -> void;
    auto readList() -> void;
    auto confirmRegistration() -> void;
    [[nodiscard]] auto delayUpTo(Duration limit) -> Duration;
    auto scheduleRetry() -> void;

    RegisteredHost self;
    const Clock& clock;
    std::shared_ptr<ObjectStore> store;
    pcg32 random;
    ListedCallback onListed;
    bool isCallPending = false;
    bool isRegistered = false;
    bool isListed = false;
    /// Newest era of the store that is known to contain this host's object.
    std::uint64_t confirmedEra = 0;
    /// Newest era of the store for which a confirmation is scheduled.
    std::uint64_t scheduledEra = 0;
    Duration backoff {};
    TimePoint nextCallAt {};
};

} // namespace citronloft
