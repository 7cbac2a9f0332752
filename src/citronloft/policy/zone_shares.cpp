#include "citronloft/policy/zone_shares.hpp"

#include <algorithm>
#include <numeric>

namespace citronloft {

namespace {

/// Spare capacity and unserved demand of a zone, in units of one zone's total demand.
struct Balance {
    const ZoneCapacity* zone = nullptr;
    double spare = 0;
    double unserved = 0;
};

auto sumOf(const std::vector<Balance*>& balances, double Balance::*member) -> double
{
    return std::accumulate(balances.begin(), balances.end(), 0.0,
        [&](double sum, const Balance* balance) { return sum + balance->*member; });
}

/// Distributes the unserved demand of the members over their spare capacity, in proportion.
/// @param shares receives the demand that zone `from` sends to each zone.
auto distributeUnserved(
    const std::vector<Balance*>& members, const std::string& from, std::map<std::string, double>& shares) -> void
{
    const auto spare = sumOf(members, &Balance::spare);
    const auto unserved = sumOf(members, &Balance::unserved);
    if (spare <= 0 || unserved <= 0)
        return;
    const auto served = std::min(1.0, spare / unserved);
    const auto used = std::min(1.0, unserved / spare);
    for (const auto* source : members) {
        if (source->zone->zone != from)
            continue;
        for (const auto* destination : members)
            shares[destination->zone->zone] += source->unserved * served * destination->spare / spare;
    }
    for (auto* member : members) {
        member->unserved *= 1 - served;
        member->spare *= 1 - used;
    }
}

} // namespace

auto shareAmongZones(const std::vector<ZoneCapacity>& zones, const std::string& from, ZoneShareOption option)
    -> std::map<std::string, double>
{
    auto shares = std::map<std::string, double> {};
    auto total = 0.0;
    for (const auto& zone : zones)
        total += zone.slots;
    if (total <= 0)
        return shares;
    auto balances = std::vector<Balance> {};
    for (const auto& zone : zones) {
        const auto capacity = zone.slots / total * static_cast<double>(zones.size()) * option.headroom;
        const auto local = std::min(1.0, capacity);
        balances.push_back({ &zone, capacity - local, 1 - local });
        if (zone.zone == from)
            shares[from] = local;
    }
    for (const auto& own : zones) {
        if (own.zone != from)
            continue;
        auto region = std::vector<Balance*> {};
        for (auto& balance : balances) {
            if (balance.zone->region == own.region)
                region.push_back(&balance);
        }
        distributeUnserved(region, from, shares);
    }
    auto all = std::vector<Balance*> {};
    for (auto& balance : balances)
        all.push_back(&balance);
    distributeUnserved(all, from, shares);
    return shares;
}

} // namespace citronloft
