#include "citronloft/edge/coroutine.hpp"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

/// Guards against one unexpected exception that ends the process.
TEST(EventLoopTest, ExceptionEndsOnlyItsHandler)
{
    auto context = boost::asio::io_context {};
    auto finished = 0;
    boost::asio::post(context, [] { throw std::length_error("field value too large"); });
    startCoroutine(context, "failing", [&](boost::asio::yield_context yield) {
        auto error = boost::system::error_code {};
        boost::asio::steady_timer(context, 1ms).async_wait(yield[error]);
        throw std::runtime_error("failed");
    });
    startCoroutine(context, "sound", [&](boost::asio::yield_context yield) {
        auto error = boost::system::error_code {};
        boost::asio::steady_timer(context, 2ms).async_wait(yield[error]);
        ++finished;
    });
    runEventLoop(context);
    EXPECT_EQ(finished, 1);
}

TEST(EventLoopTest, StoppedLoopReturns)
{
    auto context = boost::asio::io_context {};
    auto finished = 0;
    boost::asio::post(context, [&] { context.stop(); });
    boost::asio::post(context, [&] { ++finished; });
    runEventLoop(context);
    EXPECT_EQ(finished, 0);
}

} // namespace
} // namespace citronloft
