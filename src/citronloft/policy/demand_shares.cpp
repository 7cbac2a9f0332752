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

auto DemandShares::forgetSilent(TimePoint now) -> void
{
    std::erase_if(
        this->others, [&](const auto& item) { return now - item.second.heardAt > this->option.remember; });
}

auto DemandShares::partOf(std::uint64_t bucket, double rate, double own) const -> double
{
    const auto even = rate * this->option.evenPart / static_cast<double>(this->hosts());
    auto sum = own;
    for (const auto& [ip, other] : this->others) {
        if (const auto found = other.demands.find(bucket); found != other.demands.end())
            sum += found->second;
    }
    const auto whole = sum + even * static_cast<double>(this->hosts());
    return whole > 0 ? (own + even) / whole : 1.0 / static_cast<double>(this->hosts());
}

} // namespace citronloft
