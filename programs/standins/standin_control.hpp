/// @file
/// @brief Control requests and event histories of the simulation programs.
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

/// @brief Sets `value` to the integer query parameter `field`; without the parameter, `value` is unchanged.
inline auto readIntegerParameter(const HttpRequest& request, std::string_view field, std::int64_t& value) -> void
{
    const auto text = queryValue(request.target, field);
    if (!text.empty())
        value = std::stoll(text);
}

/// @brief Suspends the coroutine for `time`.
inline auto sleepFor(boost::asio::io_context& context, std::chrono::milliseconds time, boost::asio::yield_context yield)
    -> void
{
    auto timer = boost::asio::steady_timer(context, time);
    auto error = boost::system::error_code {};
    timer.async_wait(yield[error]);
}

/// @brief Appends events to a file as JSON lines. Timestamps are nanoseconds of the monotonic clock, which all
/// processes of a machine share.
class HistoryWriter {
public:
    /// @param path file to append to; empty: events are discarded.
    explicit HistoryWriter(const std::string& path)
    {
        if (!path.empty())
            this->file.open(path, std::ios::app);
    }

    /// @brief Writes an event with the current time.
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
