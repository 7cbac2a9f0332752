/// @file
/// @brief Spaces the requests to a rate-limited target.
#pragma once

#include <algorithm>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Token bucket that holds one request at most.
///
/// It starts empty, since the host may have sent a request immediately before a restart.
class RequestPacer {
public:
    /// @brief Adds the tokens of the time since the last call.
    /// @param perSecond rate in requests per second.
    auto refill(double perSecond, TimePoint now) -> void
    {
        this->tokens = this->tokensAt(perSecond, now);
        this->refilledAt = now;
    }

    /// @return whether a request can be sent at `now`, without a change of state.
    [[nodiscard]] auto canSendAt(double perSecond, TimePoint now) const -> bool
    {
        return this->tokensAt(perSecond, now) >= 1;
    }

    /// @return whether a request can be sent, as of the last refill().
    [[nodiscard]] auto canSend() const -> bool { return this->tokens >= 1; }

    /// @brief Counts a request that is sent.
    auto take() -> void { this->tokens -= 1; }

    /// @brief Removes all tokens.
    auto clear(TimePoint now) -> void
    {
        this->tokens = 0;
        this->refilledAt = now;
    }

private:
    [[nodiscard]] auto tokensAt(double perSecond, TimePoint now) const -> double
    {
        if (this->refilledAt == TimePoint {})
            return this->tokens;
        const auto minted = std::chrono::duration<double>(now - this->refilledAt).count() * perSecond;
        return std::min(this->tokens + minted, 1.0);
    }

    double tokens = 0;
    TimePoint refilledAt {};
};

} // namespace citronloft
