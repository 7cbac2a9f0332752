#include "citronloft/edge/coroutine_stacks.hpp"

#include <vector>

#include <boost/context/protected_fixedsize_stack.hpp>

namespace citronloft {

namespace {

using boost::context::protected_fixedsize_stack;
using boost::context::stack_context;

/// Released stacks of a thread.
struct KeptStacks {
    KeptStacks() { this->stacks.reserve(CoroutineStacks::maxKept); }
    ~KeptStacks()
    {
        for (auto& stack : this->stacks)
            protected_fixedsize_stack(CoroutineStacks::stackBytes).deallocate(stack);
    }
    KeptStacks(const KeptStacks&) = delete;
    auto operator=(const KeptStacks&) -> KeptStacks& = delete;

    std::vector<stack_context> stacks;
};

auto keptStacks() -> std::vector<stack_context>&
{
    thread_local auto kept = KeptStacks {};
    return kept.stacks;
}

} // namespace

auto CoroutineStacks::allocate() -> stack_context
{
    auto& kept = keptStacks();
    if (kept.empty())
        return protected_fixedsize_stack(stackBytes).allocate();
    const auto stack = kept.back();
    kept.pop_back();
    return stack;
}

auto CoroutineStacks::deallocate(stack_context& stack) noexcept -> void
{
    auto& kept = keptStacks();
    if (kept.size() < maxKept)
        kept.push_back(stack);
    else
        protected_fixedsize_stack(stackBytes).deallocate(stack);
}

auto CoroutineStacks::keptCount() -> std::size_t { return keptStacks().size(); }

} // namespace citronloft
