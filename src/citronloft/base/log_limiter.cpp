#include "citronloft/base/log_limiter.hpp"

#include <utility>

namespace citronloft {

LogLimiter::LogLimiter(std::uint32_t linesPerInterval, Duration interval)
    : linesPerInterval(linesPerInterval)
    , interval(interval)
{
}

auto LogLimiter::allow(std::string_view kind, TimePoint now, std::uint64_t& suppressedLines) -> bool
{
    auto found = this->kinds.find(kind);
    if (found == this->kinds.end())
        found = this->kinds.emplace(std::string { kind }, Kind {}).first;
    auto& state = found->second;
    if (now >= state.intervalEnds) {
        state.intervalEnds = now + this->interval;
        state.lines = 0;
    }
    if (state.lines >= this->linesPerInterval) {
        ++state.suppressedLines;
        return false;
    }
    ++state.lines;
    suppressedLines = std::exchange(state.suppressedLines, 0);
    return true;
}

} // namespace citronloft
