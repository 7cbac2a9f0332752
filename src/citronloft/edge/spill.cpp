#include "citronloft/edge/spill.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <vector>

#include "citronloft/base/digest.hpp"

namespace citronloft {

namespace {

/// Minimum time for which used nonces are kept; longer than any request's deadline.
constexpr auto nonceLifetime = std::chrono::minutes { 15 };
constexpr auto ticketFieldCount = std::size_t { 6 };
constexpr auto reasonNames = std::to_array<std::string_view>({ "no-capacity", "no-path", "connect-failed" });

auto splitFields(std::string_view text) -> std::vector<std::string>
{
    auto fields = std::vector<std::string> { {} };
    for (const auto c : text) {
        if (c == ';')
            fields.emplace_back();
        else
            fields.back() += c;
    }
    return fields;
}

template <typename Number> auto parseNumber(std::string_view text) -> std::optional<Number>
{
    auto number = Number { 0 };
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Returns the fields of a ticket before its signature.
auto ticketText(const SpillTicket& ticket) -> std::string
{
    return ticket.team + ";" + ticket.route + ";" + std::to_string(ticket.nonce) + ";"
        + std::string { spillReasonName(ticket.reason) } + ";" + std::to_string(ticket.attempts);
}

auto parseTicket(const std::vector<std::string>& fields) -> std::optional<SpillTicket>
{
    if (fields.size() != ticketFieldCount)
        return std::nullopt;
    const auto nonce = parseNumber<std::uint64_t>(fields[2]);
    const auto reason = std::ranges::find(reasonNames, fields[3]);
    const auto attempts = parseNumber<unsigned>(fields[4]);
    if (!nonce || reason == reasonNames.end() || !attempts)
        return std::nullopt;
    return SpillTicket { fields[0], fields[1], *nonce, static_cast<SpillReason>(reason - reasonNames.begin()),
        *attempts };
}

auto formatResult(const SpillResult& result) -> std::string
{
    return std::to_string(static_cast<unsigned>(result.code)) + ";" + std::to_string(result.sent);
}

auto parseResult(std::string_view text) -> std::optional<SpillResult>
{
    const auto separator = text.find(';');
    if (separator == std::string_view::npos)
        return std::nullopt;
    const auto number = parseNumber<unsigned>(text.substr(0, separator));
    const auto sent = parseNumber<unsigned>(text.substr(separator + 1));
    const auto info = std::ranges::find(
        resultTable(), number, [](const ResultInfo& row) { return std::optional(static_cast<unsigned>(row.code)); });
    if (!sent || info == resultTable().end())
        return std::nullopt;
    return SpillResult { info->code, *sent };
}

} // namespace

auto spillReasonName(SpillReason reason) -> std::string_view
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

auto addSpillFields(HttpResponse& response, const SpillResult& result) -> void
{
    response.fields.set(spillResultHeader, formatResult(result));
    response.fields.remove(spillTargetHeader);
    if (result.code != ResultCode::Answered || result.target.empty())
        return;
    response.fields.set(spillTargetHeader, result.target);
    response.fields.add("Connection", spillTargetHeader);
}

auto takeSpillFields(HttpResponse& response) -> std::optional<SpillResult>
{
    auto result = parseResult(response.fields.get(spillResultHeader));
    if (result && result->code == ResultCode::Answered)
        result->target = response.fields.get(spillTargetHeader);
    response.fields.remove(spillResultHeader);
    response.fields.remove(spillTargetHeader);
    return result;
}

SpillSigner::SpillSigner(std::string secret)
    : secret(std::move(secret))
{
}

auto SpillSigner::sign(const SpillTicket& ticket, const HttpRequest& request) const -> std::string
{
    return ticketText(ticket) + ";" + this->signatureOf(ticket, request);
}

auto SpillSigner::verify(const HttpRequest& request, TimePoint now) -> absl::StatusOr<SpillTicket>
{
    const auto fields = splitFields(request.fields.get(spillHeader));
    auto ticket = parseTicket(fields);
    const auto signature = digestFromHex(fields.back());
    if (!ticket || !signature)
        return absl::PermissionDeniedError("malformed spill ticket");
    const auto expected = digestFromHex(this->signatureOf(*ticket, request));
    if (!constantTimeEqual(*expected, *signature))
        return absl::PermissionDeniedError("spill ticket is not signed for this request");
    if (now >= this->nextPurgeAt) {
        std::erase_if(this->usedNonces, [&](const auto& item) { return now >= item.second; });
        this->nextPurgeAt = now + nonceLifetime;
    }
    if (!this->usedNonces.try_emplace(ticket->nonce, now + nonceLifetime).second)
        return absl::AlreadyExistsError("spill ticket was already used");
    return *std::move(ticket);
}

auto SpillSigner::signatureOf(const SpillTicket& ticket, const HttpRequest& request) const -> std::string
{
    auto text = std::string { "spill" };
    for (const auto& field : { ticket.team, ticket.route, std::to_string(ticket.nonce),
             std::string { spillReasonName(ticket.reason) }, std::to_string(ticket.attempts), request.method,
             request.target, std::string { request.fields.get("Idempotency-Key") } })
        text += "\n" + std::to_string(field.size()) + ":" + field;
    text += "\n" + toHex(sha256(request.body));
    return toHex(hmacSha256(this->secret, text));
}

} // namespace citronloft
