#include "citronloft/fleet/quarantine_service.hpp"

#include "citronloft/base/log.hpp"
#include "citronloft/policy/request_identity.hpp"
#include "citronloft/policy/shares.hpp"

namespace citronloft {

namespace {

/// Requests of which this host remembers that it has lost them; beyond it, other hosts write the findings.
constexpr auto maxOwnLosses = std::size_t { 8192 };

} // namespace

QuarantineService::QuarantineService(const Membership& members, PeerTransport& transport, const Clock& clock,
    const std::shared_ptr<ObjectStore>& store, std::optional<Duration> pollInterval, std::uint64_t seed)
    : clock(clock)
    , exchange(members, transport)
{
    auto listener = QuarantineListener {};
    listener.onQuarantined = [this](std::uint64_t request, TimePoint until) {
        if (!this->isQuarantined(request))
            LogEvent(LogLevel::Warning, "request-quarantined")
                .with("identity", formatIdentity(request))
                .with("source", "store");
        this->quarantine.quarantine(request, until);
    };
    listener.onLifted = [this](std::uint64_t request) {
        LogEvent(LogLevel::Info, "quarantine-lifted").with("identity", formatIdentity(request));
        this->quarantine.lift(request);
    };
    this->registry = std::make_shared<QuarantineRegistry>(
        clock, [] { return std::chrono::system_clock::now(); }, store, pollInterval, seed, std::move(listener));
    this->exchange.onObservations([this](const std::vector<RequestObservation>& observations) {
        for (const auto& observation : observations) {
            if (this->quarantine.record(observation, this->clock.now()))
                this->processFinding(observation.request, "peer");
        }
    });
}

auto QuarantineService::isQuarantined(std::uint64_t request) const -> bool
{
    return this->quarantine.isQuarantined(request, this->clock.now());
}

auto QuarantineService::recordLoss(std::uint64_t request, const std::string& target, TimePoint lostAt) -> void
{
    const auto observation = RequestObservation { request, bucketId(target), lostAt };
    if (this->ownLosses.size() < maxOwnLosses)
        this->ownLosses.insert(request);
    this->exchange.report({ observation });
    if (this->quarantine.record(observation, this->clock.now()))
        this->processFinding(request, "own");
}

auto QuarantineService::recordAnswer(std::uint64_t request) -> void
{
    if (!this->quarantine.isSuspected(request))
        return;
    const auto now = this->clock.now();
    const auto observation = RequestObservation { request, 0, now };
    this->exchange.report({ observation });
    this->quarantine.record(observation, now);
}

auto QuarantineService::processFinding(std::uint64_t request, std::string_view source) -> void
{
    LogEvent(LogLevel::Warning, "request-quarantined").with("identity", formatIdentity(request)).with("source", source);
    if (this->ownLosses.contains(request))
        this->registry->publish(request, this->quarantine.termEnd(this->clock.now()));
}

auto QuarantineService::tick(std::uint64_t& sequence, TimePoint now) -> void
{
    this->exchange.tick(sequence, now);
    this->registry->tick(now);
    this->quarantine.tick(now);
    if (this->quarantine.isEmpty())
        this->ownLosses.clear();
}

} // namespace citronloft
