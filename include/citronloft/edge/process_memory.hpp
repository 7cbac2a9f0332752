/// @file
/// @brief Memory of this process as the system and the allocator see it.
#pragma once

#include <cstddef>
#include <optional>

namespace citronloft {

/// @return the resident memory in bytes, or nothing if the system does not tell.
auto residentBytes() -> std::optional<std::size_t>;

/// @brief Makes the allocator return large blocks to the system as soon as they are freed; to be called once, at start.
///
/// By default its threshold rises with the blocks that are freed, so that bodies of some megabytes leave gaps in the
/// heap.
auto returnLargeBlocksWhenFreed() -> void;

/// @brief Returns the pages of freed memory to the system.
auto returnFreeMemory() -> void;

} // namespace citronloft
