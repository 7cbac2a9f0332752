#include "citronloft/edge/request_explanation.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace citronloft {

namespace {

constexpr auto outcomeNames = std::to_array<std::string_view>({ "sent", "forwarded", "waiting", "refused" });

/// Returns the name of a result, or null for Answered.
auto refusalName(ResultCode code) -> nlohmann::json
{
    return code == ResultCode::Answered ? nlohmann::json() : nlohmann::json(resultInfo(code).name);
}

auto textOrNull(const std::string& text) -> nlohmann::json
{
    return text.empty() ? nlohmann::json() : nlohmann::json(text);
}

auto toJson(const ExplainedTarget& target) -> nlohmann::json
{
    return { { "key", target.key }, { "address", target.address }, { "zone", target.zone }, { "region", target.region },
        { "weight", target.weight }, { "load", target.load }, { "in_flight", target.inFlight },
        { "state", targetStateName(target.state) },
        { "skipped", textOrNull(std::string { skipReasonName(target.skipped) }) } };
}

auto toJson(const ExplainedPool& pool) -> nlohmann::json
{
    auto targets = nlohmann::json::array();
    for (const auto& target : pool.choice.targets)
        targets.push_back(toJson(target));
    return { { "pool", pool.pool }, { "weight", pool.weight }, { "queued", pool.queued },
        { "outcome", outcomeName(pool.outcome) }, { "refusal", refusalName(pool.refusal) },
        { "chosen", textOrNull(pool.choice.chosen) }, { "random", pool.choice.isRandom }, { "targets", targets } };
}

/// Sets path and, unless a header field states it, the host of a request from its URL.
auto setUrl(HttpRequest& request, std::string_view url) -> absl::Status
{
    for (const auto* scheme : { "http://", "https://" }) {
        if (!url.starts_with(scheme))
            continue;
        url.remove_prefix(std::string_view { scheme }.size());
        const auto pathStart = std::min(url.find_first_of("/?"), url.size());
        const auto host = url.substr(0, pathStart);
        // User information may contain a password.
        if (host.empty() || host.find('@') != std::string_view::npos)
            return absl::InvalidArgumentError("url: expected a host name without user information");
        if (!request.fields.has("Host"))
            request.fields.set("Host", host);
        url.remove_prefix(pathStart);
        request.target = url.starts_with('/') ? std::string { url } : "/" + std::string { url };
        return absl::OkStatus();
    }
    if (!url.starts_with('/'))
        return absl::InvalidArgumentError("url: expected a path, or http:// or https:// with a host name");
    request.target = url;
    return absl::OkStatus();
}

auto hasControlCharacter(std::string_view text) -> bool
{
    return std::ranges::any_of(text, [](unsigned char c) { return c < 0x20U || c == 0x7fU; });
}

auto isToken(std::string_view text) -> bool
{
    constexpr auto separators = std::string_view { "()<>@,;:\\\"/[]?={} " };
    return !text.empty() && !hasControlCharacter(text) && text.find_first_of(separators) == std::string_view::npos;
}

auto addHeader(HttpRequest& request, const nlohmann::json& header) -> absl::Status
{
    const auto isText
        = [&](const char* name) { return header.is_object() && header.contains(name) && header[name].is_string(); };
    if (!isText("name") || !isText("value"))
        return absl::InvalidArgumentError("headers: expected objects with the texts 'name' and 'value'");
    const auto name = header["name"].get<std::string>();
    const auto value = header["value"].get<std::string>();
    if (!isToken(name) || hasControlCharacter(value))
        return absl::InvalidArgumentError("headers: a name or value has characters that a header field cannot have");
    request.fields.add(name, value);
    return absl::OkStatus();
}

} // namespace

auto outcomeName(ExplainedOutcome outcome) -> std::string_view
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

auto combinePools(RequestExplanation& explanation) -> void
{
    const auto best = std::ranges::min_element(explanation.pools, {}, &ExplainedPool::outcome);
    if (best == explanation.pools.end())
        return;
    explanation.outcome = best->outcome;
    explanation.refusal = best->refusal;
    const auto lacksToken = explanation.rate && !explanation.rate->hasToken();
    if (lacksToken && explanation.outcome != ExplainedOutcome::Refused)
        explanation.outcome = ExplainedOutcome::Waiting;
}

auto formatExplanation(const RequestExplanation& explanation) -> std::string
{
    auto pools = nlohmann::json::array();
    for (const auto& pool : explanation.pools)
        pools.push_back(toJson(pool));
    auto rate = nlohmann::json();
    if (explanation.rate)
        rate = { { "fleet_per_second", explanation.rate->fleetPerSecond },
            { "host_per_second", explanation.rate->hostPerSecond }, { "tokens", explanation.rate->tokens },
            { "has_token", explanation.rate->hasToken() } };
    const auto json = nlohmann::json { { "outcome", outcomeName(explanation.outcome) },
        { "refusal", refusalName(explanation.refusal) }, { "config_version", explanation.configVersion },
        { "route", textOrNull(explanation.route) }, { "team", textOrNull(explanation.team) }, { "rate", rate },
        { "regions", explanation.regions }, { "has_object", explanation.hasObject },
        { "reaches_targets", explanation.reachesTargets }, { "pools", pools } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto parseExplainedRequest(std::string_view body) -> absl::StatusOr<HttpRequest>
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return absl::InvalidArgumentError("expected a JSON object with 'method' and 'url'");
    for (const auto* name : { "method", "url" }) {
        if (!json.contains(name) || !json[name].is_string())
            return absl::InvalidArgumentError(std::string { name } + ": expected a text");
    }
    auto request = HttpRequest { json["method"].get<std::string>(), {}, {}, {} };
    if (!isToken(request.method))
        return absl::InvalidArgumentError("method: expected an HTTP method, such as GET");
    const auto headers = json.value("headers", nlohmann::json::array());
    if (!headers.is_array())
        return absl::InvalidArgumentError("headers: expected a list");
    for (const auto& header : headers) {
        if (const auto status = addHeader(request, header); !status.ok())
            return status;
    }
    const auto url = json["url"].get<std::string>();
    if (hasControlCharacter(url) || url.find(' ') != std::string::npos)
        return absl::InvalidArgumentError("url: spaces and control characters must be escaped");
    if (const auto status = setUrl(request, url.substr(0, url.find('#'))); !status.ok())
        return status;
    return request;
}

} // namespace citronloft
