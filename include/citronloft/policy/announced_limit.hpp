/// @file
/// @brief Limit on the request rate that a target announces in its answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Effect of an answer on what this host knows of a target's limit.
enum class LimitChange : std::uint8_t { None, Announced, Changed, Ended };

/// @return the name of a change in lower case.
auto limitChangeName(LimitChange change) -> std::string_view;

/// @brief A target's limit on the requests of all hosts together, as stated by its answers.
class AnnouncedLimit {
public:
    /// @brief Updates the limit from an answer.
    /// @param perSecond limit that the answer states, in requests per second; nothing if it states none.
    /// @param sentAt time at which the request was sent. An answer without a limit ends the limit only if the request
    /// was sent after the latest answer with one; other answers may be older.
    auto record(std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> LimitChange;

    /// @return the limit in requests per second; nothing if none is in force.
    [[nodiscard]] auto perSecond() const -> std::optional<double> { return this->limit; }

private:
    std::optional<double> limit;
    TimePoint statedAt {};
};

} // namespace citronloft
