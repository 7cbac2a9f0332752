/// @file
/// @brief Keeps the requests in quarantine in the platform's store, for hosts that start later or are cut off from
/// others.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/log_limiter.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Kind of the objects that name requests in quarantine.
inline constexpr auto quarantineKind = "citronloft-quarantine";

/// @brief Changes that the store's objects call for.
struct QuarantineListener {
    /// A request is in quarantine until the given time.
    std::function<void(std::uint64_t request, TimePoint until)> onQuarantined;
    /// An operator has ended the quarantine of a request by deleting its object.
    std::function<void(std::uint64_t request)> onLifted;
};

/// @brief Publishes requests in quarantine and follows those of all hosts.
///
/// The name of an object states the request's identity and the end of its quarantine, to the minute, so that a list is
/// enough to read all of them and hosts that find the same request at once write the same object. Hosts do not delete
/// objects; an operator deletes one to end a quarantine early. If the store was restored from a copy that lacks an
/// object, its writer writes it again, or another host some seconds later.
class QuarantineRegistry : public std::enable_shared_from_this<QuarantineRegistry> {
public:
    using WallClock = std::function<std::chrono::system_clock::time_point()>;

    /// @param pollInterval interval at which the objects are listed; nothing if update() is called with them.
    QuarantineRegistry(const Clock& clock, WallClock wallClock, std::shared_ptr<ObjectStore> store,
        std::optional<Duration> pollInterval, std::uint64_t seed, QuarantineListener listener);

    /// @brief Writes an object for a request that this host has found to crash targets.
    auto publish(std::uint64_t request, TimePoint until) -> void;

    /// @brief Processes the names of all objects, after each change.
    auto update(const std::set<std::string>& names) -> void;

    /// @brief Starts the calls that are due; call about every 20 ms.
    auto tick(TimePoint now) -> void;

private:
    struct Entry {
        std::uint64_t request = 0;
        TimePoint until;
        /// Era of the store in which the object was last seen.
        std::uint64_t era = 0;
    };

    auto processMissing(TimePoint now, const std::set<std::string>& names) -> void;
    auto processPresent(TimePoint now, const std::set<std::string>& names) -> void;
    auto logMalformed(const std::string& name, TimePoint now) -> void;
    [[nodiscard]] auto rewriteTime(const std::string& name, TimePoint now) -> TimePoint;
    auto writeNext(TimePoint now) -> void;
    auto poll(TimePoint now) -> void;
    [[nodiscard]] auto nameOf(std::uint64_t request, TimePoint until) const -> std::string;
    [[nodiscard]] auto parse(const std::string& name) const -> std::optional<Entry>;

    const Clock& clock;
    WallClock wallClock;
    std::shared_ptr<ObjectStore> store;
    std::optional<Duration> pollInterval;
    pcg32 random;
    QuarantineListener listener;
    LogLimiter logLimiter;
    /// Known objects, by name.
    std::map<std::string, Entry> entries;
    /// Names of the objects that are to be written, and from when on.
    std::map<std::string, TimePoint> unwritten;
    /// Names of the objects that this host has written, with the end of their quarantine.
    std::map<std::string, TimePoint> written;
    bool isWriting = false;
    bool isPolling = false;
    TimePoint nextWriteAt {};
    TimePoint nextPollAt {};
};

} // namespace citronloft
