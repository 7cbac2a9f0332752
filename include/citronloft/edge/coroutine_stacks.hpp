/// @file
/// @brief Stacks of coroutines, which are reused and otherwise returned to the system.
#pragma once

#include <cstddef>

#include <boost/context/stack_context.hpp>

namespace citronloft {

/// @brief Stack allocator for coroutines (Boost.Context). Each thread keeps a limited number of released stacks.
///
/// Stacks from the heap would leave their pages resident wherever later allocations lie behind them.
class CoroutineStacks {
public:
    /// Size of a stack in bytes; only the used part is resident.
    static constexpr auto stackBytes = std::size_t { 128 } * 1024;
    /// Maximum number of released stacks that a thread keeps.
    static constexpr auto maxKept = std::size_t { 128 };

    /// @return a stack with a guard page. Throws std::bad_alloc if there is none.
    auto allocate() -> boost::context::stack_context;

    auto deallocate(boost::context::stack_context& stack) noexcept -> void;

    /// @return the number of released stacks that the calling thread keeps.
    static auto keptCount() -> std::size_t;
};

} // namespace citronloft
