#include "citronloft/check/history.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>

#include <nlohmann/json.hpp>

namespace citronloft {

namespace {

using Json = nlohmann::json;

auto parseTime(const Json& json) -> TimePoint { return TimePoint { Duration { json.value("t", std::int64_t { 0 }) } }; }

auto parseVersion(const std::string& text) -> std::uint64_t
{
    auto version = std::uint64_t { 0 };
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

auto addCall(History& history, const Json& json) -> void
{
    history.calls.push_back(
        { json.at("id"), json.at("team"), json.value("key", ""), json.value("payment", false), parseTime(json) });
}

auto addAnswer(History& history, const Json& json) -> void
{
    history.answers.push_back({ json.at("id"), json.at("code"), json.at("outcome"), json.value("host", ""),
        parseVersion(json.value("config", "")), json.value("own", false), parseTime(json) });
}

auto addRun(History& history, const Json& json) -> void
{
    history.runs.push_back({ json.at("id"), json.at("team"), json.at("target"), json.value("key_seen", false),
        json.value("idempotency_key", ""), parseTime(json) });
}

auto addTeam(History& history, const Json& json) -> void
{
    history.teams.push_back({ json.at("name"), json.at("rate"), json.at("burst") });
}

auto addWithdrawal(History& history, const Json& json) -> void
{
    history.withdrawals.push_back({ json.at("key"), parseTime(json) });
}

auto addDrain(History& history, const Json& json) -> void
{
    history.drains.push_back({ json.at("target"), parseTime(json) });
}

struct EventKind {
    std::string_view name;
    void (*add)(History&, const Json&);
};

constexpr auto eventKinds = std::to_array<EventKind>({
    { "call", &addCall },
    { "answer", &addAnswer },
    { "run", &addRun },
    { "team", &addTeam },
    { "withdrawn", &addWithdrawal },
    { "drained", &addDrain },
});

using Breaches = std::vector<Breach>;
using CallsById = std::unordered_map<std::string, const CallEvent*>;

auto milliseconds(Duration duration) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

auto indexCalls(const History& history) -> CallsById
{
    auto calls = CallsById {};
    for (const auto& call : history.calls)
        calls[call.id] = &call;
    return calls;
}

auto checkMalformed(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    for (const auto& line : history.malformed)
        breaches.push_back({ "well-formed", line });
}

auto checkRunsAtMostOnce(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    auto runs = std::unordered_map<std::string, unsigned> {};
    for (const auto& run : history.runs)
        ++runs[run.id];
    for (const auto& call : history.calls) {
        if (call.isPayment && runs[call.id] > 1)
            breaches.push_back({ "at-most-once", call.id + " ran " + std::to_string(runs[call.id]) + " times" });
    }
}

auto checkIdempotencyKeys(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    auto runs = std::unordered_map<std::string, unsigned> {};
    for (const auto& run : history.runs) {
        const auto key = run.team + "/" + run.idempotencyKey;
        if (!run.idempotencyKey.empty() && ++runs[key] == 2)
            breaches.push_back({ "idempotency-key-once",
                "key " + key + " was used by more than one run, most recently by " + run.id });
    }
}

auto checkNotRunIsTrue(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    auto ran = std::unordered_map<std::string, const RunEvent*> {};
    for (const auto& run : history.runs)
        ran[run.id] = &run;
    for (const auto& answer : history.answers) {
        if (answer.outcome == "not-run" && ran.contains(answer.id))
            breaches.push_back({ "not-run-is-true",
                answer.id + " was reported as not run with code " + answer.code + " but ran at target "
                    + ran[answer.id]->target });
        if (answer.code == "1000" && !ran.contains(answer.id))
            breaches.push_back({ "answer-has-a-run", answer.id + " was answered but has no run" });
    }
}

auto checkAnswersMatchRequests(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    for (const auto& answer : history.answers) {
        if (answer.code == "1000" && !answer.isCompleteOwnAnswer)
            breaches.push_back(
                { "own-answer", answer.id + " received an answer that is incomplete or belongs to another request" });
    }
}

auto checkKeysNotForwarded(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    for (const auto& run : history.runs) {
        if (run.wasKeyForwarded)
            breaches.push_back({ "key-never-at-target", run.id + " exposed its key to target " + run.target });
    }
}

auto checkTeams(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    const auto calls = indexCalls(history);
    for (const auto& run : history.runs) {
        const auto call = calls.find(run.id);
        if (call == calls.end())
            breaches.push_back({ "run-has-a-call", run.id + " ran but no caller sent it" });
        else if (call->second->team != run.team)
            breaches.push_back(
                { "own-team", run.id + " ran for team " + run.team + " but was sent by team " + call->second->team });
    }
}

auto checkWithdrawals(const History& history, const HistoryBounds& bounds, Breaches& breaches) -> void
{
    const auto calls = indexCalls(history);
    for (const auto& withdrawal : history.withdrawals) {
        for (const auto& run : history.runs) {
            const auto call = calls.find(run.id);
            const auto isLate = run.at > withdrawal.at + bounds.withdrawal;
            if (isLate && call != calls.end() && call->second->key == withdrawal.name)
                breaches.push_back({ "withdrawn-key",
                    run.id + " ran " + milliseconds(run.at - withdrawal.at) + " after its key was withdrawn" });
        }
    }
}

auto checkDrains(const History& history, const HistoryBounds& bounds, Breaches& breaches) -> void
{
    for (const auto& drain : history.drains) {
        for (const auto& run : history.runs) {
            if (run.target == drain.name && run.at > drain.at + bounds.drain)
                breaches.push_back({ "drained-target",
                    run.id + " ran at " + run.target + " " + milliseconds(run.at - drain.at) + " after its drain" });
        }
    }
}

/// Checks that a call sent after an answer of some host never gets an older configuration version from that host.
auto checkConfigVersions(const History& history, const HistoryBounds& /*bounds*/, Breaches& breaches) -> void
{
    const auto calls = indexCalls(history);
    auto answers = std::vector<const AnswerEvent*> {};
    for (const auto& answer : history.answers) {
        if (answer.configVersion > 0 && calls.contains(answer.id))
            answers.push_back(&answer);
    }
    auto byCall = answers;
    std::ranges::stable_sort(answers, {}, &AnswerEvent::at);
    std::ranges::stable_sort(byCall, {}, [&](const AnswerEvent* answer) { return calls.at(answer->id)->at; });
    auto seen = std::unordered_map<std::string, std::uint64_t> {};
    auto next = answers.begin();
    for (const auto* answer : byCall) {
        const auto sentAt = calls.at(answer->id)->at;
        for (; next != answers.end() && (*next)->at <= sentAt; ++next)
            seen[(*next)->host] = std::max(seen[(*next)->host], (*next)->configVersion);
        if (answer->configVersion < seen[answer->host])
            breaches.push_back({ "config-never-reverts",
                answer->host + " answered " + answer->id + " with version " + std::to_string(answer->configVersion)
                    + " after version " + std::to_string(seen[answer->host]) });
    }
}

struct Admission {
    TimePoint sentAt;
    TimePoint ranAt;
};

/// Counts only requests that were sent after the start of a window and ran before its end: these were certainly
/// admitted within the window. From 1000 admissions on, checks only every (n / 500)-th window start, since each start
/// costs a sort.
auto checkTeamRate(const TeamEvent& team, std::vector<Admission> admissions, double drift, Breaches& breaches) -> void
{
    std::ranges::sort(admissions, {}, &Admission::sentAt);
    const auto step = std::max<std::size_t>(admissions.size() / 500, 1);
    for (auto first = std::size_t { 0 }; first < admissions.size(); first += step) {
        auto runs = std::vector<TimePoint> {};
        for (auto i = first; i < admissions.size(); ++i)
            runs.push_back(admissions[i].ranAt);
        std::ranges::sort(runs);
        for (auto i = std::size_t { 0 }; i < runs.size(); ++i) {
            const auto window = std::chrono::duration<double>(runs[i] - admissions[first].sentAt).count();
            const auto bound = team.burst + team.rate * (1 + drift) * window;
            if (static_cast<double>(i + 1) <= bound + 1e-6)
                continue;
            breaches.push_back({ "team-rate",
                team.name + " ran " + std::to_string(i + 1) + " requests in " + std::to_string(window)
                    + " s; the limit is " + std::to_string(bound) });
            return;
        }
    }
}

auto checkRates(const History& history, const HistoryBounds& bounds, Breaches& breaches) -> void
{
    const auto calls = indexCalls(history);
    auto firstRuns = std::unordered_map<std::string, TimePoint> {};
    for (const auto& run : history.runs) {
        const auto [place, isNew] = firstRuns.try_emplace(run.id, run.at);
        place->second = std::min(place->second, run.at);
    }
    for (const auto& team : history.teams) {
        auto admissions = std::vector<Admission> {};
        for (const auto& [id, ranAt] : firstRuns) {
            const auto call = calls.find(id);
            if (call != calls.end() && call->second->team == team.name)
                admissions.push_back({ call->second->at, ranAt });
        }
        checkTeamRate(team, std::move(admissions), bounds.clockDrift, breaches);
    }
}

constexpr auto rules = std::to_array(
    { &checkMalformed, &checkRunsAtMostOnce, &checkIdempotencyKeys, &checkNotRunIsTrue, &checkAnswersMatchRequests,
        &checkKeysNotForwarded, &checkTeams, &checkWithdrawals, &checkDrains, &checkConfigVersions, &checkRates });

} // namespace

auto History::read(std::istream& lines) -> void
{
    auto line = std::string {};
    while (std::getline(lines, line)) {
        const auto json = Json::parse(line, nullptr, false);
        const auto name = json.is_object() ? json.value("event", "") : std::string {};
        const auto kind = std::ranges::find(eventKinds, name, &EventKind::name);
        try {
            if (kind != eventKinds.end())
                kind->add(*this, json);
            else if (!json.is_object())
                this->malformed.push_back(line);
        } catch (const Json::exception&) {
            this->malformed.push_back(line);
        }
    }
}

auto checkHistory(const History& history, const HistoryBounds& bounds) -> std::vector<Breach>
{
    auto breaches = Breaches {};
    for (const auto rule : rules)
        rule(history, bounds, breaches);
    return breaches;
}

} // namespace citronloft
