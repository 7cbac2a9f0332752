#include "citronloft/edge/lookup_service.hpp"

#include <nlohmann/json.hpp>

namespace citronloft {

namespace {

constexpr auto buildInterval = std::chrono::milliseconds { 100 };

} // namespace

LookupService::LookupService(const Membership& membership, std::string zone)
    : membership(membership)
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
    this->nextBuildAt = TimePoint {};
}

auto LookupService::tick(TimePoint now) -> void
{
    if (now < this->nextBuildAt)
        return;
    this->nextBuildAt = now + buildInterval;
    for (const auto& zone : this->zoneNames)
        this->buildBody(zone);
    this->plan.tick([this](const std::string& zone) { return this->isUp(zone); }, now);
}

auto LookupService::answer(const HttpRequest& request, const std::string& callerIp) const -> HttpResponse
{
    const auto named = queryValue(request.target, "client");
    const auto& ip = named.empty() ? callerIp : named;
    const auto zone = this->plan.zoneFor(ip, [this](const std::string& name) { return this->isUp(name); });
    auto response = HttpResponse {};
    if (!zone || !this->isUp(*zone)) {
        response.status = 503;
        return response;
    }
    response.body = this->bodies.at(*zone);
    response.fields.set("Content-Type", "application/json");
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->ttl).count();
    response.fields.set("Cache-Control", "max-age=" + std::to_string(seconds));
    return response;
}

auto LookupService::buildBody(const std::string& zone) -> void
{
    auto hosts = nlohmann::json::array();
    for (const auto& host : this->membership.hostsOf(zone)) {
        if (host.state == HostState::Serving)
            hosts.push_back({ { "address", formatAddress(host.serviceAddress()) }, { "weight", 1 } });
    }
    if (hosts.empty()) {
        this->bodies.erase(zone);
        return;
    }
    const auto body = nlohmann::json {
        { "zone", zone },
        { "hosts", hosts },
        { "ttl_ms", this->ttl.count() },
        { "version", this->version },
    };
    this->bodies[zone] = body.dump();
}

} // namespace citronloft
