/// @file
/// @brief Decides whether this host has a network path to the targets at all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief A target whose connections tell whether this host reaches targets.
struct PathTarget {
    std::string key;
    std::string address;
    std::string zone;
    std::string pool;
    /// Whether the target is in this host's zone.
    bool isNear = false;
    /// Name of the target's run, if its servers check it.
    std::string instance {};
};

/// @brief What a probe has to do to reach its target.
enum class ProbeKind : std::uint8_t {
    /// Open a connection.
    Connection,
    /// Get an answer to a health request.
    Health,
};

/// @brief What a host knows of its path to the targets.
enum class PathState : std::uint8_t {
    Reached,
    /// Several connections or requests have failed; probes are on their way to find out why.
    Suspected,
    /// No connection to any target can be opened, or none of them answers.
    Lost,
};

/// @brief Times and limits of a TargetReachability.
struct TargetReachabilityOption {
    /// Time without any success after which a host without requests sends a connection probe.
    Duration idleInterval = std::chrono::seconds { 1 };
    /// The same while requests are outstanding; more than most requests take.
    Duration busyInterval = std::chrono::milliseconds { 400 };
    /// Time that failed connections of several targets have to be followed by a success, before probes are sent.
    Duration failureGrace = std::chrono::milliseconds { 100 };
    /// Number of targets whose connections or requests must have failed before probes are sent.
    std::size_t failedTargets = 2;
    /// Time without any answer after which health probes are sent, if that many targets have left requests unanswered.
    Duration silenceTime = std::chrono::seconds { 1 };
    /// Minimum time after health probes that were answered until the next ones, unless a request is answered meanwhile.
    Duration silenceInterval = std::chrono::seconds { 10 };
    /// Time for which a failed connection counts.
    Duration failureMemory = std::chrono::seconds { 3 };
    /// Number of targets in a round of probes.
    std::size_t roundSize = 4;
    /// Minimum time between the start of the first failed probe and the loss.
    Duration minLossTime = std::chrono::milliseconds { 250 };
    /// Minimum time between the starts of two rounds, before and after the path is lost.
    Duration suspectedInterval = std::chrono::milliseconds { 150 };
    Duration lostInterval = std::chrono::milliseconds { 300 };
    /// Time for which the path must hold before it counts as back. It doubles up to the maximum with each loss that
    /// comes within `flapMemory` of the last return.
    Duration baseHoldTime = std::chrono::milliseconds { 500 };
    Duration maxHoldTime = std::chrono::seconds { 4 };
    Duration flapMemory = std::chrono::seconds { 15 };
};

/// @brief What led to the loss or the return of the path, for logs.
struct PathChange {
    PathState state = PathState::Reached;
    /// Time from which on failures are held to be failures of the path.
    TimePoint since {};
    /// Time of the last success before the loss.
    TimePoint lastReachedAt {};
    /// Number of targets that were not reached since then.
    std::size_t targetsNotReached = 0;
    /// Kind of the probes that have decided.
    ProbeKind probeKind = ProbeKind::Connection;
    /// Probes since the suspicion or the loss, and those of them that succeeded.
    std::uint32_t probes = 0;
    std::uint32_t probesReached = 0;
};

/// @brief Decides whether a host reaches targets, from its requests to them and from probes.
///
/// Load pattern: a host is cut off from all targets for seconds, while callers, the store and other hosts still reach
/// it. Connections hang, are reset, or live on while new ones are refused. Targets that crash look alike, one by one,
/// and slow ones do not answer either; so requests only raise the suspicion, and connection probes decide: first one,
/// then rounds to targets of several zones and pools. The path is lost if no new connection to any target can be
/// opened. Connections may also open and carry nothing, as through a proxy that has lost its own path: if requests to
/// several targets stay unanswered and nothing else is answered, rounds of health probes decide. Slow targets answer
/// these. A host whose requests are answered sends no probes.
class TargetReachability {
public:
    explicit TargetReachability(TargetReachabilityOption option = {});

    /// @brief Replaces the targets; those that remain keep their state.
    auto setTargets(const std::vector<PathTarget>& targets) -> void;

    /// @brief Records that a request was sent to a target.
    auto recordStart(TimePoint now) -> void;

    /// @brief Records that a request has ended, whatever its result.
    auto recordEnd() -> void;

    /// @brief Records that a target has sent an answer, or a part of it.
    auto recordAnswer(const std::string& key, TimePoint startedAt, TimePoint now) -> void;

    /// @brief Records that a connection was lost before the answer began.
    auto recordLoss(const std::string& key, TimePoint now) -> void;

    /// @brief Records that a request timed out before the answer began.
    auto recordUnanswered(const std::string& key, TimePoint now) -> void;

    /// @brief Records the result of opening a connection for a request.
    auto recordConnect(const std::string& key, bool isOpen, TimePoint startedAt, TimePoint now) -> void;

    /// @brief Records whether a probe has reached its target.
    auto recordProbe(const std::string& key, bool isReached, TimePoint startedAt, TimePoint now) -> void;

