#include "citronloft/edge/spill_candidates.hpp"

#include <algorithm>
#include <array>

namespace citronloft {

namespace {

constexpr auto hostsPerDistance = std::size_t { 3 };
/// Time in which hosts of the same zone learn from each other that one of them no longer reaches targets.
constexpr auto omitTime = std::chrono::seconds { 1 };

enum class Distance : std::uint8_t { Zone, Region, Far };

constexpr auto distanceCount = std::size_t { 3 };

} // namespace

SpillCandidates::SpillCandidates(std::uint64_t seed)
    : random(seed)
{
}

auto SpillCandidates::select(const Membership& membership, const CandidateQuery& query, TimePoint now)
    -> std::vector<HostEntry>
{
    std::erase_if(this->omittedUntil, [&](const auto& item) { return now >= item.second; });
    const auto ownRegion = query.regionOf(query.zone);
    auto byDistance = std::array<std::vector<const HostEntry*>, distanceCount> {};
    const auto add = [&](const HostEntry& host) {
        if (!host.isServing() || !host.reachesTargets || this->omittedUntil.contains(host.incarnation))
            return;
        const auto region = query.regionOf(host.zone);
        const auto& regions = query.regions;
        if (!regions.empty() && std::ranges::find(regions, region) == regions.end())
            return;
        const auto farther = region == ownRegion ? Distance::Region : Distance::Far;
        const auto distance = host.zone == query.zone ? Distance::Zone : farther;
        byDistance.at(static_cast<std::size_t>(distance)).push_back(&host);
    };
    std::ranges::for_each(membership.zonePeers(), add);
    std::ranges::for_each(membership.remoteHosts(), add);
    auto selected = std::vector<HostEntry> {};
    for (auto& hosts : byDistance)
        this->addRandom(std::move(hosts), selected);
    return selected;
}

auto SpillCandidates::recordUnable(const HostEntry& host, TimePoint now) -> void
{
    this->omittedUntil[host.incarnation] = now + omitTime;
}

auto SpillCandidates::addRandom(std::vector<const HostEntry*> hosts, std::vector<HostEntry>& selected) -> void
{
    std::ranges::shuffle(hosts, this->random);
    hosts.resize(std::min(hosts.size(), hostsPerDistance));
    for (const auto* host : hosts)
        selected.push_back(*host);
}

} // namespace citronloft
