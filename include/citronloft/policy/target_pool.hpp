/// @file
/// @brief Chooses the target of a request by what this host sees itself before what targets report.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <pcg_random.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/base/config.hpp"
#include "citronloft/policy/live_target.hpp"
#include "citronloft/policy/target_health.hpp"
#include "citronloft/policy/target_load.hpp"

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
    /// Notices that are older than this are ignored.
    Duration noticeMaxAge = std::chrono::seconds { 1 };
    /// Reports lose their weight up to this age.
    Duration reportMaxAge = std::chrono::seconds { 3 };
    /// A target that shed lately is not believed to be idle.
    Duration distrustAfterShed = std::chrono::seconds { 2 };
    /// Factor on a target's limit after each shed.
    double shedBackoff = 0.5;
    /// True: an ejected target is tried again by a request once its ejection is over, without a probe.
    bool returnsWithoutProbe = false;
    /// Targets that an object's requests are sent to, the first with a free slot each time. Few keep the object warm
    /// there; a request that would go further runs several times as long and takes the room of others.
    std::size_t targetsPerObject = 3;
    /// Load in slots from which an object's next target is preferred. Above 1, since a short wait for a target that
    /// holds the object costs less than a run on one that does not.
    double passOverLoad = 1;
    /// Load in slots up to which an object's next target is taken instead. When all targets are busy, runs that miss
    /// the object would only make them busier.
    double passToLoad = 0.7;
    /// Requests waiting at a target, as a part of its slots, up to which more are sent there when no slot is free.
    double queueAtTarget = 0.35;
};

/// @return limits for targets that discovery finds and that tell their load with each answer.
auto discoveredPoolOption() -> TargetPoolOption;

/// @brief How a request ended at its target, as far as the target's health is concerned.
enum class TargetResult : std::uint8_t {
    Answered,
    /// The target said that it did not run the request.
    Shed,
    /// No whole answer, or an answer of 5xx.
    Failed,
    /// The caller went away; says nothing of the target.
    Abandoned,
    /// No connection could be opened in time.
    Unreachable,
    /// Another server has the target's address.
    Misdirected,
};

/// @brief What a target says of itself.
struct TargetReport {
    std::uint32_t inFlight = 0;
    bool draining = false;
};

/// @brief What a request asks of its target.
struct TargetWish {
    /// Keys of targets to leave out.
    std::vector<std::string> avoid;
    /// Hash of the object that the request concerns; unset: the request goes to the less loaded of two targets.
    std::optional<std::uint64_t> object;
    /// Regions in which the request may run; empty: all.
    std::vector<std::string> regions;
};

/// @brief A target as status pages show it.
struct TargetView {
    std::string address;
    TargetState state = TargetState::Probing;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
};

/// @brief The targets of one pool that this host may send to.
///
/// Objects are spread by weighted rendezvous hashing, so that all hosts of a zone agree on an object's target without
/// talking; a target whose load has reached its slots is passed over (consistent hashing with bounded loads).
class TargetPool {
public:
    /// @brief Requests per second that this host may send to a cold target.
    using ColdPart = std::function<double(const LiveTarget&)>;

    TargetPool(TargetPoolOption option, std::uint64_t seed);

    /// @brief Puts fixed targets in force; targets that stay keep their state.
    auto setTargets(const std::vector<Target>& targets, TimePoint now) -> void;

    /// @brief Puts discovered targets in force; incarnations that stay keep their state.
    auto setLiveTargets(const std::vector<LiveTarget>& targets, TimePoint now) -> void;

    /// @param part part of every target's slots and connections that belongs to this host, from 0 to 1.
    auto setHostPart(double part) -> void { this->hostPart = part; }

    /// @brief Sets how this host's part of a cold target's rate is found; without it the whole rate is used.
    auto setColdPart(ColdPart part) -> void { this->coldPart = std::move(part); }

    /// @brief Chooses a target with room and counts the request as in flight there.
    /// @param avoid address to leave out unless there is no other, for retries.
    /// @return the target's key, or nothing if no usable target has room.
    auto acquire(const std::string& avoid, TimePoint now) -> std::optional<std::string>;

    /// @brief Chooses a target for a request with wishes and counts the request as in flight there.
    auto acquireFor(const TargetWish& wish, TimePoint now) -> std::optional<std::string>;

    /// @brief Ends a request.
    auto release(const std::string& key, TargetResult result, Duration latency, TimePoint now) -> void;

    /// @brief Takes in a target's own report.
    auto report(const std::string& key, TargetReport report, TimePoint now) -> void;

