/// @file
/// @brief Bounds how many lines of one kind are logged, and counts what was left out.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Lets so many lines of each kind through in each interval.
class LogLimiter {
public:
    /// @param linesPerInterval lines of one kind; enough of a failure to see its pattern, few enough to cost little.
    explicit LogLimiter(std::uint32_t linesPerInterval = 10, Duration interval = std::chrono::seconds { 1 });

    /// @brief Decides on one line.
    /// @param kind for example an event and its result.
    /// @param leftOut receives the lines of this kind that were left out since the last one that was let through.
    /// @return whether the line may be written.
    auto allow(std::string_view kind, TimePoint now, std::uint64_t& leftOut) -> bool;

private:
    struct Kind {
        TimePoint intervalEnds {};
        std::uint32_t lines = 0;
        std::uint64_t leftOut = 0;
    };

    std::uint32_t linesPerInterval;
    Duration interval;
    std::map<std::string, Kind, std::less<>> kinds;
};

} // namespace citronloft
