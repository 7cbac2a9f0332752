#include "citronloft/fleet/store_backoff.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

StoreBackoff::StoreBackoff(StoreBackoffOption option, std::uint64_t seed)
    : option(option)
    , random(seed)
{
}

auto StoreBackoff::tryStart(TimePoint now) -> bool
{
    if (!this->isStoreUnavailable)
        return true;
    if (this->isProbing || now < this->nextProbeAt)
        return false;
    this->isProbing = true;
    return true;
}

auto StoreBackoff::recordSuccess(TimePoint now) -> bool
{
    this->isProbing = false;
    this->backoff = {};
    if (!std::exchange(this->isStoreUnavailable, false))
        return false;
    this->lastRecoveryAt = now;
    return true;
}

auto StoreBackoff::recordFailure(const absl::Status& status, TimePoint now) -> bool
{
    const auto wasAvailable = !std::exchange(this->isStoreUnavailable, true);
    // Calls that were under way when the store became unavailable all fail; only the first one tells something new.
    if (!wasAvailable && !this->isProbing)
        return false;
    this->isProbing = false;
    const auto isTimeout = absl::IsDeadlineExceeded(status);
    const auto maxBackoff = isTimeout ? this->option.maxTimeoutBackoff : this->option.maxRefusedBackoff;
    this->backoff = std::clamp<Duration>(this->backoff * 2, this->option.minBackoff, maxBackoff);
    constexpr auto jitterSteps = 1000U;
    this->nextProbeAt = now + this->backoff / 2 + this->backoff / 2 * this->random(jitterSteps) / jitterSteps;
    return wasAvailable;
}

} // namespace citronloft
