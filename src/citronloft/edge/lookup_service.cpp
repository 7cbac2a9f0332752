#include "citronloft/edge/lookup_service.hpp"

#include <algorithm>

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
    this->reachesTargets
        = std::ranges::any_of(this->zoneHosts, [](const auto& item) { return item.second.reachesTargets; });
    this->lookupPlanner.tick([this](const std::string& zone) { return this->acceptsCallers(zone); }, now);
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
    const auto zone = this->chooseZone(query, ip);
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

auto LookupService::acceptsCallers(const std::string& zone) const -> bool
{
    const auto found = this->zoneHosts.find(zone);
    return found != this->zoneHosts.end() && (found->second.reachesTargets || !this->reachesTargets);
}

auto LookupService::chooseZone(const LookupQuery& query, const std::string& ip) const -> std::optional<std::string>
{
    const auto choose = [&](const LookupPlanner::ZoneIsUp& isUp) {
        return query.zone.empty() ? this->lookupPlanner.zoneFor(ip, isUp)
                                  : this->lookupPlanner.zoneFor(query.zone, ip, isUp);
    };
    const auto zone = choose([this](const std::string& name) { return this->acceptsCallers(name); });
    // The hosts of a zone without targets still serve the callers that may not move yet, through other hosts.
    return zone ? zone : choose([this](const std::string& name) { return this->hasServingHost(name); });
}

auto LookupService::updateHosts(const std::string& zone) -> void
{
    auto hosts = std::vector<std::string> {};
    auto withoutTargets = std::vector<std::string> {};
    for (const auto& host : this->membership.hostsOf(zone)) {
        if (host.isServing())
            (host.reachesTargets ? hosts : withoutTargets).push_back(formatAddress(host.serviceAddress()));
    }
    const auto reaches = !hosts.empty();
    if (!reaches)
        hosts = std::move(withoutTargets);
    const auto zoneEntry = this->zoneHosts.find(zone);
    if (zoneEntry != this->zoneHosts.end() && zoneEntry->second.hosts == hosts
        && zoneEntry->second.reachesTargets == reaches)
        return;
    if (hosts.empty())
        this->zoneHosts.erase(zone);
    else
        this->zoneHosts[zone] = { std::move(hosts), reaches, std::nullopt };
}

} // namespace citronloft
