/// @file
/// @brief Result codes of requests and the execution outcome that each code guarantees.
///
/// docs/RESULT-CODES.md documents the same table; a test checks that both agree.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace citronloft {

/// @brief Whether a request was executed by a target, as far as the host can tell.
enum class Outcome : std::uint8_t {
    /// No byte was sent to a target, or the target stated that it did not run the request.
    NotRun,
    /// A target ran the request and answered.
    Ran,
    /// The request may or may not have run.
    Unknown,
};

/// @brief Stable number of a result; never reused.
enum class ResultCode : std::uint16_t {
    Answered = 1000,
    LookupAnswered = 1001,

    KeyMissing = 2001,
    KeyUnknown = 2002,
    TeamNotAllowed = 2003,
    RouteUnknown = 2004,
    RateExceeded = 2005,
    QueueFull = 2006,
    DeadlineTooShort = 2007,
    NoTarget = 2008,
    ClaimStoreUnavailable = 2009,
    HostLeaving = 2010,
    BodyTooLarge = 2011,
    MalformedRequest = 2012,
    HeaderTooLarge = 2013,
    NoConfiguration = 2014,
    ConfigurationStale = 2015,
    TargetShed = 2016,
    ConnectFailed = 2017,
    SpillRefused = 2018,
    ShiftCapReached = 2019,
    IdempotencyKeyInvalid = 2020,
    MethodUnsupported = 2021,
    PeerUnauthenticated = 2022,
    TargetReplaced = 2023,
    RequestQuarantined = 2024,
    MemoryFull = 2025,

    AnswerCut = 3001,
    TargetTimeout = 3002,
    ConnectionLost = 3003,
    DuplicateIdempotencyKey = 3004,
    AnswerTooLarge = 3005,
    CallerGone = 3006,
    PeerLost = 3007,
    InternalError = 3008,
    AnswerNotHeld = 3009,
};

/// @brief One row of the result table.
struct ResultInfo {
    ResultCode code;
    std::string_view name;
    unsigned httpStatus;
    Outcome outcome;
    std::string_view summary;
};

/// @return all results, ordered by number.
auto resultTable() -> std::span<const ResultInfo>;

/// @return the row of `code`.
auto resultInfo(ResultCode code) -> const ResultInfo&;

/// @return "not-run", "ran" or "unknown".
auto outcomeName(Outcome outcome) -> std::string_view;

} // namespace citronloft
