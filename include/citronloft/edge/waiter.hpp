/// @file
/// @brief Lets a coroutine wait for a value that a callback delivers, until a deadline.
#pragma once

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Holds one value for one waiting coroutine.
template <typename Value> class Waiter {
public:
    explicit Waiter(boost::asio::io_context& context)
        : timer(context)
    {
    }

    /// @brief Delivers the value; later calls change nothing.
    auto set(Value delivered) -> void
    {
        if (this->value)
            return;
        this->value = std::move(delivered);
        this->timer.cancel();
    }

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
