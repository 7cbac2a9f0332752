/// @file
/// @brief Query values of the stand-ins' control requests, and the history that stand-ins write.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "citronloft/base/clock.hpp"
#include "citronloft/edge/http_message.hpp"

namespace citronloft {

/// @brief Sets `value` if the request's query names `field`.
inline auto readKnob(const HttpRequest& request, std::string_view field, std::int64_t& value) -> void
{
    const auto text = queryValue(request.target, field);
    if (!text.empty())
        value = std::stoll(text);
}

/// @brief Lets the coroutine wait.
inline auto sleepFor(boost::asio::io_context& context, std::chrono::milliseconds time, boost::asio::yield_context yield)
    -> void
{
    auto timer = boost::asio::steady_timer(context, time);
    auto error = boost::system::error_code {};
    timer.async_wait(yield[error]);
}

/// @brief Appends events as JSON lines; times are monotonic nanoseconds, which processes of one machine share.
class History {
public:
    /// @param path file to append to; empty for no history.
    explicit History(const std::string& path)
    {
        if (!path.empty())
            this->file.open(path, std::ios::app);
    }

    /// @brief Writes one event with the present time.
    auto write(std::string_view event, nlohmann::json fields) -> void
    {
        if (!this->file.is_open())
            return;
        fields["event"] = event;
        fields["t"] = std::chrono::steady_clock::now().time_since_epoch().count();
        this->file << fields.dump() << "\n" << std::flush;
    }

private:
    std::ofstream file;
};

} // namespace citronloft
