/// @file
/// @brief Limits the rate of log lines of each kind and counts the suppressed lines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Allows a fixed number of lines of each kind per interval.
class LogLimiter {
public:
    /// @param linesPerInterval maximum lines of one kind per interval; the default shows the pattern of a failure at
    /// little cost.
    explicit LogLimiter(std::uint32_t linesPerInterval = 10, Duration interval = std::chrono::seconds { 1 });

    /// @brief Decides whether a line is written or suppressed.
    /// @param kind category of the line, for example the event name with its result.
    /// @param suppressedLines is set, if the line is allowed, to the number of lines of this kind suppressed since the
    /// previous allowed one.
    /// @return true if the line may be written.
    auto allow(std::string_view kind, TimePoint now, std::uint64_t& suppressedLines) -> bool;

private:
    struct Kind {
        TimePoint intervalEnds {};
        std::uint32_t lines = 0;
        std::uint64_t suppressedLines = 0;
    };

    std::uint32_t linesPerInterval;
    Duration interval;
    std::map<std::string, Kind, std::less<>> kinds;
};

} // namespace citronloft
