/// @file
/// @brief Suspends a coroutine until a callback delivers a value or a deadline passes.
#pragma once

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Passes one value from a callback to one waiting coroutine.
template <typename Value> class Waiter {
public:
    explicit Waiter(boost::asio::io_context& context)
        : timer(context)
    {
    }

    /// @brief Delivers the value; only the first call has an effect.
    auto set(Value delivered) -> void
    {
        if (this->value)
            return;
        this->value = std::move(delivered);
        this->timer.cancel();
    }

    /// @brief Suspends the coroutine until set() is called or the deadline passes.
    /// @return the value, or nothing if the deadline passed first.
    auto wait(TimePoint deadline, boost::asio::yield_context yield) -> std::optional<Value>
    {
        auto error = boost::system::error_code {};
        this->timer.expires_at(deadline);
        if (!this->value)
            this->timer.async_wait(yield[error]);
        return this->value;
    }

private:
    boost::asio::steady_timer timer;
    std::optional<Value> value;
};

} // namespace citronloft
