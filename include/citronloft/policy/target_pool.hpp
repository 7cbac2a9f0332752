/// @file
/// @brief Chooses targets for requests, giving this host's own observations precedence over the targets' reports.
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
#include "citronloft/policy/announced_limit.hpp"
#include "citronloft/policy/live_target.hpp"
#include "citronloft/policy/request_pacer.hpp"
#include "citronloft/policy/target_choice.hpp"
#include "citronloft/policy/target_health.hpp"
#include "citronloft/policy/target_load.hpp"
#include "citronloft/policy/target_statement_registry.hpp"

namespace citronloft {

/// @brief Options of a pool.
struct TargetPoolOption {
    /// Number of consecutive failures that ejects a target.
    unsigned failuresToEject = 3;
    /// Duration of the first ejection; it doubles with each further one, up to the maximum.
    Duration baseEjection = std::chrono::seconds { 2 };
    Duration maxEjection = std::chrono::seconds { 30 };
    /// Minimum fraction of the targets that ejection leaves in use.
    double minInUseFraction = 0.5;
    /// Time over which a new target's limit grows from one request to its full value.
    Duration rampTime = std::chrono::seconds { 5 };
    /// Factor on this host's even share of a target's slots; above 1, one host can use more than its share.
    double overcommit = 1.5;
    /// Age at which the load notices of the zone's other hosts are ignored.
    Duration noticeMaxAge = std::chrono::seconds { 1 };
    /// Age at which a target's report has no weight; the weight decreases linearly until then.
    Duration reportMaxAge = std::chrono::seconds { 3 };
    /// Time for which a target that has shed a request is treated as full, even if it reports to be idle.
    Duration fullTimeAfterShed = std::chrono::seconds { 2 };
    /// Factor by which each shed request reduces a target's limit.
    double shedBackoff = 0.5;
    /// Whether an ejected target receives requests again when its ejection has expired, without a successful probe.
    bool returnsWithoutProbe = false;
    /// Number of targets among which the requests for an object are distributed. A small number keeps the object cached
    /// on these targets; on any other target a request takes several times as long and delays other requests.
    std::size_t targetsPerObject = 3;
    /// Load, as a multiple of the slots, at which an object's first target is passed over if another one has a low
    /// load. Values above 1 accept a short wait for a target that holds the object, which costs less than a run on a
    /// target that does not.
    double primaryMaxLoad = 1;
    /// Load, as a multiple of the slots, below which another of the object's targets is used instead. When all targets
    /// are busy, requests to targets that do not hold the object would only add to their load.
    double alternativeMaxLoad = 0.7;
    /// Maximum number of requests waiting at a target, as a fraction of its slots. Up to this limit, requests are sent
    /// even if no slot is free.
    double maxTargetQueueFraction = 0.35;
};

/// @return options for discovered targets, which report their load with each answer.
auto discoveredPoolOption() -> TargetPoolOption;

/// @brief Result of a request, as it concerns the health of its target.
enum class TargetResult : std::uint8_t {
    Answered,
    /// The target reported that it did not run the request.
    Shed,
    /// The answer was incomplete, or its status was 5xx.
    Failed,
    /// The caller disconnected, or this host reached no target; has no effect on the target's health.
    Abandoned,
    /// No connection could be opened in time.
    Unreachable,
    /// Another server has the target's address.
    Misdirected,
};

/// @brief Load and drain state that a target reports.
struct TargetReport {
    std::uint32_t inFlight = 0;
    bool draining = false;
};

/// @brief Requirements of a request on its target.
struct TargetRequirements {
    /// Keys of targets to avoid.
    std::vector<std::string> avoid;
    /// Hash of the object that the request accesses; if unset, the request is sent to the less loaded of two random
    /// targets.
    std::optional<std::uint64_t> object;
    /// Regions in which the request is allowed to run; empty means all regions.
    std::vector<std::string> regions;
    Placement placement = Placement::Zone;
};

/// @brief Change of a target's announced limit.
struct LimitUpdate {
    /// Key of the target.
    std::string target;
    LimitChange change = LimitChange::None;
    std::optional<double> perSecond;
};

/// @brief State of a target for status pages.
struct TargetView {
    std::string address;
    TargetState state = TargetState::Probing;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    /// Rate that the target announces, in requests per second.
    std::optional<double> announcedLimit;
    bool isLeaving = false;
    /// Time until which the target wants no requests from this host.
    TimePoint pausedUntil {};
};

/// @brief The targets of one pool to which this host can send requests.
///
/// Objects are assigned to targets by weighted rendezvous hashing, so that all hosts of a zone agree on an object's
/// target without communication. Targets with a high load are passed over (consistent hashing with bounded loads).
class TargetPool {
public:
    /// @brief Returns the maximum rate, in requests per second, at which this host can send to a cold target.
    using ColdRateShare = std::function<double(const LiveTarget&)>;

