/// @file
/// @brief Limit on the request rate that a target announces in its answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Effect of an answer or observation on what this host knows of a target's limit.
enum class LimitChange : std::uint8_t { None, Announced, Changed, Ended };

/// @return the name of a change in lower case.
auto limitChangeName(LimitChange change) -> std::string_view;

/// @brief What a host learned of a target's limit from an answer, for the other hosts.
struct LimitObservation {
    /// Hash of the target's key.
    std::uint64_t target = 0;
    /// Limit in requests per second; nothing if the answer stated none.
    std::optional<double> perSecond;
    /// Time of the answer by the clock of the host that holds the observation.
    TimePoint observedAt {};
};

/// @brief A target's limit on the requests of all hosts together.
///
/// The latest observation counts, whichever host made it. Most hosts send no requests to a limited target, so they
/// learn from other hosts that the limit has changed or ended.
class AnnouncedLimit {
public:
    /// @brief Updates the limit from an answer that this host received.
    /// @param perSecond limit that the answer states, in requests per second; nothing if it states none.
    /// @param sentAt time at which the request was sent. An answer without a limit ends the limit only if the request
    /// was sent after the latest answer with one; other answers may be older.
    auto record(std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> LimitChange;

    /// @brief Updates the limit from another host's observation, unless a later one is known.
    auto merge(const LimitObservation& observation) -> LimitChange;

    /// @return the limit in requests per second; nothing if none is in force.
    [[nodiscard]] auto perSecond() const -> std::optional<double> { return this->limit; }

    /// @return whether a host has received an answer of the target recently, so that the limit is known to be current.
    [[nodiscard]] auto isRecent(TimePoint now) const -> bool;

    /// @return whether an answer that states no limit tells the other hosts something new.
    [[nodiscard]] auto isEndReported(TimePoint now) const -> bool { return now < this->endReportedUntil; }

    [[nodiscard]] auto observedAt() const -> TimePoint { return this->latestAt; }

private:
    auto update(std::optional<double> perSecond) -> LimitChange;

    std::optional<double> limit;
    /// Time of the latest observation.
    TimePoint latestAt {};
    TimePoint endReportedUntil {};
};

} // namespace citronloft
