#include "citronloft/edge/target_path_monitor.hpp"

#include <array>

#include "citronloft/base/log.hpp"
#include "citronloft/edge/coroutine.hpp"

namespace citronloft {

namespace {

/// Longest time that a probe waits, unless the client's own timeout is shorter.
constexpr auto probeTimeout = std::chrono::seconds { 1 };
/// A connection that was given up earlier, since its request had no more time, says nothing of the path; more than the
/// longest round trip of a deployment takes.
constexpr auto minConnectTime = std::chrono::milliseconds { 250 };

auto milliseconds(Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

TargetPathMonitor::TargetPathMonitor(boost::asio::io_context& context, const Clock& clock, Metrics& metrics,
    std::shared_ptr<HttpClient> client, const Dialect& dialect, std::shared_ptr<TargetStatementRegistry> statements)
    : context(context)
    , clock(clock)
    , metrics(metrics)
    , client(std::move(client))
    , dialect(dialect)
    , statements(std::move(statements))
{
}

auto TargetPathMonitor::setTargets(const Pool& pool, const std::vector<LiveTarget>& targets, std::string_view ownZone)
    -> void
{
    this->healthPaths[pool.name] = pool.healthPath;
    auto& list = this->targets[pool.name];
    list.clear();
    for (const auto& live : targets) {
        const auto& target = live.target;
        if (!live.evacuated && !target.draining)
            list.push_back(
                { live.key(), target.address, target.zone, pool.name, target.zone == ownZone, live.instance });
    }
    auto all = std::vector<PathTarget> {};
    for (const auto& [name, poolTargets] : this->targets)
        all.insert(all.end(), poolTargets.begin(), poolTargets.end());
    this->path.setTargets(all);
    this->recordNewRuns(pool.name, targets);
}

/// A run that appears at the address of a target shows that the target has ended. Entries of earlier runs may still be
/// listed beside it.
auto TargetPathMonitor::recordNewRuns(const std::string& pool, const std::vector<LiveTarget>& targets) -> void
{
    auto listed = std::set<std::string> {};
    const auto& known = this->runs[pool];
    for (const auto& live : targets) {
        const auto key = live.key();
        listed.insert(key);
        if (known.contains(key))
            continue;
        for (const auto& ended : this->losses.recordRun(live.target.address, key))
            this->logTargetEnd(ended, "new-run");
    }
    this->runs[pool] = std::move(listed);
}

auto TargetPathMonitor::recordEnd(const std::string& target, const Exchange& exchange, TimePoint startedAt) -> void
{
    const auto now = this->clock.now();
    this->path.recordEnd();
    if (exchange.sent && !exchange.reused)
        this->path.recordConnect(target, true, startedAt, now);
    if (exchange.limited)
        return;
    switch (exchange.error) {
    case ExchangeError::None:
    case ExchangeError::AnswerCut:
    case ExchangeError::AnswerTooLarge:
    case ExchangeError::NoMemory:
    case ExchangeError::AnswerInvalid:
        this->path.recordAnswer(target, startedAt, now);
        break;
    case ExchangeError::ConnectFailed:
        this->path.recordConnect(target, false, startedAt, now);
        break;
    case ExchangeError::ConnectTimeout:
        if (now - startedAt >= minConnectTime)
            this->path.recordConnect(target, false, startedAt, now);
        break;
    case ExchangeError::AnswerTimeout:
        this->path.recordUnanswered(target, now);
        break;
    case ExchangeError::ConnectionLost:
        this->path.recordLoss(target, now);
        break;
    case ExchangeError::TooLate:
    case ExchangeError::Withdrawn:
    case ExchangeError::Cancelled:
        break;
    }
}

auto TargetPathMonitor::holdLoss(std::uint64_t request, const LostTarget& target, TimePoint startedAt) -> void
{
    if (this->path.isPathFailure(startedAt))
        return;
    const auto now = this->clock.now();
    this->losses.add({ request, target.key, formatAddress(target.address), now });
    this->lostTargets.recordLoss(target, now);
}

auto TargetPathMonitor::recordTargetEnd(const std::string& target, std::string_view evidence) -> void
{
    if (this->losses.recordTargetEnd(target))
        this->logTargetEnd(target, evidence);
}

auto TargetPathMonitor::tick() -> PathUpdate
{
    const auto now = this->clock.now();
    if (this->losses.needsProbe(this->path.lastReachedStart(), now))
        this->path.requestProbe();
    for (const auto& target : this->lostTargets.takeDueProbes(now))
        this->probeLostTarget(target, now);
    for (const auto& target : this->path.takeDueProbes(now))
        this->probe(target, this->path.probeKind(), now);
    auto update = PathUpdate {};
    update.change = this->path.takeChange();
    if (update.change)
        this->logChange(*update.change, now);
    if (this->path.state() == PathState::Lost)
        this->losses.drop();
    update.confirmedLosses = this->losses.takeConfirmed(this->path.lastReachedStart(), now);
    return update;
}

auto TargetPathMonitor::probe(const PathTarget& target, ProbeKind kind, TimePoint startedAt) -> void
{
    startCoroutine(this->context, "path-probe",
        [self = this->shared_from_this(), target, kind, startedAt](boost::asio::yield_context yield) {
            using Probe = auto(TargetPathMonitor::*)(const PathTarget&, TimePoint, boost::asio::yield_context)->bool;
            constexpr auto probes
                = std::to_array<Probe>({ &TargetPathMonitor::isOpen, &TargetPathMonitor::answersHealthRequest });
            const auto isReached = (*self.*probes.at(static_cast<std::size_t>(kind)))(target, startedAt, yield);
            self->path.recordProbe(target.key, isReached, startedAt, self->clock.now());
        });
}

auto TargetPathMonitor::isOpen(const PathTarget& target, TimePoint startedAt, boost::asio::yield_context yield) -> bool
{
    const auto address = parseAddress(target.address);
    const auto isOpen
        = address.ok() && this->client->connect(*address, startedAt + probeTimeout, yield) == ConnectResult::Open;
    this->metrics.count("citronloft_connection_probes_total", isOpen ? "result=\"open\"" : "result=\"not-open\"");
    return isOpen;
}

/// A refusal is an answer too. The expected instance keeps another server at the address from running the request. A
/// target that has asked for a pause gets a connection only.
auto TargetPathMonitor::answersHealthRequest(
    const PathTarget& target, TimePoint startedAt, boost::asio::yield_context yield) -> bool
{
    const auto address = parseAddress(target.address);
    if (!address.ok() || this->statements->statementsOf(target.key)->isPaused(startedAt))
        return this->isOpen(target, startedAt, yield);
    auto fields = ForwardedFields {};
    fields.remainingTime = probeTimeout;
    fields.instance = target.instance;
    const auto request = this->dialect.makeTargetRequest({ "GET", this->healthPaths[target.pool], {}, {} }, fields);
    const auto option = ExchangeOption { .deadline = startedAt + probeTimeout, .maxIdleTime = {} };
    const auto exchange = this->client->exchange(*address, request, option, yield);
    const auto isAnswered = exchange.error == ExchangeError::None;
    this->metrics.count("citronloft_health_probes_total", isAnswered ? "result=\"answered\"" : "result=\"unanswered\"");
    return isAnswered;
}

/// A refused connection shows that nothing listens at the target's address any more.
auto TargetPathMonitor::probeLostTarget(const LostTarget& target, TimePoint startedAt) -> void
{
    startCoroutine(this->context, "lost-target-probe",
        [self = this->shared_from_this(), target, startedAt](boost::asio::yield_context yield) {
            const auto result = self->client->connect(target.address, startedAt + probeTimeout, yield);
            constexpr auto labels = std::to_array({ "result=\"open\"", "result=\"refused\"", "result=\"failed\"" });
            self->metrics.count("citronloft_lost_target_probes_total", labels.at(static_cast<std::size_t>(result)));
            self->path.recordConnect(target.key, result == ConnectResult::Open, startedAt, self->clock.now());
            if (result == ConnectResult::Refused)
                self->recordTargetEnd(target.key, "refused");
        });
}

auto TargetPathMonitor::logTargetEnd(const std::string& target, std::string_view evidence) -> void
{
    this->lostTargets.recordEnd(target);
    LogEvent(LogLevel::Info, "target-ended").with("target", target).with("evidence", evidence);
}

auto TargetPathMonitor::logChange(const PathChange& change, TimePoint now) -> void
{
    if (change.state == PathState::Lost) {
        const auto hasReached = change.lastReachedAt != TimePoint {};
        this->lostAt = now;
        LogEvent(LogLevel::Warning, "target-path-lost")
            .with("targets_not_reached", change.targetsNotReached)
            .with("reached_ms_ago", hasReached ? std::to_string(milliseconds(now - change.lastReachedAt)) : "never")
            .with("evidence", change.probeKind == ProbeKind::Health ? "unanswered" : "not-open")
            .with("probes", change.probes);
        return;
    }
    LogEvent(LogLevel::Info, "target-path-back")
        .with("lost_ms", milliseconds(now - this->lostAt))
        .with("probes", change.probes)
        .with("probes_reached", change.probesReached);
}

} // namespace citronloft