    /// @brief Returns the maximum rate, in requests per second, at which this host can send to a target that announces
    /// a limit.
    /// @param perSecond the target's limit on the requests of all hosts together.
    /// @param isRecent whether any host has observed the limit recently.
    using LimitShare = std::function<double(const LiveTarget& target, double perSecond, bool isRecent)>;

    /// @param statements what targets have stated; pools that share it know what a target has said to any of them.
    TargetPool(TargetPoolOption option, std::uint64_t seed,
        std::shared_ptr<TargetStatementRegistry> statements = std::make_shared<TargetStatementRegistry>());

    /// @brief Sets the targets from a static configuration; targets that remain keep their state.
    auto setTargets(const std::vector<Target>& targets, TimePoint now) -> void;

    /// @brief Sets the discovered targets; incarnations that remain keep their state.
    auto setLiveTargets(const std::vector<LiveTarget>& targets, TimePoint now) -> void;

    /// @param fraction fraction of each target's slots and connections that belongs to this host, from 0 to 1.
    auto setHostFraction(double fraction) -> void { this->hostFraction = fraction; }

    /// @brief Sets the function that returns this host's share of a cold target's rate; by default, the full rate is
    /// used.
    auto setColdRateShare(ColdRateShare share) -> void { this->coldRateShare = std::move(share); }

    /// @brief Sets the function that returns this host's share of a target's announced limit; by default, the full
    /// limit is used.
    auto setLimitShare(LimitShare share) -> void { this->limitShare = std::move(share); }

    /// @brief Chooses a target with a free slot and counts the request as in flight there.
    /// @param avoid key of a target to use only if there is no other; empty for none. Used for retries.
    /// @return key of the target, or nothing if no usable target has a free slot.
    auto acquire(const std::string& avoid, TimePoint now) -> std::optional<std::string>;

    /// @brief Chooses a target that meets the requirements and counts the request as in flight there.
    auto acquireFor(const TargetRequirements& requirements, TimePoint now) -> std::optional<std::string>;

    /// @brief Determines where a request would be sent now, without a change of any target's state.
    /// @param order how targets are chosen for requests without an object.
    [[nodiscard]] auto explain(const TargetRequirements& requirements, TargetOrder order, TimePoint now) const
        -> TargetChoice;

    /// @brief Records the end of a request.
    auto release(const std::string& key, TargetResult result, Duration latency, TimePoint now) -> void;

    /// @brief Updates a target from its own report.
    auto report(const std::string& key, TargetReport report, TimePoint now) -> void;

