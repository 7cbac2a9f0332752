#include <gtest/gtest.h>

#include "citronloft/base/log_limiter.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

TEST(LogLimiter, LimitsEachKindAndCountsSuppressedLines)
{
    auto limiter = LogLimiter(3, 1s);
    auto suppressedLines = std::uint64_t { 0 };
    auto now = TimePoint { 1h };
    auto written = 0;
    for (auto i = 0; i < 10; ++i)
        written += limiter.allow("refused", now, suppressedLines) ? 1 : 0;
    EXPECT_EQ(written, 3);
    EXPECT_TRUE(limiter.allow("failed", now, suppressedLines));
    EXPECT_EQ(suppressedLines, 0U);
    now += 1s;
    EXPECT_TRUE(limiter.allow("refused", now, suppressedLines));
    EXPECT_EQ(suppressedLines, 7U);
    EXPECT_TRUE(limiter.allow("refused", now, suppressedLines));
    EXPECT_EQ(suppressedLines, 0U);
}

} // namespace
} // namespace citronloft
