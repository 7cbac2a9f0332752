#include "citronloft/policy/demand_shares.hpp"

namespace citronloft {

DemandShares::DemandShares(DemandSharesOption option, std::string self)
    : option(option)
    , self(std::move(self))
{
}

auto DemandShares::noteHost(const std::string& ip, TimePoint now) -> void
{
    if (ip != this->self)
        this->others[ip].heardAt = now;
}

auto DemandShares::noteDemands(const std::string& ip, const std::vector<BucketDemand>& demands, TimePoint now) -> void
{
    if (ip == this->self)
        return;
    auto& other = this->others[ip];
    other.heardAt = now;
    other.demands.clear();
    for (const auto& demand : demands)
        other.demands[demand.bucket] = demand.perSecond;
}

auto DemandShares::noteZone(
    const std::string& zone, std::size_t hosts, const std::vector<BucketDemand>& demands, TimePoint now) -> void
{
    this->noteZoneHosts(zone, hosts, now);
    auto& other = this->zones[zone];
    other.demands.clear();
    for (const auto& demand : demands)
        other.demands[demand.bucket] = demand.perSecond;
}

auto DemandShares::noteZoneHosts(const std::string& zone, std::size_t hosts, TimePoint now) -> void
{
    auto& other = this->zones[zone];
    other.heardAt = now;
    other.hosts = hosts;
}

auto DemandShares::zoneDemands(const std::vector<BucketDemand>& own) const -> std::vector<BucketDemand>
{
    auto sums = std::map<std::uint64_t, double> {};
    for (const auto& demand : own)
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

auto DemandShares::forgetSilent(TimePoint now) -> void
{
    const auto isSilent = [&](const auto& item) { return now - item.second.heardAt > this->option.remember; };
    std::erase_if(this->others, isSilent);
    std::erase_if(this->zones, isSilent);
}

auto DemandShares::hosts() const -> std::size_t
{
    auto sum = this->zoneHosts();
    for (const auto& [zone, other] : this->zones)
        sum += other.hosts;
    return sum;
}

auto DemandShares::partOf(std::uint64_t bucket, double rate, double own) const -> double
{
    const auto hosts = static_cast<double>(this->hosts());
    const auto even = rate * this->option.evenPart / hosts;
    auto sum = own;
    for (const auto* list : { &this->others, &this->zones }) {
        for (const auto& [name, other] : *list) {
            if (const auto found = other.demands.find(bucket); found != other.demands.end())
                sum += found->second;
        }
    }
    const auto whole = sum + even * hosts;
    return whole > 0 ? (own + even) / whole : 1.0 / hosts;
}

} // namespace citronloft
