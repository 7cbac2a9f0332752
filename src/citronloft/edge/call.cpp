#include "citronloft/edge/call.hpp"

#include <algorithm>

namespace citronloft {

namespace {

auto removeOwnFields(HeaderFields& fields) -> void
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

} // namespace

auto makeForwardedRequest(const Call& call, TimePoint now) -> HttpRequest
{
    auto request = *call.request;
    removeHopByHopFields(request.fields);
    removeOwnFields(request.fields);
    request.fields.remove("Host");
    request.fields.remove("Content-Length");
    if (call.team != nullptr)
        request.fields.set("Citronloft-Team", call.team->name);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
    request.fields.set(deadlineHeader, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    return request;
}

auto cleanAnswer(HttpResponse& response, bool isHead) -> void
{
    removeHopByHopFields(response.fields);
    removeOwnFields(response.fields);
    if (!isHead && response.status != 304)
        response.fields.remove("Content-Length");
}

auto isRefusal(ResultCode code) -> bool { return resultInfo(code).outcome == Outcome::NotRun; }

auto regionOf(const Call& call, const std::string& zone) -> std::string
{
    const auto& zones = call.snapshot->active->config.zones;
    const auto found = std::ranges::find(zones, zone, &Zone::name);
    return found == zones.end() ? std::string {} : found->region;
}

} // namespace citronloft
