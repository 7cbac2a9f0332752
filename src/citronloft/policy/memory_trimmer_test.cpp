#include "citronloft/policy/memory_trimmer.hpp"

#include <gtest/gtest.h>

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto memoryBytes = std::size_t { 1600 };
constexpr auto start = TimePoint { 1h };

TEST(MemoryTrimmerTest, TrimsOnceWhatHasGrown)
{
    auto trimmer = MemoryTrimmer(memoryBytes);
    EXPECT_FALSE(trimmer.isDue(300, start));
    EXPECT_FALSE(trimmer.isDue(400, start));
    EXPECT_TRUE(trimmer.isDue(401, start));
    trimmer.recordTrimmed(390, start);
    EXPECT_FALSE(trimmer.isDue(490, start + 2s)) << "what is left is in use";
    EXPECT_TRUE(trimmer.isDue(491, start + 2s));
}

TEST(MemoryTrimmerTest, WaitsBetweenTwoTrims)
{
    auto trimmer = MemoryTrimmer(memoryBytes);
    EXPECT_FALSE(trimmer.isDue(100, start));
    trimmer.recordTrimmed(100, start);
    EXPECT_FALSE(trimmer.isDue(1000, start + 500ms));
    EXPECT_TRUE(trimmer.isDue(1000, start + 1s));
}

} // namespace
} // namespace citronloft
