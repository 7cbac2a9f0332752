#include "citronloft/edge/call.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

#include "citronloft/base/digest.hpp"

namespace citronloft {

ForwardedRequest::ForwardedRequest(const Dialect& dialect, Call& call, const std::string& instance, TimePoint now)
    : original(*call.request)
{
    auto fields = ForwardedFields {};
    fields.team = call.team == nullptr ? std::string {} : call.team->name;
    fields.remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
    fields.instance = instance;
    auto body = std::exchange(this->original.body, {});
    this->request = dialect.makeTargetRequest(this->original, fields);
    this->request.fields.remove(spillHeader);
    this->request.body = std::move(body);
}

/// The digest is cryptographic, so that a caller cannot prepare a request that is taken for another one.
auto computeRequestIdentity(const Call& call) -> std::uint64_t
{
    const auto& request = *call.request;
    auto text = std::string {};
    const auto append = [&text](std::string_view part) {
        text += std::to_string(part.size()) + ":";
        text += part;
    };
    append(request.method);
    append(request.fields.get("Host"));
    append(request.target);
    append(call.team == nullptr ? std::string_view {} : std::string_view { call.team->name });
    append(request.body);
    const auto digest = sha256(text);
    auto identity = std::uint64_t { 0 };
    std::memcpy(&identity, digest.data(), sizeof(identity));
    return std::max(identity, std::uint64_t { 1 });
}

auto parseMilliseconds(std::string_view text) -> std::optional<std::chrono::milliseconds>
{
    constexpr auto maxMilliseconds = std::int64_t { 3'600'000 };
    auto value = std::int64_t { 0 };
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return std::chrono::milliseconds { std::min(value, maxMilliseconds) };
}

auto parseRetryAfter(const HeaderFields& fields) -> absl::StatusOr<std::optional<std::chrono::milliseconds>>
{
    constexpr auto name = "Retry-After";
    constexpr auto maxTime = std::chrono::duration<double>(std::chrono::hours { 1 });
    if (!fields.has(name))
        return std::nullopt;
    const auto text = fields.get(name);
    auto seconds = 0.0;
    const auto [end, error]
        = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    const auto isNumber = error == std::errc {} && end == text.data() + text.size() && std::isfinite(seconds);
    if (!isNumber || seconds < 0)
        return absl::InvalidArgumentError("Retry-After: expected decimal seconds, got " + std::string { text });
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(std::chrono::duration<double>(seconds), maxTime));
}

auto provesNotRun(ResultCode code) -> bool { return resultInfo(code).outcome == Outcome::NotRun; }

auto regionOf(const Call& call, const std::string& zone) -> std::string
{
    const auto& zones = call.snapshot->active->config.zones;
    const auto found = std::ranges::find(zones, zone, &Zone::name);
    return found == zones.end() ? std::string {} : found->region;
}

} // namespace citronloft
