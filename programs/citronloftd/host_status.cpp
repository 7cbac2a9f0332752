#include <algorithm>

#include <nlohmann/json.hpp>

#include "citronloft/fleet/slot_map.hpp"
#include "host.hpp"

namespace citronloft {

auto Host::handleExplain(const HttpRequest& request) const -> HttpResponse
{
    auto response = HttpResponse {};
    response.fields.set("Content-Type", "application/json");
    // The body may contain a key, which must not get into logs as part of a path.
    const auto explained = request.method == "POST"
        ? parseExplainedRequest(request.body)
        : absl::StatusOr<HttpRequest>(absl::InvalidArgumentError("expected POST with a JSON object"));
    if (explained.ok()) {
        response.body = formatExplanation(this->gateway->explain(*explained));
        return response;
    }
    response.status = request.method == "POST" ? 400 : 405;
    response.body = nlohmann::json { { "error", explained.status().message() } }.dump();
    return response;
}

auto Host::handleStatus(const HttpRequest& request) -> HttpResponse
{
    auto response = HttpResponse {};
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto state = this->lifecycle->state();
    response.fields.set("Content-Type", "application/json");
    if (path == "/healthz") {
        response = this->handleReady();
        response.body = nlohmann::json { { "state", hostStateName(state) } }.dump();
    } else if (path == "/explain") {
        return this->handleExplain(request);
    } else if (path == "/status") {
        response.body = this->statusBody();
    } else if (path == "/metrics") {
        const auto& rates = this->fleet->rates().stats();
        this->metrics.set(
            "citronloft_rate_admitted", "how=\"at-once\"", static_cast<double>(rates.admittedImmediately));
        this->metrics.set("citronloft_rate_admitted", "how=\"loan\"", static_cast<double>(rates.admittedAfterLoan));
        this->metrics.set("citronloft_rate_refused", "why=\"empty\"", static_cast<double>(rates.refusedWithoutTokens));
        this->metrics.set("citronloft_rate_refused", "why=\"late\"", static_cast<double>(rates.refusedOnTimeout));
        this->metrics.set("citronloft_rate_asks", "direction=\"sent\"", static_cast<double>(rates.loanRequestsSent));
        this->metrics.set(
            "citronloft_rate_asks", "direction=\"received\"", static_cast<double>(rates.loanRequestsReceived));
        response.fields.set("Content-Type", "text/plain; version=0.0.4");
        response.body = this->metrics.prometheus();
    } else {
        response.status = 404;
        response.body = R"({"error":"unknown path; try /healthz, /status or /metrics"})";
    }
    return response;
}

auto Host::handleReady() const -> HttpResponse
{
    auto response = HttpResponse {};
    response.status = this->lifecycle->state() == HostState::Serving ? 200 : 503;
    return response;
}

auto Host::statusBody() const -> std::string
{
    const auto now = this->clock.now();
    const auto& self = this->fleet->membership().self();
    const auto& vitals = this->fleet->membership().vitals();
    auto pools = nlohmann::json::object();
    for (const auto& [name, admission] : this->gateway->pools()) {
        auto targets = nlohmann::json::array();
        for (const auto& view : admission->targets().views(now)) {
            const auto pause = std::max<Duration>(view.pausedUntil - now, Duration {});
            targets.push_back({ { "address", view.address }, { "state", targetStateName(view.state) },
                { "in_flight", view.inFlight }, { "limit", view.limit },
                { "announced_limit", view.announcedLimit ? nlohmann::json(*view.announcedLimit) : nlohmann::json() },
                { "leaving", view.isLeaving },
                { "paused_ms", std::chrono::ceil<std::chrono::milliseconds>(pause).count() } });
        }
        pools[name]
            = { { "queued", admission->queued() }, { "headroom", admission->headroom() }, { "targets", targets } };
    }
    auto peers = nlohmann::json::array();
    for (const auto& peer : this->fleet->membership().zonePeers())
        peers.push_back({ { "address", formatAddress(peer.peerAddress()) }, { "state", hostStateName(peer.state) },
            { "reaches_targets", peer.reachesTargets }, { "status", formatAddress({ peer.ip, peer.statusPort }) } });
    auto remote = nlohmann::json::array();
    for (const auto& host : this->fleet->membership().remoteHosts())
        remote.push_back({ { "address", formatAddress(host.peerAddress()) }, { "zone", host.zone },
            { "status", formatAddress({ host.ip, host.statusPort }) } });
    auto movedFractions = nlohmann::json::object();
    if (const auto active = this->fleet->config().active()) {
        for (const auto& zone : active->config.zones)
            movedFractions[zone.name] = this->gateway->lookups().planner().movedFraction(zone.name);
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(this->fleet->config().age(now));
    return nlohmann::json {
        { "address", formatAddress({ self.ip, self.servicePort }) },
        { "incarnation", std::to_string(self.incarnation) },
        { "zone", self.zone },
        { "state", hostStateName(this->lifecycle->state()) },
        { "reaches_targets", self.reachesTargets },
        { "config_version", vitals.configVersion },
        { "config_age_ms", age.count() },
        { "steward_epoch", vitals.leaderEpoch },
        { "known_epoch", vitals.knownEpoch },
        { "slots", countSlots(this->fleet->shares().usableSlots(now)) },
        { "lease_unconfirmed", this->fleet->shares().isUnconfirmed(now) },
        { "store_reachable", vitals.storeReachable },
        { "in_flight", this->gateway->inFlight() },
        { "target_path", pathStateName(this->gateway->pathState()) },
        { "pools", pools },
        { "zone_peers", peers },
        { "remote_hosts", remote },
        { "moved_part", movedFractions },
    }
        .dump();
}

} // namespace citronloft