    /// @brief Takes in the result of a probe.
    auto probed(const std::string& key, bool ok, TimePoint now) -> void;

    /// @return what this host has in flight at each target and what the targets reported since the last call.
    auto takeLoads() -> std::vector<TargetLoad>;

    /// @brief Takes in what the zone's other hosts have in flight, whole each time; targets of other pools are skipped.
    auto noteZone(const std::vector<TargetLoad>& loads, TimePoint now) -> void;

    /// @return the target of a key, or null if it has left the pool.
    [[nodiscard]] auto target(const std::string& key) const -> const LiveTarget*;

    /// @return whether some target could take a request, now or when others end.
    [[nodiscard]] auto isUsable(TimePoint now) const -> bool;

    /// @return whether acquire() without wishes would find a target.
    [[nodiscard]] auto hasRoom(TimePoint now) const -> bool;

    /// @return requests that could be started now.
    [[nodiscard]] auto freeSlots(TimePoint now) const -> std::uint32_t;

    /// @return requests that may be in flight at the same time.
    [[nodiscard]] auto totalSlots(TimePoint now) const -> std::uint32_t;

    /// @return requests that this host has in flight.
    [[nodiscard]] auto inFlight() const -> std::size_t;

    /// @return smoothed time that a target needs for one request.
    [[nodiscard]] auto serviceTime() const -> Duration { return this->meanLatency; }

    /// @return connections that this host may have open to a target.
    [[nodiscard]] auto connectionLimit(const std::string& key) const -> std::uint32_t;

    [[nodiscard]] auto views(TimePoint now) const -> std::vector<TargetView>;

private:
    struct Member {
        LiveTarget live;
        std::string key;
        /// Hash of the key, the target's part of every rendezvous score.
        std::uint64_t hash = 0;
        std::unique_ptr<TargetHealth> health;
        std::uint32_t inFlight = 0;
        unsigned failures = 0;
        unsigned ejections = 0;
        /// Limit after sheds: reduced by each, grown back by answers.
        double shedFactor = 1;
        TimePoint rampStartedAt {};
        TimePoint ejectedUntil {};
        TimePoint shedAt {};
        TimePoint reportedAt {};
        /// Requests of the zone's other hosts, by the newest notice.
        std::uint32_t zoneInFlight = 0;
        /// Smoothed number of requests of hosts that send no notices, by the target's reports.
        double outside = 0;
        /// A report has come since the last notice of this host.
        bool hasReport = false;
        bool reportedDraining = false;
        bool isMisdirected = false;
        /// Tokens of the cold rate.
        double coldTokens = 0;
        TimePoint coldTokensAt {};
    };

    struct Scored {
        double score = 0;
        double load = 0;
        Member* member = nullptr;
    };

    auto find(const std::string& key) -> Member*;
    [[nodiscard]] auto find(const std::string& key) const -> const Member*;
    auto chooseByTwo(const TargetWish& wish, TimePoint now) -> Member*;
    auto chooseByObject(const TargetWish& wish, std::uint64_t object, TimePoint now) -> Member*;
    auto take(Member& member, TimePoint now) -> std::string;
    auto refillCold(Member& member, TimePoint now) -> void;
    auto isOpen(Member& member, const TargetWish& wish, TimePoint now) -> bool;
    [[nodiscard]] auto zoneInFlight(const Member& member, TimePoint now) const -> std::uint32_t;
    auto updateOutside(Member& member, double outside, TimePoint now) -> void;
    auto updateDrain(Member& member) -> void;
    auto recordFailure(Member& member, unsigned weight, TimePoint now) -> void;
    auto recordAnswer(Member& member, TimePoint now) -> void;
    auto endEjection(Member& member, TimePoint now) -> void;
    [[nodiscard]] auto mayEject() const -> bool;
    [[nodiscard]] auto takesWork(const Member& member) const -> bool;
    [[nodiscard]] auto limitOf(const Member& member, TimePoint now) const -> std::uint32_t;
    [[nodiscard]] auto loadOf(const Member& member, TimePoint now) const -> double;

    TargetPoolOption option;
    pcg32 random;
    std::vector<Member> members;
    /// Places in `members` by the key and by the low half of its hash.
    std::unordered_map<std::string, std::size_t> placeOfKey;
    std::unordered_map<std::uint32_t, std::size_t> placeOfHash;
    TimePoint zoneHeardAt {};
    /// The targets of the object that is being placed; a member so that no request allocates it.
    std::vector<Scored> scored;
    ColdPart coldPart;
    double hostPart = 1;
    Duration meanLatency = std::chrono::milliseconds { 5 };
};

} // namespace citronloft
