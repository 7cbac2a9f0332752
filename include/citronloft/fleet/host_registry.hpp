/// @file
/// @brief Hosts find each other by an object each in the platform's store.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief A host that has registered, alive or not.
struct RegisteredHost {
    std::string zone;
    std::string ip;

    auto operator==(const RegisteredHost&) const -> bool = default;
};

/// @brief Registers this host once and reads the others; liveness is membership's matter.
///
/// An object is written at a host's first start and stays, so that a fleet that restarts as a whole knows itself from
/// one list.
class HostRegistry : public std::enable_shared_from_this<HostRegistry> {
public:
    using Found = std::function<void(const std::vector<RegisteredHost>&)>;

    HostRegistry(
        RegisteredHost self, const Clock& clock, std::shared_ptr<ObjectStore> store, std::uint64_t seed, Found found);

    /// @brief Starts calls that are due; to be called every 20 ms or so.
    auto tick(TimePoint now) -> void;

    /// @return whether a list has been read.
    [[nodiscard]] auto isRead() const -> bool { return this->hasList; }

private:
    auto writeSelf() -> void;
    auto readList() -> void;
    auto retryLater() -> void;

    RegisteredHost self;
    const Clock& clock;
    std::shared_ptr<ObjectStore> store;
    pcg32 random;
    Found found;
    bool isCalling = false;
    bool isWritten = false;
    bool hasList = false;
    Duration backoff {};
    TimePoint nextCallAt {};
};

} // namespace citronloft
