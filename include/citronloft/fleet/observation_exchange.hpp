/// @file
/// @brief Exchange of observations of targets between hosts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "citronloft/fleet/membership.hpp"
#include "citronloft/fleet/messages.hpp"

namespace citronloft {

/// @brief Sends this host's observations to its zone and, as delegate, those of the zone to all other zones.
///
/// A target's answers reach only the hosts that send to it, which are few; all others learn of them here. Of several
/// observations with the same key the latest counts. Messages can be lost.
/// @tparam Traits defines `Observation`, `Report` and `Key`, the functions `key`, `report` and `observation` that
/// convert between them, and the greatest number of reports in one notice.
template <typename Traits> class ObservationExchange {
public:
    using Observation = typename Traits::Observation;
    using Notice = ObservationNotice<typename Traits::Report>;
    using Handler = std::function<void(const std::vector<Observation>&)>;

    ObservationExchange(const Membership& members, PeerTransport& transport)
        : members(members)
        , transport(transport)
    {
    }

    /// @brief Sets the handler for the observations of other hosts.
    auto onObservations(Handler changed) -> void { this->handler = std::move(changed); }

    /// @brief Adds observations of this host, to be sent with the next notice.
    auto report(const std::vector<Observation>& observations) -> void
    {
        for (const auto& observation : observations) {
            keepLatest(this->own, observation);
            keepLatest(this->ofZone, observation);
        }
    }

    /// @brief Processes a notice of another host.
    auto receive(const Notice& notice, TimePoint now) -> void
    {
        auto observations = std::vector<Observation> {};
        for (const auto& report : notice.reports)
            observations.push_back(Traits::observation(report, now - std::chrono::milliseconds { report.ageMs }));
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

    /// @brief Sends the observations that are due; must be called about every 20 ms.
    /// @param sequence last sequence number of this host's notices; incremented for each notice sent.
    auto tick(std::uint64_t& sequence, TimePoint now) -> void
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

private:
    using Observations = std::map<typename Traits::Key, Observation>;

    /// Well below the time after which a host that knows of an observation is bound by it (500 ms).
    static constexpr auto noticeInterval = std::chrono::milliseconds { 200 };

    static auto keepLatest(Observations& observations, const Observation& added) -> void
    {
        const auto [known, isNew] = observations.try_emplace(Traits::key(added), added);
        if (!isNew && added.observedAt > known->second.observedAt)
            known->second = added;
    }

    static auto ageOf(const Observation& observation, TimePoint now) -> std::uint32_t
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - observation.observedAt).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
    }

    /// Removes the observations that the notice contains.
    auto takeNotice(Observations& observations, std::uint64_t& sequence, TimePoint now) const -> Notice
    {
        const auto& self = this->members.self();
        auto notice = Notice { self.incarnation, ++sequence, self.zone, false, {} };
        while (!observations.empty() && notice.reports.size() < Traits::maxReports) {
            const auto first = observations.begin();
            notice.reports.push_back(Traits::report(first->second, ageOf(first->second, now)));
            observations.erase(first);
        }
        return notice;
    }

    auto sendToZone(const Notice& notice) -> void
    {
        for (const auto& peer : this->members.zonePeers())
            this->transport.send(peer.peerAddress(), notice);
    }

    /// Sends the notice to one host of each other zone, which relays it within its zone.
    auto sendToOtherZones(const Notice& notice) -> void
    {
        auto hostsByZone = std::map<std::string, std::vector<Address>> {};
        for (const auto& host : this->members.remoteHosts())
            hostsByZone[host.zone].push_back(host.peerAddress());
        for (const auto& [zone, hosts] : hostsByZone)
            this->transport.send(hosts[notice.sequence % hosts.size()], notice);
    }

    const Membership& members;
    PeerTransport& transport;
    Handler handler;
    /// This host's observations since its last notice.
    Observations own;
    /// The zone's observations since the last notice to the other zones.
    Observations ofZone;
    TimePoint nextNoticeAt {};
};

} // namespace citronloft