    /// @brief Updates the limit that a target announces from one of its answers (see AnnouncedLimit::record()).
    auto recordRateLimit(const std::string& key, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
        -> LimitChange;

    /// @brief Updates limits from the observations of other hosts; those of other pools' targets are skipped.
    /// @return the targets whose limit has changed.
    auto mergeLimits(const std::vector<LimitObservation>& observations, TimePoint now) -> std::vector<LimitUpdate>;

    /// @return this host's observations of limits since the last call.
    auto takeLimitObservations() -> std::vector<LimitObservation>;

    /// @return limit in requests per second that a target announces; nothing if there is none.
    [[nodiscard]] auto announcedLimit(const std::string& key) const -> std::optional<double>;

    /// @brief Takes back the ejections since a time, and the failures that are not yet one, since they were failures of
    /// this host's path to all targets.
    auto revokeEjections(TimePoint since) -> void;

    /// @brief Records that a target is about to stop. This run of it gets no further requests, even if its entry says
    /// otherwise, is away, or returns after an absence, unless no other target of its region can take them.
    /// @return whether the target had not said so before.
    auto recordLeaving(const std::string& key, TimePoint now) -> bool;

    /// @brief Records that a target wants no requests until `until` (see TargetStatements::recordPause()).
    /// @return whether a pause began.
    auto recordPause(const std::string& key, TimePoint until, TimePoint now) -> bool;

    /// @return earliest time at which a target that has asked for a pause accepts requests again; nothing if none has.
    [[nodiscard]] auto earliestPauseEnd(TimePoint now) const -> std::optional<TimePoint>;

    /// @brief Records the result of a probe.
    auto recordProbe(const std::string& key, bool ok, TimePoint now) -> void;

    /// @return requests that this host has in flight at each target, and the targets' reports since the last call.
    auto takeLoads() -> std::vector<TargetLoad>;

    /// @brief Replaces the loads from the zone's other hosts with a complete list; targets of other pools are skipped.
    auto setZoneLoads(const std::vector<TargetLoad>& loads, TimePoint now) -> void;

    /// @return target with the given key, or null if it is no longer in the pool.
    [[nodiscard]] auto target(const std::string& key) const -> const LiveTarget*;

    /// @return whether a target that was chosen must not be sent the request any more: its entry is gone, it is
    /// leaving, has asked for a pause, or its zone is evacuated.
    [[nodiscard]] auto isWithdrawn(const std::string& key, TimePoint now) const -> bool;

    /// @return whether any target can accept a request, now or when others end.
    [[nodiscard]] auto hasUsableTarget(TimePoint now) const -> bool;

    /// @return whether any target can accept a request now.
    [[nodiscard]] auto hasFreeCapacity(TimePoint now) const -> bool;

    /// @return number of requests that can be started now.
    [[nodiscard]] auto freeSlots(TimePoint now) const -> std::uint32_t;

    /// @return maximum number of requests in flight.
    [[nodiscard]] auto totalSlots(TimePoint now) const -> std::uint32_t;

    /// @return number of requests that this host has in flight.
    [[nodiscard]] auto inFlight() const -> std::size_t;

    /// @return smoothed service time of one request.
    [[nodiscard]] auto serviceTime() const -> Duration { return this->meanLatency; }

    /// @return maximum number of connections from this host to a target.
    [[nodiscard]] auto connectionLimit(const std::string& key) const -> std::uint32_t;

    [[nodiscard]] auto views(TimePoint now) const -> std::vector<TargetView>;

private:
    struct Member {
        LiveTarget live;
        std::string key;
        /// Hash of the key, from which rendezvous scores are computed.
        std::uint64_t hash = 0;
        std::unique_ptr<TargetHealth> health;
        std::uint32_t inFlight = 0;
        unsigned failures = 0;
        unsigned ejections = 0;
        /// Factor on the limit; reduced by each shed request, restored gradually by answers.
        double shedFactor = 1;
        TimePoint rampStartedAt {};
        TimePoint failedAt {};
        TimePoint ejectedAt {};
        TimePoint ejectedUntil {};
        TimePoint shedAt {};
        TimePoint reportedAt {};
        /// In-flight requests of the zone's other hosts, according to the latest notice.
        std::uint32_t zoneInFlight = 0;
        /// Smoothed number of in-flight requests of hosts outside the zone, according to the target's reports.
        double outsideInFlight = 0;
        /// Whether the target has sent a report since this host's last notice.
        bool hasReport = false;
        bool reportedDraining = false;
        bool isMisdirected = false;
        std::shared_ptr<TargetStatements> statements;
        AnnouncedLimit announcedLimit;
        /// Spaces requests while the target is cold or announces a limit.
        RequestPacer pacer;
        /// This host's share of the announced limit, computed again at `limitShareExpiresAt`.
        mutable double limitShare = 0;
        mutable TimePoint limitShareExpiresAt {};
        /// Whether this host has an observation of the limit that it has not sent to the other hosts.
        bool hasLimitObservation = false;
    };

    /// Limit of a target that is no longer in the pool and may return.
    struct DepartedLimit {
        AnnouncedLimit limit;
        TimePoint expiresAt;
        /// Whether this host has an observation of the limit that it has not sent to the other hosts.
        bool hasObservation = false;
    };

    struct Scored {
        double score = 0;
        double load = 0;
        /// Index into `members`.
        std::size_t member = 0;
    };

    auto find(const std::string& key) -> Member*;
    [[nodiscard]] auto find(const std::string& key) const -> const Member*;
    auto chooseLessLoadedOfTwo(const TargetRequirements& requirements, TimePoint now) -> Member*;
    auto chooseByObject(const TargetRequirements& requirements, TimePoint now) -> Member*;
    [[nodiscard]] static auto weightOf(const Member& member, Placement placement) -> double;
    [[nodiscard]] static auto scoreOf(const Member& member, const TargetRequirements& requirements) -> double;
    auto addRanked(std::vector<Scored>& best, std::size_t index, const TargetRequirements& requirements,
        TimePoint now) const -> void;
    [[nodiscard]] auto chooseRanked(const std::vector<Scored>& best) const -> const Scored*;
    [[nodiscard]] auto exclusionReason(
        const Member& member, const TargetRequirements& requirements, TimePoint now) const -> SkipReason;
    [[nodiscard]] auto refusalReason(const Member& member, TimePoint now) const -> SkipReason;
    [[nodiscard]] auto skipReason(const Member& member, const TargetRequirements& requirements, TimePoint now) const
        -> SkipReason;
    [[nodiscard]] auto describe(const Member& member, const TargetRequirements& requirements, TimePoint now) const
        -> ExplainedTarget;
    auto explainByObject(TargetChoice& choice, const TargetRequirements& requirements, TimePoint now) const -> void;
    auto explainSpread(TargetChoice& choice, TargetOrder order, TimePoint now) const -> void;
    auto startRequest(Member& member, TimePoint now) -> std::string;
    [[nodiscard]] static auto hashOf(const std::string& key) -> std::uint64_t;
    auto recordDepartedLimit(const std::string& key, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
        -> LimitChange;
    auto retainLimits(TimePoint now) -> void;
    auto restoreLimit(Member& member) -> void;
    auto applyLimitChange(Member& member, LimitChange change, TimePoint now) -> void;
    [[nodiscard]] auto isCold(const Member& member, TimePoint now) const -> bool;
    [[nodiscard]] auto isRateLimited(const Member& member, TimePoint now) const -> bool;
    [[nodiscard]] auto rateOf(const Member& member, TimePoint now) const -> double;
    [[nodiscard]] auto limitShareOf(const Member& member, TimePoint now) const -> double;
    [[nodiscard]] auto freeSlotsOf(const Member& member, TimePoint now) const -> std::uint32_t;
    auto isEligible(Member& member, const TargetRequirements& requirements, TimePoint now) -> bool;
    [[nodiscard]] auto zoneInFlight(const Member& member, TimePoint now) const -> std::uint32_t;
    auto updateOutsideInFlight(Member& member, double outsideInFlight, TimePoint now) -> void;
    auto updateDrain(Member& member) -> void;
    auto recordFailure(Member& member, unsigned weight, TimePoint now) -> void;
    auto recordAnswer(Member& member, TimePoint now) -> void;
    auto endEjection(Member& member, TimePoint now) -> void;
    [[nodiscard]] auto isEjectionOver(const Member& member, TimePoint now) const -> bool;
    [[nodiscard]] auto canEject(TimePoint now) const -> bool;
    [[nodiscard]] auto acceptsRequests(const Member& member, TimePoint now) const -> bool;
    [[nodiscard]] static auto isRemoved(const Member& member) -> bool;
    [[nodiscard]] auto isExcluded(const Member& member, TimePoint now) const -> bool;
    [[nodiscard]] auto hasStatedRefusal(const Member& member, TimePoint now) const -> bool;
    [[nodiscard]] auto isLastResort(const Member& member, TimePoint now) const -> bool;
    [[nodiscard]] auto limitOf(const Member& member, TimePoint now) const -> std::uint32_t;
    [[nodiscard]] auto loadOf(const Member& member, TimePoint now) const -> double;

    TargetPoolOption option;
    pcg32 random;
    std::shared_ptr<TargetStatementRegistry> statementRegistry;
    std::vector<Member> members;
    /// Indexes into `members` by key and by the low 32 bits of its hash.
    std::unordered_map<std::string, std::size_t> indexByKey;
    std::unordered_map<std::uint32_t, std::size_t> indexByHash;
    TimePoint zoneLoadsUpdatedAt {};
    /// Candidate targets of the current request's object; a member to avoid an allocation per request.
    std::vector<Scored> scored;
    ColdRateShare coldRateShare;
    LimitShare limitShare;
    /// By hash of the target's key.
    std::unordered_map<std::uint64_t, DepartedLimit> departedLimits;
    std::vector<std::string> unreportedLimits;
    double hostFraction = 1;
    Duration meanLatency = std::chrono::milliseconds { 5 };
};

} // namespace citronloft
