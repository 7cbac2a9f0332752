/// @file
/// @brief Monotonic time, injected so that policy and fleet run in virtual time.
#pragma once

#include <chrono>

namespace citronloft {

/// @brief Type of all time intervals, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// @brief A time of one host's monotonic clock; not comparable between hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @brief Source of monotonic time.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return the current time of this host's monotonic clock.
    [[nodiscard]] virtual auto now() const -> TimePoint = 0;
};

/// @brief The host's steady clock.
class SteadyClock final : public Clock {
public:
    [[nodiscard]] auto now() const -> TimePoint override { return std::chrono::steady_clock::now(); }
};

/// @brief A clock that advances only through advance(), for tests and virtual time.
class ManualClock final : public Clock {
public:
    [[nodiscard]] auto now() const -> TimePoint override { return this->current; }

    /// @param step time by which the clock is moved forward.
    auto advance(Duration step) -> void { this->current += step; }

private:
    TimePoint current { std::chrono::hours { 1 } };
};

} // namespace citronloft
