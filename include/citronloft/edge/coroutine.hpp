/// @file
/// @brief Coroutines and an event loop that survive unexpected exceptions, which are logged.
#pragma once

#include <exception>
#include <functional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronloft/edge/coroutine_stacks.hpp"

namespace citronloft {

/// @brief Logs an exception that no code expected.
/// @param place what the exception has ended.
/// @param failure null has no effect.
auto logException(std::string_view place, const std::exception_ptr& failure) -> void;

/// @brief Runs an action; an exception is logged and ends only the action.
auto runContained(std::string_view place, const std::function<void()>& action) -> void;

/// @brief Starts a coroutine; an exception is logged and ends only the coroutine.
/// @param name must outlive the coroutine.
template <typename Function>
auto startCoroutine(boost::asio::io_context& context, const char* name, Function&& function) -> void
{
    boost::asio::spawn(context, std::allocator_arg, CoroutineStacks {}, std::forward<Function>(function),
        [name](const std::exception_ptr& failure) { logException(name, failure); });
}

/// @brief Runs the event loop until it is stopped or has no work left. An exception of a handler is logged and ends
/// only that handler.
auto runEventLoop(boost::asio::io_context& context) -> void;

} // namespace citronloft
