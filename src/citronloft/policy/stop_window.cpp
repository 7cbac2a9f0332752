#include "citronloft/policy/stop_window.hpp"

#include <algorithm>

namespace citronloft {

namespace {

/// Time without a request after which no caller is taken to hold this host's address; also covers requests on their way
/// when the last look-ups run out. Several times the greatest round trip between zones.
constexpr auto quietGap = std::chrono::milliseconds { 1000 };
/// New requests are taken for this part of the time for a stop at most; the rest is for those that run.
constexpr auto reserveDivisor = 2;
/// A planned stop that has not drained by this part of its time ends all the same.
constexpr auto overduePercent = 95;
constexpr auto wholePercent = 100;

} // namespace

StopWindow::StopWindow(StopWindowOption option)
    : earliest(option.leavingSince + std::min(option.lookupTtl + quietGap, option.stopTime / reserveDivisor))
    , latest(option.leavingSince + option.stopTime / reserveDivisor)
    , overdueAt(option.leavingSince + option.stopTime * overduePercent / wholePercent)
{
}

auto StopWindow::isQuiet(TimePoint now, TimePoint lastRequestAt) const -> bool
{
    if (now < this->earliest)
        return false;
    return now >= this->latest || now >= lastRequestAt + quietGap;
}

auto StopWindow::isOverdue(TimePoint now) const -> bool { return now > this->overdueAt; }

} // namespace citronloft
