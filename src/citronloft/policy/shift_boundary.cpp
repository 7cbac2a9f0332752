#include "citronloft/policy/shift_boundary.hpp"

#include <algorithm>

#include <xxhash.h>

namespace citronloft {

auto ShiftBoundary::advance(double goal, double maxFractionPerMinute, TimePoint now) -> void
{
    const auto isFirst = this->advancedAt == TimePoint {};
    const auto minutes = isFirst ? 0.0 : std::chrono::duration<double, std::ratio<60>>(now - this->advancedAt).count();
    this->advancedAt = now;
    const auto step = std::min(maxFractionPerMinute, 1e9) * minutes;
    if (maxFractionPerMinute >= 1e9)
        this->boundary = goal;
    else
        this->boundary += std::clamp(goal - this->boundary, -step, step);
}

auto callerPosition(std::string_view ip) -> double
{
    constexpr auto positions = 1ULL << 32U;
    return static_cast<double>(XXH3_64bits(ip.data(), ip.size()) % positions) / static_cast<double>(positions);
}

} // namespace citronloft
