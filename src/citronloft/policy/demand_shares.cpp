#include "citronloft/policy/demand_shares.hpp"

#include <algorithm>

namespace citronloft {

namespace {

template <typename Other> auto takeReport(Other& other, const DemandReport& report, TimePoint now) -> void
{
    other.knownAt = now;
    other.heardAt = now;
    other.hearsUs = report.hearsUs;
    other.demands.clear();
    for (const auto& demand : report.demands)
        other.demands[demand.bucket] = demand.perSecond;
}

} // namespace

DemandShares::DemandShares(DemandSharesOption option, std::string self)
    : option(option)
    , self(std::move(self))
{
}

auto DemandShares::announce(const std::vector<BucketDemand>& demands, TimePoint now) -> std::vector<BucketDemand>
{
    if (this->startedAt == TimePoint {})
        this->startedAt = now;
    const auto until = this->confirmedUntil(now);
    this->own.confirm(until);
    this->told = this->own.update(demands, now - until < this->option.riseTimeout, now);
    // A host that is alone needs nobody's confirmation.
    this->own.confirm(until);
    return this->told;
}

auto DemandShares::noteHost(const std::string& ip, TimePoint now) -> void
{
    if (ip != this->self)
        this->others[ip].knownAt = now;
}

auto DemandShares::noteDemands(const std::string& ip, const DemandReport& report, TimePoint now) -> bool
{
    if (ip == this->self)
        return false;
    auto& other = this->others[ip];
    const auto isFirst = !other.isHeard();
    takeReport(other, report, now);
    return isFirst;
}

auto DemandShares::noteZone(const std::string& zone, std::size_t hosts, const DemandReport& report, TimePoint now)
    -> void
{
    this->noteZoneHosts(zone, hosts, now);
    takeReport(this->zones[zone], report, now);
}

auto DemandShares::noteZoneHosts(const std::string& zone, std::size_t hosts, TimePoint now) -> void
{
    auto& other = this->zones[zone];
    other.knownAt = now;
    other.hosts = hosts;
}

auto DemandShares::zoneDemands() const -> std::vector<BucketDemand>
{
    auto sums = std::map<std::uint64_t, double> {};
    for (const auto& demand : this->told)
        sums[demand.bucket] += demand.perSecond;
    for (const auto& [ip, other] : this->others) {
        for (const auto& [bucket, demand] : other.demands)
            sums[bucket] += demand;
    }
    auto list = std::vector<BucketDemand> {};
    for (const auto& [bucket, demand] : sums)
        list.push_back({ bucket, static_cast<float>(demand) });
    return list;
}

auto DemandShares::unheardHosts(TimePoint now) const -> std::vector<std::string>
{
    return this->unheard(this->others, now);
}

auto DemandShares::unheardZones(TimePoint now) const -> std::vector<std::string>
{
    return this->unheard(this->zones, now);
}

auto DemandShares::unheard(const Others& list, TimePoint now) const -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    for (const auto& [name, other] : list) {
        if (now - other.heardAt > this->option.deafAfter)
            names.push_back(name);
    }
    return names;
}

auto DemandShares::forgetSilent(TimePoint now) -> void
{
    this->forgetSilent(this->others, now);
    this->forgetSilent(this->zones, now);
}

auto DemandShares::forgetSilent(Others& list, TimePoint now) const -> void
{
    for (auto& [name, other] : list) {
        if (!other.isHeard() || now - other.heardAt <= this->option.remember)
            continue;
        other.heardAt = TimePoint {};
        other.demands.clear();
    }
    std::erase_if(list,
        [&](const auto& item) { return !item.second.isHeard() && now - item.second.knownAt > this->option.remember; });
}

auto DemandShares::otherHosts() const -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    for (const auto& [ip, other] : this->others)
        names.push_back(ip);
    return names;
}

auto DemandShares::hosts() const -> std::size_t
{
    auto sum = this->zoneHosts();
    for (const auto& [zone, other] : this->zones)
        sum += other.hosts;
    return sum;
}

/// @return the latest moment of which is known that everybody has taken in what was announced then.
auto DemandShares::confirmedUntil(TimePoint now) const -> TimePoint
{
    auto until = now;
    for (const auto& [ip, other] : this->others) {
        if (other.isHeard())
            until = std::min(until, other.hearsUs ? other.heardAt - this->option.hostSettle : TimePoint {});
    }
    const auto isNew = now - this->startedAt < this->option.remember;
    for (const auto& [name, other] : this->zones) {
        // A zone that is named but has never been heard may have been cut off before this host started.
        const auto isUnknown = !other.isHeard() && isNew;
        if (isUnknown)
            return TimePoint {};
        if (other.isHeard())
            until = std::min(until, other.hearsUs ? other.heardAt - this->option.zoneSettle : TimePoint {});
    }
    return until;
}

auto DemandShares::partOf(std::uint64_t bucket, double rate) const -> double
{
    const auto hosts = static_cast<double>(this->hosts());
    const auto even = rate * this->option.evenPart / hosts;
    auto sum = this->own.told(bucket);
    for (const auto* list : { &this->others, &this->zones }) {
        for (const auto& [name, other] : *list) {
            if (const auto found = other.demands.find(bucket); found != other.demands.end())
                sum += found->second;
        }
    }
    const auto whole = sum + even * hosts;
    return whole > 0 ? (this->own.usable(bucket) + even) / whole : 1.0 / hosts;
}

} // namespace citronloft
