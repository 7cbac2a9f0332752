/// @file
/// @brief Chooses the target of a request: two random choices, by what this host sees itself before what targets
/// report.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/config.hpp"
#include "citronloft/policy/target_health.hpp"

namespace citronloft {

/// @brief Limits of a pool.
struct TargetPoolOption {
    /// Consecutive failures that eject a target.
    unsigned failuresToEject = 3;
    Duration ejectFor = std::chrono::seconds { 2 };
    Duration greatestEjection = std::chrono::seconds { 30 };
    /// Part of the targets that ejection must leave in use.
    double floor = 0.5;
    /// Time over which a new target's limit grows from one request to its full part.
    Duration rampTime = std::chrono::seconds { 5 };
    /// Requests beyond a target's even part that one host may have in flight there.
    double overcommit = 1.5;
    /// Reports older than this are ignored.
    Duration reportMaxAge = std::chrono::seconds { 3 };
    /// A target that shed lately is not believed to be idle.
    Duration distrustAfterShed = std::chrono::seconds { 2 };
};

/// @brief How a request ended at its target, as far as the target's health is concerned.
enum class TargetResult : std::uint8_t {
    Answered,
    /// The target said that it did not run the request.
    Shed,
    /// No connection, no whole answer, or an answer of 5xx.
    Failed,
    /// The caller went away; says nothing of the target.
    Abandoned,
};

/// @brief What a target says of itself.
struct TargetReport {
    std::uint32_t inFlight = 0;
    bool draining = false;
};

/// @brief A target as status pages show it.
struct TargetView {
    std::string address;
    TargetState state = TargetState::Probing;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
};

/// @brief The targets of one pool in one zone.
class TargetPool {
public:
    TargetPool(TargetPoolOption option, std::uint64_t seed);

    /// @brief Puts a configuration in force; targets that stay keep their state.
    auto setTargets(const std::vector<Target>& targets, TimePoint now) -> void;

    /// @param part part of every target's slots and connections that belongs to this host, from 0 to 1.
    auto setHostPart(double part) -> void { this->hostPart = part; }

    /// @brief Chooses a target with room and counts the request as in flight there.
    /// @param avoid address to leave out unless there is no other, for retries.
    /// @return the target's address, or nothing if no usable target has room.
    auto acquire(const std::string& avoid, TimePoint now) -> std::optional<std::string>;

    /// @brief Ends a request.
    auto release(const std::string& address, TargetResult result, Duration latency, TimePoint now) -> void;

    /// @brief Takes in a target's own report.
    auto report(const std::string& address, TargetReport report, TimePoint now) -> void;

    /// @brief Takes in the result of a probe.
    auto probed(const std::string& address, bool ok, TimePoint now) -> void;

    /// @return whether some target could take a request, now or when others end.
    [[nodiscard]] auto isUsable(TimePoint now) const -> bool;

    /// @return requests that could be started now.
    [[nodiscard]] auto freeSlots(TimePoint now) const -> std::uint32_t;

    /// @return requests that may be in flight at the same time.
    [[nodiscard]] auto totalSlots(TimePoint now) const -> std::uint32_t;

    /// @return smoothed time that a target needs for one request.
    [[nodiscard]] auto serviceTime() const -> Duration { return this->meanLatency; }

    /// @return connections that this host may have open to a target.
    [[nodiscard]] auto connectionLimit(const std::string& address) const -> std::uint32_t;

    [[nodiscard]] auto views(TimePoint now) const -> std::vector<TargetView>;

private:
    struct Member {
        Target target;
        std::unique_ptr<TargetHealth> health;
        std::uint32_t inFlight = 0;
        unsigned failures = 0;
        unsigned ejections = 0;
        /// Limit after sheds: halved by each, grown back by answers.
        double shedFactor = 1;
        TimePoint rampStartedAt {};
        TimePoint ejectedUntil {};
        TimePoint shedAt {};
        TimePoint reportedAt {};
        std::uint32_t reportedInFlight = 0;
        bool reportedDraining = false;
    };

    auto find(const std::string& address) -> Member*;
    auto updateDrain(Member& member) -> void;
    auto recordFailure(Member& member, TimePoint now) -> void;
    auto recordAnswer(Member& member, TimePoint now) -> void;
    [[nodiscard]] auto mayEject() const -> bool;
    [[nodiscard]] auto takesWork(const Member& member) const -> bool;
    [[nodiscard]] auto limitOf(const Member& member, TimePoint now) const -> std::uint32_t;
    [[nodiscard]] auto loadOf(const Member& member, TimePoint now) const -> double;

    TargetPoolOption option;
    pcg32 random;
    std::vector<Member> members;
    double hostPart = 1;
    Duration meanLatency = std::chrono::milliseconds { 5 };
};

} // namespace citronloft
