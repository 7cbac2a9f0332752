#include "citronloft/base/result_code.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace citronloft {

namespace {

using enum ResultCode;
using enum Outcome;

constexpr auto table = std::to_array<ResultInfo>({
    { Answered, "answered", 200, Ran, "A target answered; its own status is passed on." },
    { LookupAnswered, "lookup-answered", 200, NotRun, "The host answered a look-up itself." },
    { KeyMissing, "key-missing", 401, NotRun, "The route needs a key and the request carries none." },
    { KeyUnknown, "key-unknown", 403, NotRun, "The key was never issued or has been withdrawn." },
    { TeamNotAllowed, "team-not-allowed", 403, NotRun, "The key's team may not use this route." },
    { RouteUnknown, "route-unknown", 404, NotRun, "No route matches the method and path." },
    { RateExceeded, "rate-exceeded", 429, NotRun, "The team's rate and burst over the whole fleet are spent." },
    { QueueFull, "queue-full", 503, NotRun, "The team's part of the pool's queue is full." },
    { DeadlineTooShort, "deadline-too-short", 504, NotRun, "The deadline passes before the request could be sent." },
    { NoTarget, "no-target", 503, NotRun, "No usable target for the pool." },
    { ClaimStoreUnavailable, "claim-store-unavailable", 503, NotRun, "The idempotency key could not be claimed." },
    { HostLeaving, "host-leaving", 503, NotRun, "This host is stopping; use another." },
    { BodyTooLarge, "body-too-large", 413, NotRun, "The request body is over the limit." },
    { MalformedRequest, "malformed-request", 400, NotRun, "The request is not well-formed HTTP." },
    { HeaderTooLarge, "header-too-large", 431, NotRun, "The request header is over the limit." },
    { NoConfiguration, "no-configuration", 503, NotRun, "This host has no configuration yet." },
    { ConfigurationStale, "configuration-stale", 503, NotRun, "The route's limit on configuration age is passed." },
    { TargetShed, "target-shed", 503, NotRun, "Every target tried stated that it did not run the request." },
    { ConnectFailed, "connect-failed", 502, NotRun, "No connection to a target could be opened." },
    { SpillRefused, "spill-refused", 503, NotRun, "No zone with headroom accepted the request." },
    { ShiftCapReached, "shift-cap-reached", 503, NotRun, "The limit on moving traffic is spent." },
    { IdempotencyKeyInvalid, "idempotency-key-invalid", 400, NotRun, "The idempotency key is empty or too long." },
    { MethodUnsupported, "method-unsupported", 501, NotRun, "The method is not supported." },
    { PeerUnauthenticated, "peer-unauthenticated", 403, NotRun, "The forwarded request is not signed by a host." },
    { TargetReplaced, "target-replaced", 503, NotRun, "Another server has the address of the target that was chosen." },
    { RequestQuarantined, "request-quarantined", 400, NotRun, "The request has crashed the targets that ran it." },
    { MemoryFull, "memory-full", 503, NotRun, "This host has no memory for the request's body now." },
    { AnswerCut, "answer-cut", 502, Unknown, "The target's answer ended before it was whole, or was no answer." },
    { TargetTimeout, "target-timeout", 504, Unknown, "The target did not answer before the deadline." },
    { ConnectionLost, "connection-lost", 502, Unknown, "The connection was lost after the request was sent." },
    { DuplicateIdempotencyKey, "duplicate-idempotency-key", 409, Unknown,
        "The idempotency key was used before; that request may have run." },
    { AnswerTooLarge, "answer-too-large", 502, Ran, "The target's answer is over the limit." },
    { CallerGone, "caller-gone", 499, Unknown, "The caller closed its connection before the answer." },
    { PeerLost, "peer-lost", 502, Unknown, "The connection to the forwarding host was lost." },
    { InternalError, "internal-error", 500, Unknown, "The host failed while it handled the request." },
    { AnswerNotHeld, "answer-not-held", 502, Ran, "This host had no memory for the target's answer." },
});

} // namespace

auto resultTable() -> std::span<const ResultInfo> { return table; }

auto resultInfo(ResultCode code) -> const ResultInfo&
{
    const auto found = std::ranges::find(table, code, &ResultInfo::code);
    if (found == table.end())
        std::abort();
    return *found;
}

auto outcomeName(Outcome outcome) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>({ "not-run", "ran", "unknown" });
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace citronloft
