#include "citronloft/edge/gateway.hpp"

#include "citronloft/base/digest.hpp"
#include "citronloft/base/log.hpp"
#include "citronloft/policy/request_identity.hpp"
#include "citronloft/policy/shares.hpp"

namespace citronloft {

auto Gateway::answerLookup(const HttpRequest& request, const CallerContext& caller) -> HttpResponse
{
    auto answer = this->lookup.answer(request, caller.caller.ip);
    if (answer.status == 200) {
        this->metrics.count("citronloft_lookups_total", "result=\"answered\"");
        return answer;
    }
    const auto reason = std::string { this->snapshot ? "no-serving-host" : "no-configuration" };
    this->metrics.count("citronloft_lookups_total", "result=\"" + reason + "\"");
    auto suppressedLines = std::uint64_t { 0 };
    if (this->logLimiter.allow("lookup-failed", this->clock.now(), suppressedLines)) {
        LogEvent(LogLevel::Info, "lookup-failed")
            .with("caller", caller.caller.ip)
            .with("query", request.target)
            .with("reason", reason)
            .with("zones_up", this->lookup.servingZoneCount())
            .with("left_out", suppressedLines);
    }
    return answer;
}

/// Adds what is known of an unknown key: the start of its digest, and the last version that contained it.
auto Gateway::addKeyState(LogEvent& event, std::string_view key) const -> void
{
    constexpr auto prefixLength = std::size_t { 16 };
    const auto digest = sha256(key);
    event.with("key_digest", toHex(digest).substr(0, prefixLength))
        .with("key_last_config", this->withdrawnKeys.lastVersion(digest).value_or(0));
}

/// Logs a refused or failed request with the state that led to the result; each result code is rate-limited.
auto Gateway::logFailure(const HttpRequest& request, const CallResult& result, Duration latency) -> void
{
    const auto& info = resultInfo(result.code);
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow(info.name, this->clock.now(), suppressedLines))
        return;
    const auto fields = this->dialect->parseRequest(request);
    const auto active = this->snapshot ? this->snapshot->active : nullptr;
    const auto age = this->fleet.config().age(this->clock.now());
    const auto* team = this->teamOf(fields.key);
    const auto rate
        = this->fleet.rates().state(team == nullptr ? 0 : bucketId(teamBucketName(team->name)), this->clock.now());
    auto event = LogEvent(LogLevel::Info, "request-failed");
    event.with("request", fields.requestId)
        .with("team", team == nullptr ? std::string_view {} : std::string_view { team->name })
        .with("result", info.name)
        .with("code", static_cast<unsigned>(info.code))
        .with("outcome", outcomeName(info.outcome))
        .with("host", request.fields.get("Host"))
        .with("path", std::string_view { request.target }.substr(0, request.target.find('?')))
        .with("object", fields.object)
        .with("pool", result.pool)
        .with("target", result.target)
        .with("attempts", result.attempts)
        .with("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(latency).count())
        .with("config", active ? active->version : 0)
        .with("config_source", active ? configSourceName(active->source) : "none")
        .with("config_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count())
        .with("team_rate", rate.fleetPerSecond)
        .with("host_rate", rate.hostPerSecond)
        .with("host_tokens", rate.tokens)
        .with("left_out", suppressedLines);
    if (result.code == ResultCode::KeyUnknown)
        this->addKeyState(event, fields.key);
}

/// @return the team that owns a key, or null.
auto Gateway::teamOf(std::string_view key) const -> const Team*
{
    const auto team = this->snapshot ? this->snapshot->keys.find(key) : std::nullopt;
    return team ? &this->snapshot->active->config.teams[*team] : nullptr;
}

/// Logs that a connection ended without an answer to the request that was sent on it, as when its target crashes.
auto Gateway::logInvalidAnswer(const Call& call, const std::string& target) -> void
{
    this->metrics.count("citronloft_invalid_target_answers_total");
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-answer-invalid", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "target-answer-invalid")
        .with("target", target)
        .with("pool", call.pool)
        .with("request", call.fields.requestId)
        .with("left_out", suppressedLines);
}

auto Gateway::logLostConnection(const Call& call, const std::string& target, bool wasReused, Duration afterSending)
    -> void
{
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-lost", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Info, "target-lost")
        .with("target", target)
        .with("pool", call.pool)
        .with("request", call.fields.requestId)
        .with("identity", formatIdentity(call.identity))
        .with("team", call.team == nullptr ? std::string_view {} : std::string_view { call.team->name })
        .with("path", std::string_view { call.request->target }.substr(0, call.request->target.find('?')))
        .with("reused_connection", wasReused ? 1 : 0)
        .with("after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(afterSending).count())
        .with("left_out", suppressedLines);
}

auto Gateway::logRetry(const Call& call, ResultCode code, const std::string& target, unsigned attempt) -> void
{
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("retry", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Info, "request-retried")
        .with("request", call.fields.requestId)
        .with("reason", resultInfo(code).name)
        .with("pool", call.pool)
        .with("target", target)
        .with("attempt", attempt)
        .with("left_out", suppressedLines);
}

/// @param source id of the request whose answer stated the limit, or "peer" if another host received the answer.
auto Gateway::logRateLimit(const LimitUpdate& update, const std::string& pool, std::string_view source) -> void
{
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-limit", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Info, "target-limit")
        .with("target", update.target)
        .with("pool", pool)
        .with("change", limitChangeName(update.change))
        .with("per_second", update.perSecond.value_or(0))
        .with("source", source)
        .with("left_out", suppressedLines);
}

auto Gateway::logLeavingTarget(const Call& call, const std::string& target) -> void
{
    this->metrics.count("citronloft_targets_leaving_total");
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-leaving", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Info, "target-leaving")
        .with("target", target)
        .with("pool", call.pool)
        .with("request", call.fields.requestId)
        .with("left_out", suppressedLines);
}

auto Gateway::logPausedTarget(const Call& call, const std::string& target, Duration pause) -> void
{
    this->metrics.count("citronloft_target_pauses_total");
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-paused", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Info, "target-paused")
        .with("target", target)
        .with("pool", call.pool)
        .with("request", call.fields.requestId)
        .with("pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count())
        .with("left_out", suppressedLines);
}

auto Gateway::logIgnoredStatement(const Call& call, const std::string& target, const absl::Status& reason) -> void
{
    constexpr auto maxReasonLength = std::size_t { 100 };
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-statement-ignored", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "target-statement-ignored")
        .with("target", target)
        .with("request", call.fields.requestId)
        .with("reason", std::string { reason.message().substr(0, maxReasonLength) })
        .with("left_out", suppressedLines);
}

auto Gateway::logMalformedRateLimit(const Call& call, const std::string& target, const absl::Status& reason) -> void
{
    auto suppressedLines = std::uint64_t { 0 };
    if (!this->logLimiter.allow("target-limit-ignored", this->clock.now(), suppressedLines))
        return;
    LogEvent(LogLevel::Warning, "target-limit-ignored")
        .with("target", target)
        .with("request", call.fields.requestId)
        .with("reason", std::string { reason.message() })
        .with("left_out", suppressedLines);
}

} // namespace citronloft
