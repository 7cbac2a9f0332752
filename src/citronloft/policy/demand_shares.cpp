#include "citronloft/policy/demand_shares.hpp"

#include <algorithm>

namespace citronloft {

namespace {

template <typename Reporter> auto updateFromReport(Reporter& other, const DemandReport& report, TimePoint now) -> void
{
    other.lastKnownAt = now;
    other.lastReportAt = now;
    other.receivesOurReports = report.receivesOurReports;
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
    this->ownDemand.confirm(until);
    this->lastAnnounced = this->ownDemand.update(demands, now - until < this->option.increaseTimeout, now);
    // Without other hosts, the announcement needs no confirmation.
    this->ownDemand.confirm(until);
    return this->lastAnnounced;
}

auto DemandShares::recordHost(const std::string& ip, TimePoint now) -> void
{
    if (ip != this->self)
        this->hostReporters[ip].lastKnownAt = now;
}

auto DemandShares::recordHostReport(const std::string& ip, const DemandReport& report, TimePoint now) -> bool
{
    if (ip == this->self)
        return false;
    auto& other = this->hostReporters[ip];
    const auto isFirst = !other.hasReported();
    updateFromReport(other, report, now);
    return isFirst;
}

auto DemandShares::recordZoneReport(
    const std::string& zone, std::size_t hosts, const DemandReport& report, TimePoint now) -> void
{
    this->recordZoneHostCount(zone, hosts, now);
    updateFromReport(this->zoneReporters[zone], report, now);
}

auto DemandShares::recordZoneHostCount(const std::string& zone, std::size_t hosts, TimePoint now) -> void
{
    auto& other = this->zoneReporters[zone];
    other.lastKnownAt = now;
    other.hosts = hosts;
}

auto DemandShares::zoneDemands() const -> std::vector<BucketDemand>
{
    auto sums = std::map<std::uint64_t, double> {};
    for (const auto& demand : this->lastAnnounced)
        sums[demand.bucket] += demand.perSecond;
    for (const auto& [ip, other] : this->hostReporters) {
        for (const auto& [bucket, demand] : other.demands)
            sums[bucket] += demand;
    }
    auto list = std::vector<BucketDemand> {};
    for (const auto& [bucket, demand] : sums)
        list.push_back({ bucket, static_cast<float>(demand) });
    return list;
}

auto DemandShares::hostsWithoutRecentReport(TimePoint now) const -> std::vector<std::string>
{
    return this->withoutRecentReport(this->hostReporters, now);
}

auto DemandShares::zonesWithoutRecentReport(TimePoint now) const -> std::vector<std::string>
{
    return this->withoutRecentReport(this->zoneReporters, now);
}

auto DemandShares::withoutRecentReport(const Reporters& list, TimePoint now) const -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    for (const auto& [name, other] : list) {
        if (now - other.lastReportAt > this->option.reportTimeout)
            names.push_back(name);
    }
    return names;
}

auto DemandShares::removeExpired(TimePoint now) -> void
{
    this->removeExpired(this->hostReporters, now);
    this->removeExpired(this->zoneReporters, now);
}

auto DemandShares::removeExpired(Reporters& list, TimePoint now) const -> void
{
    for (auto& [name, other] : list) {
        if (!other.hasReported() || now - other.lastReportAt <= this->option.reportRetention)
            continue;
        other.lastReportAt = TimePoint {};
        other.demands.clear();
    }
    std::erase_if(list, [&](const auto& item) {
        return !item.second.hasReported() && now - item.second.lastKnownAt > this->option.reportRetention;
    });
}

auto DemandShares::otherHosts() const -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    for (const auto& [ip, other] : this->hostReporters)
        names.push_back(ip);
    return names;
}

auto DemandShares::hosts() const -> std::size_t
{
    auto sum = this->zoneHostCount();
    for (const auto& [zone, other] : this->zoneReporters)
        sum += other.hosts;
    return sum;
}

/// @return latest time for which all other hosts and zones are known to have processed the announcements made until
/// then.
auto DemandShares::confirmedUntil(TimePoint now) const -> TimePoint
{
    auto until = now;
    for (const auto& [ip, other] : this->hostReporters) {
        if (other.hasReported())
            until = std::min(
                until, other.receivesOurReports ? other.lastReportAt - this->option.hostProcessingDelay : TimePoint {});
    }
    const auto isNew = now - this->startedAt < this->option.reportRetention;
    for (const auto& [name, other] : this->zoneReporters) {
        // A known zone that has never reported may have been disconnected before this host started.
        const auto awaitsFirstReport = !other.hasReported() && isNew;
        if (awaitsFirstReport)
            return TimePoint {};
        if (other.hasReported())
            until = std::min(
                until, other.receivesOurReports ? other.lastReportAt - this->option.zoneProcessingDelay : TimePoint {});
    }
    return until;
}

auto DemandShares::othersDemand(std::uint64_t bucket) const -> double
{
    auto sum = 0.0;
    for (const auto* list : { &this->hostReporters, &this->zoneReporters }) {
        for (const auto& [name, other] : *list) {
            if (const auto found = other.demands.find(bucket); found != other.demands.end())
                sum += found->second;
        }
    }
    return sum;
}

auto DemandShares::fractionOf(std::uint64_t bucket, double rate) const -> double
{
    const auto hosts = static_cast<double>(this->hosts());
    const auto even = rate * this->option.evenFraction / hosts;
    const auto sum = this->ownDemand.announced(bucket) + this->othersDemand(bucket);
    const auto total = sum + even * hosts;
    return total > 0 ? (this->ownDemand.confirmed(bucket) + even) / total : 1.0 / hosts;
}

} // namespace citronloft
