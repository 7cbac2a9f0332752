#include "citronloft/edge/spill.hpp"

#include <charconv>
#include <optional>
#include <vector>

#include "citronloft/base/digest.hpp"

namespace citronloft {

namespace {

/// Minimum time for which used nonces are kept; longer than any request's deadline.
constexpr auto nonceLifetime = std::chrono::minutes { 15 };
constexpr auto ticketFieldCount = std::size_t { 4 };

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

auto parseNonce(const std::string& text) -> std::optional<std::uint64_t>
{
    auto nonce = std::uint64_t { 0 };
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), nonce);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return nonce;
}

} // namespace

SpillSigner::SpillSigner(std::string secret)
    : secret(std::move(secret))
{
}

auto SpillSigner::sign(const SpillTicket& ticket, const HttpRequest& request) const -> std::string
{
    return ticket.team + ";" + ticket.route + ";" + std::to_string(ticket.nonce) + ";"
        + this->signatureOf(ticket, request);
}

auto SpillSigner::verify(const HttpRequest& request, TimePoint now) -> absl::StatusOr<SpillTicket>
{
    const auto fields = splitFields(request.fields.get(spillHeader));
    const auto nonce = fields.size() == ticketFieldCount ? parseNonce(fields[2]) : std::nullopt;
    const auto signature = fields.size() == ticketFieldCount ? digestFromHex(fields[3]) : std::nullopt;
    if (!nonce || !signature)
        return absl::PermissionDeniedError("malformed spill ticket");
    const auto ticket = SpillTicket { fields[0], fields[1], *nonce };
    const auto expected = digestFromHex(this->signatureOf(ticket, request));
    if (!constantTimeEqual(*expected, *signature))
        return absl::PermissionDeniedError("spill ticket is not signed for this request");
    if (now >= this->nextPurgeAt) {
        std::erase_if(this->usedNonces, [&](const auto& item) { return now >= item.second; });
        this->nextPurgeAt = now + nonceLifetime;
    }
    if (!this->usedNonces.try_emplace(*nonce, now + nonceLifetime).second)
        return absl::AlreadyExistsError("spill ticket was already used");
    return ticket;
}

auto SpillSigner::signatureOf(const SpillTicket& ticket, const HttpRequest& request) const -> std::string
{
    auto text = std::string { "spill" };
    for (const auto& field : { ticket.team, ticket.route, std::to_string(ticket.nonce), request.method, request.target,
             std::string { request.fields.get("Idempotency-Key") } })
        text += "\n" + std::to_string(field.size()) + ":" + field;
    text += "\n" + toHex(sha256(request.body));
    return toHex(hmacSha256(this->secret, text));
}

} // namespace citronloft
