#include "citronloft/edge/target_prober.hpp"

#include <nlohmann/json.hpp>

namespace citronloft {

namespace {

constexpr auto probeTimeout = std::chrono::milliseconds { 800 };

} // namespace

TargetProber::TargetProber(const Clock& clock, std::shared_ptr<HttpClient> client)
    : clock(clock)
    , client(std::move(client))
{
}

auto TargetProber::probe(PoolAdmission& admission, boost::asio::yield_context yield) -> void
{
    for (const auto& view : admission.targets().views(this->clock.now())) {
        // A target that asked for a pause wants no probes either.
        if (this->clock.now() >= view.pausedUntil)
            this->probeTarget(admission, view.address, yield);
    }
}

auto TargetProber::probeTarget(PoolAdmission& admission, const std::string& target, boost::asio::yield_context yield)
    -> void
{
    const auto address = parseAddress(target);
    const auto request = HttpRequest { "GET", "/healthz", {}, {} };
    const auto exchange
        = this->client->exchange(*address, request, { .deadline = this->clock.now() + probeTimeout }, yield);
    const auto isHealthy = exchange.error == ExchangeError::None && exchange.response.status == 200;
    admission.targets().recordProbe(target, isHealthy, this->clock.now());
    const auto report = nlohmann::json::parse(exchange.response.body, nullptr, false);
    if (!isHealthy || !report.is_object())
        return;
    const auto inFlight = report.value("in_flight", 0U);
    admission.targets().report(target, { inFlight, report.value("draining", false) }, this->clock.now());
}

} // namespace citronloft
