/// @file
/// @brief Histories of concurrent runs (JSON lines, docs/HISTORY.md) and the rules that they must keep.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief A caller sent a request.
struct CallEvent {
    std::string id;
    std::string team;
    /// Digest of the key shown.
    std::string key;
    bool isPayment = false;
    TimePoint at;
};

/// @brief A caller got an answer, or none.
struct AnswerEvent {
    std::string id;
    std::string code;
    std::string outcome;
    std::string host;
    std::uint64_t configVersion = 0;
    /// Whether the body belongs to the request and is whole.
    bool isOwn = false;
    TimePoint at;
};

/// @brief A target ran a request.
struct RunEvent {
    std::string id;
    std::string team;
    std::string target;
    bool isKeySeen = false;
    /// Empty if the request had none.
    std::string idempotencyKey;
    TimePoint at;
};

/// @brief A team's rate over the whole fleet.
struct TeamEvent {
    std::string name;
    double rate = 0;
    double burst = 0;
};

/// @brief A change that must show within a bound: a withdrawn key or a drained target.
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
    std::vector<std::string> malformed;

    /// @brief Adds the events of one file.
    auto read(std::istream& lines) -> void;
};

/// @brief Bounds that the rules hold a history to.
struct HistoryBounds {
    Duration withdrawal = std::chrono::seconds { 5 };
    Duration drain = std::chrono::seconds { 5 };
    double clockDrift = 0.01;
};

/// @brief One breach of a rule.
struct Breach {
    std::string rule;
    std::string detail;
};

/// @brief Checks a history against every rule.
/// @return all breaches, or nothing if the history is good.
auto checkHistory(const History& history, const HistoryBounds& bounds) -> std::vector<Breach>;

} // namespace citronloft
