#include "citronloft/edge/lookup_service.hpp"

namespace citronloft {

namespace {

constexpr auto buildInterval = std::chrono::milliseconds { 100 };

} // namespace

LookupService::LookupService(const Membership& membership, const Dialect& dialect, std::string zone)
    : membership(membership)
    , dialect(dialect)
    , ownZone(std::move(zone))
{
}

auto LookupService::setConfig(const ActiveConfig& active) -> void
{
    this->plan.setConfig(active.config, this->ownZone);
    this->zoneNames.clear();
    for (const auto& zone : active.config.zones)
        this->zoneNames.push_back(zone.name);
    this->ttl = active.config.settings.lookupTtl;
    this->version = active.version;
    this->zoneHosts.clear();
    this->nextBuildAt = TimePoint {};
}

auto LookupService::tick(TimePoint now) -> void
{
    if (now < this->nextBuildAt)
        return;
    this->nextBuildAt = now + buildInterval;
    for (const auto& zone : this->zoneNames)
        this->updateHosts(zone);
    this->plan.tick([this](const std::string& zone) { return this->isUp(zone); }, now);
}

auto LookupService::refresh(TimePoint now) -> void
{
    this->nextBuildAt = TimePoint {};
    this->tick(now);
}

auto LookupService::answer(const HttpRequest& request, const std::string& callerIp) -> HttpResponse
{
    const auto query = this->dialect.readLookup(request);
    const auto& ip = query.callerIp.empty() ? callerIp : query.callerIp;
    const auto isZoneUp = [this](const std::string& name) { return this->isUp(name); };
    const auto zone
        = query.zone.empty() ? this->plan.zoneFor(ip, isZoneUp) : this->plan.zoneFor(query.zone, ip, isZoneUp);
    if (!zone || !this->isUp(*zone)) {
        auto response = HttpResponse {};
        response.status = 503;
        return response;
    }
    auto& known = this->zoneHosts.at(*zone);
    if (!known.response)
        known.response = this->dialect.writeLookup({ *zone, known.hosts, this->ttl, this->version });
    return *known.response;
}

auto LookupService::updateHosts(const std::string& zone) -> void
{
    auto hosts = std::vector<std::string> {};
    for (const auto& host : this->membership.hostsOf(zone)) {
        if (host.state == HostState::Serving)
            hosts.push_back(formatAddress(host.serviceAddress()));
    }
    const auto known = this->zoneHosts.find(zone);
    if (known != this->zoneHosts.end() && known->second.hosts == hosts)
        return;
    if (hosts.empty())
        this->zoneHosts.erase(zone);
    else
        this->zoneHosts[zone] = { std::move(hosts), std::nullopt };
}

} // namespace citronloft
