#include "citronloft/edge/lookup_service.hpp"

namespace citronloft {

namespace {

constexpr auto rebuildInterval = std::chrono::milliseconds { 100 };

} // namespace

LookupService::LookupService(const Membership& membership, const Dialect& dialect, std::string zone)
    : membership(membership)
    , dialect(dialect)
    , ownZone(std::move(zone))
{
}

auto LookupService::setConfig(const ActiveConfig& active) -> void
{
    this->lookupPlanner.setConfig(active.config, this->ownZone);
    this->zoneNames.clear();
    for (const auto& zone : active.config.zones)
        this->zoneNames.push_back(zone.name);
    this->ttl = active.config.settings.lookupTtl;
    this->version = active.version;
    this->zoneHosts.clear();
    this->nextRebuildAt = TimePoint {};
}

auto LookupService::tick(TimePoint now) -> void
{
    if (now < this->nextRebuildAt)
        return;
    this->nextRebuildAt = now + rebuildInterval;
    for (const auto& zone : this->zoneNames)
        this->updateHosts(zone);
    this->lookupPlanner.tick([this](const std::string& zone) { return this->hasServingHost(zone); }, now);
}

auto LookupService::refresh(TimePoint now) -> void
{
    this->nextRebuildAt = TimePoint {};
    this->tick(now);
}

auto LookupService::answer(const HttpRequest& request, const std::string& callerIp) -> HttpResponse
{
    const auto query = this->dialect.parseLookup(request);
    const auto& ip = query.callerIp.empty() ? callerIp : query.callerIp;
    const auto isZoneAvailable = [this](const std::string& name) { return this->hasServingHost(name); };
    const auto zone = query.zone.empty() ? this->lookupPlanner.zoneFor(ip, isZoneAvailable)
                                         : this->lookupPlanner.zoneFor(query.zone, ip, isZoneAvailable);
    if (!zone || !this->hasServingHost(*zone)) {
        auto response = HttpResponse {};
        response.status = 503;
        return response;
    }
    auto& zoneEntry = this->zoneHosts.at(*zone);
    if (!zoneEntry.response)
        zoneEntry.response = this->dialect.makeLookupResponse({ *zone, zoneEntry.hosts, this->ttl, this->version });
    return *zoneEntry.response;
}

auto LookupService::updateHosts(const std::string& zone) -> void
{
    auto hosts = std::vector<std::string> {};
    for (const auto& host : this->membership.hostsOf(zone)) {
        if (host.state == HostState::Serving)
            hosts.push_back(formatAddress(host.serviceAddress()));
    }
    const auto zoneEntry = this->zoneHosts.find(zone);
    if (zoneEntry != this->zoneHosts.end() && zoneEntry->second.hosts == hosts)
        return;
    if (hosts.empty())
        this->zoneHosts.erase(zone);
    else
        this->zoneHosts[zone] = { std::move(hosts), std::nullopt };
}

} // namespace citronloft
