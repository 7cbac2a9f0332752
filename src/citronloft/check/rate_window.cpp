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
    const auto balance = this->admitted - this->rate * elapsed;
    this->minBalance = this->hasFirst ? std::min(this->minBalance, balance) : balance;
    this->hasFirst = true;
    this->admitted += amount;
    this->maxRise = std::max(this->maxRise, balance + amount - this->minBalance);
}

} // namespace citronloft
