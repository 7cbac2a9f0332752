#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "citronloft/edge/call.hpp"
#include "citronloft/edge/dialect.hpp"
#include "citronloft/edge/http_server.hpp"
#include "citronloft/edge/lookup_service.hpp"

namespace citronloft {

namespace {

constexpr auto idempotencyField = "Idempotency-Key";
constexpr auto keyField = "Citronloft-Key";
constexpr auto teamField = "Citronloft-Team";

auto removeProjectFields(HeaderFields& fields) -> void
{
    constexpr auto prefix = std::string_view { "Citronloft-" };
    auto names = std::vector<std::string> {};
    for (const auto& field : fields) {
        if (field.name.size() >= prefix.size() && equalHeaderName(field.name.substr(0, prefix.size()), prefix))
            names.push_back(field.name);
    }
    for (const auto& name : names)
        fields.remove(name);
}

class DefaultDialect final : public Dialect {
public:
    [[nodiscard]] auto isLookupRequest(const HttpRequest& request) const -> bool override
    {
        return request.method == "GET"
            && std::string_view { request.target }.substr(0, request.target.find('?')) == lookupPath;
    }

    [[nodiscard]] auto parseLookup(const HttpRequest& request) const -> LookupQuery override
    {
        return { queryValue(request.target, "client"), {} };
    }

    [[nodiscard]] auto makeLookupResponse(const LookupAnswer& answer) const -> HttpResponse override
    {
        auto hosts = nlohmann::json::array();
        for (const auto& host : answer.hosts)
            hosts.push_back({ { "address", host }, { "weight", 1 } });
        const auto body = nlohmann::json {
            { "zone", answer.zone },
            { "hosts", hosts },
            { "ttl_ms", answer.ttl.count() },
            { "version", answer.configVersion },
        };
        auto response = HttpResponse {};
        response.body = body.dump();
        response.fields.set("Content-Type", "application/json");
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(answer.ttl).count();
        response.fields.set("Cache-Control", "max-age=" + std::to_string(seconds));
        return response;
    }

    [[nodiscard]] auto parseRequest(const HttpRequest& request) const -> CallerFields override
    {
        auto fields = CallerFields {};
        fields.key = request.fields.get(keyField);
        fields.hasKey = request.fields.has(keyField);
        fields.idempotencyKey = request.fields.get(idempotencyField);
        fields.hasIdempotencyKey = request.fields.has(idempotencyField);
        fields.object = request.fields.get(objectHeader);
        fields.callerTimeout = parseMilliseconds(request.fields.get(deadlineHeader));
        return fields;
    }

    [[nodiscard]] auto makeTargetRequest(const HttpRequest& received, const ForwardedFields& fields) const
        -> HttpRequest override
    {
        auto request = received;
        removeHopByHopFields(request.fields);
        removeProjectFields(request.fields);
        request.fields.remove("Host");
        request.fields.remove("Content-Length");
        if (!fields.team.empty())
            request.fields.set(teamField, fields.team);
        request.fields.set(deadlineHeader, std::to_string(std::max<std::int64_t>(fields.remainingTime.count(), 0)));
        return request;
    }

    [[nodiscard]] auto parseResponse(const HttpResponse& answer) const -> TargetFields override
    {
        auto fields = TargetFields {};
        fields.notRun = answer.status == 503 && answer.fields.get(outcomeHeader) == "not-run";
        if (fields.notRun)
            fields.pause = parseRetryAfter(answer.fields);
        return fields;
    }

    [[nodiscard]] auto isTargetResponse(const HttpResponse&, std::string_view) const -> bool override { return true; }

    [[nodiscard]] auto requestIdField() const -> std::string_view override { return {}; }

    auto sanitizeResponse(HttpResponse& answer, bool isHead) const -> void override
    {
        removeHopByHopFields(answer.fields);
        removeProjectFields(answer.fields);
        if (!isHead && answer.status != 304)
            answer.fields.remove("Content-Length");
    }

    [[nodiscard]] auto makeErrorResponse(ResultCode code, std::chrono::milliseconds retryAfter) const
        -> HttpResponse override
    {
        return problemResponse(code, retryAfter);
    }

    auto addResultFields(HttpResponse& answer, ResultCode code, std::uint64_t configVersion) const -> void override
    {
        const auto& info = resultInfo(code);
        answer.fields.set(codeHeader, std::to_string(static_cast<unsigned>(info.code)));
        answer.fields.set(outcomeHeader, outcomeName(info.outcome));
        if (configVersion > 0)
            answer.fields.set("Citronloft-Config-Version", std::to_string(configVersion));
    }
};

} // namespace

auto makeDefaultDialect() -> std::unique_ptr<Dialect> { return std::make_unique<DefaultDialect>(); }

} // namespace citronloft