    /// @brief Asks for a probe, since something waits for a sign that the path is there.
    auto requestProbe() -> void { this->isProbeRequested = true; }

    /// @return the start of the latest attempt that has reached a target.
    [[nodiscard]] auto lastReachedStart() const -> TimePoint { return this->reachedStart; }

    /// @return the targets to probe now; the result of each must be passed to recordProbe().
    auto takeDueProbes(TimePoint now) -> std::vector<PathTarget>;

    /// @return the kind of the probes that takeDueProbes() has returned last.
    [[nodiscard]] auto probeKind() const -> ProbeKind { return this->round.kind; }

    /// @return a loss or a return of the path since the last call.
    auto takeChange() -> std::optional<PathChange>;

    [[nodiscard]] auto state() const -> PathState { return this->current; }

    /// @return whether a failure of an attempt that began at `startedAt` is one of the path, so that neither target
    /// nor request is to blame.
    [[nodiscard]] auto isPathFailure(TimePoint startedAt) const -> bool;

private:
    /// Failures of one target without a success of any target in between.
    struct Failures {
        /// Start of the first attempt, and end of the last one.
        TimePoint firstAt {};
        TimePoint lastAt {};
    };

    struct Known {
        PathTarget target;
        std::optional<TimePoint> reachedAt;
        Failures losses;
        Failures failedConnects;
        /// Time at which a request to the target last timed out.
        TimePoint unansweredAt {};
        /// Number of the pick in which the target was last probed.
        std::uint64_t lastPick = 0;
    };

    /// Probes that are decided on together.
    struct Round {
        ProbeKind kind = ProbeKind::Connection;
        TimePoint startedAt {};
        std::size_t pending = 0;
        std::size_t reached = 0;
        /// Whether a target was not reached that had been, since the path is holding.
        bool hasRelapse = false;
    };

    using Pick = auto(TargetReachability::*)(TimePoint) -> std::vector<PathTarget>;
    using EndOfRound = auto(TargetReachability::*)(TimePoint) -> void;

    auto pickWhileReached(TimePoint now) -> std::vector<PathTarget>;
    auto pickWhileSuspected(TimePoint now) -> std::vector<PathTarget>;
    auto pickWhileLost(TimePoint now) -> std::vector<PathTarget>;
    auto endRoundWhileReached(TimePoint now) -> void;
    auto endRoundWhileSuspected(TimePoint now) -> void;
    auto endRoundWhileLost(TimePoint now) -> void;
    auto startRound(std::size_t size, TimePoint nextAt, TimePoint now) -> std::vector<PathTarget>;
    auto choose(const std::vector<PathTarget>& chosen, bool prefersNear) -> Known*;
    auto suspect(TimePoint since, TimePoint now) -> void;
    auto suspectSilence(TimePoint now) -> void;
    auto clearSuspicion() -> void;
    auto lose(TimePoint now) -> void;
    auto regain(TimePoint now) -> void;
    auto recordReached(const std::string& key, TimePoint startedAt, TimePoint now) -> void;
    auto recordOpen(const std::string& key, TimePoint startedAt, TimePoint now) -> void;
    auto recordNotOpen(const std::string& key, TimePoint startedAt, TimePoint now) -> void;
    [[nodiscard]] auto hasSuspiciousFailures(TimePoint now) const -> bool;
    [[nodiscard]] auto isSilent(TimePoint now) const -> bool;
    auto extend(Failures& failures, TimePoint startedAt, TimePoint successAt, TimePoint now) const -> void;
    [[nodiscard]] auto isRecent(const Failures& failures, TimePoint successAt, TimePoint now) const -> bool;
    [[nodiscard]] auto probeDueAt() const -> TimePoint;
    [[nodiscard]] auto makeChange(PathState state, TimePoint now) const -> PathChange;

    TargetReachabilityOption option;
    std::vector<Known> known;
    std::unordered_map<std::string, std::size_t> indexByKey;
    PathState current = PathState::Reached;
    /// Kind of the probes that decide whether the path is lost or back.
    ProbeKind kind = ProbeKind::Connection;
    Round round;
    std::optional<PathChange> change;
    std::size_t outstanding = 0;
    TimePoint outstandingSince {};
    /// Time of the last success, and start of the last attempt that opened a connection.
    TimePoint lastReachedAt {};
    TimePoint lastOpenAt {};
    TimePoint lastAnswerAt {};
    TimePoint nextHealthProbesAt {};
    TimePoint reachedStart {};
    TimePoint suspectedSince {};
    TimePoint nextRoundAt {};
    TimePoint backAt {};
    /// Since when each round has reached targets, and those that it had reached before, while the path is lost.
    std::optional<TimePoint> holdingSince;
    Duration holdTime {};
    std::uint64_t picks = 0;
    std::uint32_t probes = 0;
    std::uint32_t probesReached = 0;
    bool isProbeRequested = false;
};

/// @return name of a state in lower case.
auto pathStateName(PathState state) -> std::string_view;

} // namespace citronloft
