#include "citronloft/edge/coroutine_stacks.hpp"

#include <vector>

#include <gtest/gtest.h>

namespace citronloft {
namespace {

TEST(CoroutineStacksTest, ReleasedStackIsReused)
{
    auto stacks = CoroutineStacks {};
    auto first = stacks.allocate();
    const auto* const top = first.sp;
    stacks.deallocate(first);
    auto second = stacks.allocate();
    EXPECT_EQ(second.sp, top);
    stacks.deallocate(second);
}

/// Guards against memory that stays with the process after a crowd of connections has gone.
TEST(CoroutineStacksTest, KeepsALimitedNumber)
{
    auto stacks = CoroutineStacks {};
    auto taken = std::vector<boost::context::stack_context> {};
    for (auto i = std::size_t { 0 }; i < 2 * CoroutineStacks::maxKept; ++i)
        taken.push_back(stacks.allocate());
    for (auto& stack : taken)
        stacks.deallocate(stack);
    EXPECT_EQ(CoroutineStacks::keptCount(), CoroutineStacks::maxKept);
}

} // namespace
} // namespace citronloft
