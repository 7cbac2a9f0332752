#include "citronloft/edge/coroutine.hpp"

#include "citronloft/base/log.hpp"

namespace citronloft {

auto logException(std::string_view place, const std::exception_ptr& failure) -> void
{
    if (!failure)
        return;
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
        LogEvent(LogLevel::Error, "unexpected-exception").with("place", place).with("reason", exception.what());
    }
}

auto runContained(std::string_view place, const std::function<void()>& action) -> void
{
    try {
        action();
    } catch (const std::exception&) {
        logException(place, std::current_exception());
    }
}

auto runEventLoop(boost::asio::io_context& context) -> void
{
    auto isRunning = true;
    while (isRunning) {
        runContained("event-loop", [&] {
            context.run();
            isRunning = false;
        });
    }
}

} // namespace citronloft
