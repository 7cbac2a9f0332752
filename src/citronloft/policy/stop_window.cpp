#include "citronloft/policy/stop_window.hpp"

#include <algorithm>

namespace citronloft {

namespace {

/// Time without a request after which no caller is assumed to use this host's address any more; several times the
/// maximum round-trip time between zones. Also covers requests in transit when the last look-up results expire.
constexpr auto quietPeriod = std::chrono::milliseconds { 1000 };
/// New requests are accepted for at most the stop time divided by this value; the rest is reserved for requests in
/// flight.
constexpr auto acceptDivisor = 2;
/// Percentage of the stop time after which requests that were not sent to a target are refused.
constexpr auto refusePercent = 90;
/// Percentage of the stop time after which the host exits even if requests are still in flight.
constexpr auto overduePercent = 95;
constexpr auto percentBase = 100;

} // namespace

StopWindow::StopWindow(StopWindowOption option)
    : earliestCloseAt(option.stopStartedAt + std::min(option.lookupTtl + quietPeriod, option.stopTime / acceptDivisor))
    , latestCloseAt(option.stopStartedAt + option.stopTime / acceptDivisor)
    , unsentRefusedAt(option.stopStartedAt + option.stopTime * refusePercent / percentBase)
    , overdueAt(option.stopStartedAt + option.stopTime * overduePercent / percentBase)
{
}

auto StopWindow::canClose(TimePoint now, TimePoint lastRequestAt) const -> bool
{
    if (now < this->earliestCloseAt)
        return false;
    return now >= this->latestCloseAt || now >= lastRequestAt + quietPeriod;
}

auto StopWindow::isOverdue(TimePoint now) const -> bool { return now > this->overdueAt; }

} // namespace citronloft
