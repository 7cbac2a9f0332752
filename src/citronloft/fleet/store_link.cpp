#include "citronloft/fleet/store_link.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

StoreLink::StoreLink(StoreLinkOption option, std::uint64_t seed)
    : option(option)
    , random(seed)
{
}

auto StoreLink::tryStart(TimePoint now) -> bool
{
    if (!this->away)
        return true;
    if (this->isProbing || now < this->nextProbeAt)
        return false;
    this->isProbing = true;
    return true;
}

auto StoreLink::noteAnswer(TimePoint now) -> bool
{
    this->isProbing = false;
    this->backoff = {};
    if (!std::exchange(this->away, false))
        return false;
    this->returned = now;
    return true;
}

auto StoreLink::noteFailure(const absl::Status& status, TimePoint now) -> bool
{
    this->isProbing = false;
    const auto isSilent = absl::IsDeadlineExceeded(status);
    const auto greatest = isSilent ? this->option.greatestSilentBackoff : this->option.greatestRefusedBackoff;
    this->backoff = std::clamp<Duration>(this->backoff * 2, this->option.leastBackoff, greatest);
    constexpr auto steps = 1000U;
    this->nextProbeAt = now + this->backoff / 2 + this->backoff / 2 * this->random(steps) / steps;
    return !std::exchange(this->away, true);
}

} // namespace citronloft
