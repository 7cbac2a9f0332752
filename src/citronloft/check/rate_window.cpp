#include "citronloft/check/rate_window.hpp"

#include <algorithm>

namespace citronloft {

RateWindow::RateWindow(double rate, double burst)
    : rate(rate)
    , burst(burst)
{
}

auto RateWindow::add(TimePoint at, double amount) -> void
{
    if (!this->hasFirst)
        this->first = at;
    const auto elapsed = std::chrono::duration<double>(at - this->first).count();
    const auto before = this->sum - this->rate * elapsed;
    this->lowest = this->hasFirst ? std::min(this->lowest, before) : before;
    this->hasFirst = true;
    this->sum += amount;
    this->worst = std::max(this->worst, before + amount - this->lowest);
}

} // namespace citronloft
