#include "citronloft/fleet/limit_exchange.hpp"

#include <algorithm>
#include <map>

namespace citronloft {

namespace {

/// Well below the time after which a host that knows of a limit is bound by it (500 ms).
constexpr auto noticeInterval = std::chrono::milliseconds { 200 };
/// Keeps a notice below half of the maximum size of a datagram; the rest follows with the next notice.
constexpr auto maxReports = std::size_t { 256 };

auto keepLatest(std::unordered_map<std::uint64_t, LimitObservation>& observations, const LimitObservation& added)
    -> void
{
    auto& known = observations[added.target];
    if (added.observedAt > known.observedAt)
        known = added;
}

auto ageOf(const LimitObservation& observation, TimePoint now) -> std::uint32_t
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - observation.observedAt).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

} // namespace

LimitExchange::LimitExchange(const Membership& members, PeerTransport& transport)
    : members(members)
    , transport(transport)
{
}

auto LimitExchange::report(const std::vector<LimitObservation>& observations) -> void
{
    for (const auto& observation : observations) {
        keepLatest(this->own, observation);
        keepLatest(this->ofZone, observation);
    }
}

auto LimitExchange::receive(const LimitNotice& notice, TimePoint now) -> void
{
    auto observations = std::vector<LimitObservation> {};
    for (const auto& report : notice.reports)
        observations.push_back({ report.target, report.perSecond, now - std::chrono::milliseconds { report.ageMs } });
    if (notice.zone == this->members.self().zone) {
        for (const auto& observation : observations)
            keepLatest(this->ofZone, observation);
    } else if (!notice.isRelayed) {
        auto relayed = notice;
        relayed.isRelayed = true;
        this->sendToZone(relayed);
    }
    if (this->handler)
        this->handler(observations);
}

auto LimitExchange::tick(std::uint64_t& sequence, TimePoint now) -> void
{
    if (now < this->nextNoticeAt || (this->own.empty() && this->ofZone.empty()))
        return;
    this->nextNoticeAt = now + noticeInterval;
    if (!this->own.empty())
        this->sendToZone(this->takeNotice(this->own, sequence, now));
    if (!this->members.isDelegate())
        this->ofZone.clear();
    if (!this->ofZone.empty())
        this->sendToOtherZones(this->takeNotice(this->ofZone, sequence, now));
}

/// Removes the observations that the notice contains.
auto LimitExchange::takeNotice(Observations& observations, std::uint64_t& sequence, TimePoint now) const -> LimitNotice
{
    const auto& self = this->members.self();
    auto notice = LimitNotice { self.incarnation, ++sequence, self.zone, false, {} };
    while (!observations.empty() && notice.reports.size() < maxReports) {
        const auto first = observations.begin();
        notice.reports.push_back({ first->first, first->second.perSecond, ageOf(first->second, now) });
        observations.erase(first);
    }
    return notice;
}

auto LimitExchange::sendToZone(const LimitNotice& notice) -> void
{
    for (const auto& peer : this->members.zonePeers())
        this->transport.send(peer.peerAddress(), notice);
}

/// Sends the notice to one host of each other zone, which relays it within its zone.
auto LimitExchange::sendToOtherZones(const LimitNotice& notice) -> void
{
    auto hostsByZone = std::map<std::string, std::vector<Address>> {};
    for (const auto& host : this->members.remoteHosts())
        hostsByZone[host.zone].push_back(host.peerAddress());
    for (const auto& [zone, hosts] : hostsByZone)
        this->transport.send(hosts[notice.sequence % hosts.size()], notice);
}

} // namespace citronloft
