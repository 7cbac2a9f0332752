/// @file
/// @brief Watches whether this host reaches targets, by its requests and by probes.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/base/config.hpp"
#include "citronloft/base/metrics.hpp"
#include "citronloft/edge/dialect.hpp"
#include "citronloft/edge/http_client.hpp"
#include "citronloft/policy/held_losses.hpp"
#include "citronloft/policy/live_target.hpp"
#include "citronloft/policy/lost_targets.hpp"
#include "citronloft/policy/target_reachability.hpp"
#include "citronloft/policy/target_statement_registry.hpp"

namespace citronloft {

/// @brief What TargetPathMonitor::tick() has found.
struct PathUpdate {
    std::optional<PathChange> change;
    /// Losses of requests whose targets have ended, and that were not losses of the path.
    std::vector<HeldLoss> confirmedLosses;
};

/// @brief Feeds TargetReachability from exchanges, sends probes, and holds losses back until the state of
/// the path is known and whether the target has ended.
class TargetPathMonitor : public std::enable_shared_from_this<TargetPathMonitor> {
public:
    /// @param dialect must outlive the monitor.
    /// @param statements what targets have stated; one that has asked for a pause gets no health probes.
    TargetPathMonitor(boost::asio::io_context& context, const Clock& clock, Metrics& metrics,
        std::shared_ptr<HttpClient> client, const Dialect& dialect,
        std::shared_ptr<TargetStatementRegistry> statements);

    /// @brief Replaces the targets of a pool.
    auto setTargets(const Pool& pool, const std::vector<LiveTarget>& targets, std::string_view ownZone) -> void;

    /// @brief Records the start of an exchange with a target.
    auto recordStart() -> void { this->path.recordStart(this->clock.now()); }

    /// @brief Records the end of an exchange with a target.
    /// @param target key of the target.
    auto recordEnd(const std::string& target, const Exchange& exchange, TimePoint startedAt) -> void;

    /// @brief Holds a lost request; without effect if the loss is one of the path.
    auto holdLoss(std::uint64_t request, const LostTarget& target, TimePoint startedAt) -> void;

    /// @brief Records that a target has ended.
    /// @param evidence what shows it, for the log.
    auto recordTargetEnd(const std::string& target, std::string_view evidence) -> void;

    /// @brief Forgets the held losses of a request that a target has answered.
    auto dropLosses(std::uint64_t request) -> void { this->losses.drop(request); }

    [[nodiscard]] auto holdsLosses() const -> bool { return !this->losses.isEmpty(); }

    /// @return whether a loss of the request is held.
    [[nodiscard]] auto holdsLoss(std::uint64_t request) const -> bool { return this->losses.contains(request); }

    /// @return whether a failure of an exchange that began at `startedAt` is one of the path.
    [[nodiscard]] auto isPathFailure(TimePoint startedAt) const -> bool { return this->path.isPathFailure(startedAt); }

    [[nodiscard]] auto state() const -> PathState { return this->path.state(); }

    /// @brief Sends the probes that are due; to be called about every 20 ms.
    auto tick() -> PathUpdate;

private:
    auto probe(const PathTarget& target, ProbeKind kind, TimePoint startedAt) -> void;
    auto isOpen(const PathTarget& target, TimePoint startedAt, boost::asio::yield_context yield) -> bool;
    auto answersHealthRequest(const PathTarget& target, TimePoint startedAt, boost::asio::yield_context yield) -> bool;
    auto probeLostTarget(const LostTarget& target, TimePoint startedAt) -> void;
    auto recordNewRuns(const std::string& pool, const std::vector<LiveTarget>& targets) -> void;
    auto logTargetEnd(const std::string& target, std::string_view evidence) -> void;
    auto logChange(const PathChange& change, TimePoint now) -> void;

    boost::asio::io_context& context;
    const Clock& clock;
    Metrics& metrics;
    std::shared_ptr<HttpClient> client;
    const Dialect& dialect;
    std::shared_ptr<TargetStatementRegistry> statements;
    TargetReachability path;
    HeldLosses losses;
    LostTargets lostTargets;
    /// By pool.
    std::map<std::string, std::vector<PathTarget>> targets;
    std::map<std::string, std::string> healthPaths;
    /// Keys of the targets that discovery lists, by pool.
    std::map<std::string, std::set<std::string>> runs;
    TimePoint lostAt {};
};

} // namespace citronloft
