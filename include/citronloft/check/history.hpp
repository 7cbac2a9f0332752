/// @file
/// @brief Histories of concurrent runs (JSON lines, docs/HISTORY.md) and the rules that they are checked against.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Records that a caller sent a request.
struct CallEvent {
    std::string id;
    std::string team;
    /// Digest of the key that the request carried.
    std::string key;
    bool isPayment = false;
    TimePoint at;
};

/// @brief Records the end of a call: the answer that the caller received, or the failure to receive one.
struct AnswerEvent {
    std::string id;
    std::string code;
    std::string outcome;
    std::string host;
    std::uint64_t configVersion = 0;
    /// Whether the body belongs to this request and is complete.
    bool isCompleteOwnAnswer = false;
    TimePoint at;
};

/// @brief Records that a target ran a request.
struct RunEvent {
    std::string id;
    std::string team;
    std::string target;
    /// Whether the forwarded request still contained the caller's key.
    bool wasKeyForwarded = false;
    /// Empty if the request carried no idempotency key.
    std::string idempotencyKey;
    TimePoint at;
};

/// @brief A team's fleet-wide rate limit.
struct TeamEvent {
    std::string name;
    /// Requests per second.
    double rate = 0;
    /// Requests.
    double burst = 0;
};

/// @brief A change that must take effect within a time limit: a withdrawn key or a drained target.
struct ChangeEvent {
    /// Digest of the key, or address of the target.
    std::string name;
    TimePoint at;
};

/// @brief All events of a run.
struct History {
    std::vector<CallEvent> calls;
    std::vector<AnswerEvent> answers;
    std::vector<RunEvent> runs;
    std::vector<TeamEvent> teams;
    std::vector<ChangeEvent> withdrawals;
    std::vector<ChangeEvent> drains;
    /// Lines that are not valid events.
    std::vector<std::string> malformed;

    /// @brief Appends the events of one file; ignores objects with an unknown event name.
    auto read(std::istream& lines) -> void;
};

/// @brief Limits that the rules apply to a history.
struct HistoryBounds {
    /// Maximum time after a withdrawal at which a request with the key may still run.
    Duration withdrawal = std::chrono::seconds { 5 };
    /// Maximum time after a drain at which the target may still run a request.
    Duration drain = std::chrono::seconds { 5 };
    /// Maximum relative drift of a clock, added to each team's rate.
    double clockDrift = 0.01;
};

/// @brief One violation of a rule.
struct Breach {
    std::string rule;
    std::string detail;
};

/// @brief Checks a history against every rule.
/// @return all violations; empty if the history satisfies every rule.
auto checkHistory(const History& history, const HistoryBounds& bounds) -> std::vector<Breach>;

} // namespace citronloft
