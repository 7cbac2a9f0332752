/// @file
/// @brief Decides when freed memory is returned to the system.
#pragma once

#include <algorithm>
#include <cstddef>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Load pattern: a crowd makes the host hold much memory in small pieces and leaves; the allocator keeps the
/// freed pieces, which then count as held beside the connections.
class MemoryTrimmer {
public:
    /// Growth of the memory beside the connections that is taken for freed memory, as a part of all memory
    /// (reciprocal).
    static constexpr auto growthDivisor = std::size_t { 16 };
    static constexpr auto minInterval = std::chrono::seconds { 1 };

    /// @param memoryBytes memory of the host.
    explicit MemoryTrimmer(std::size_t memoryBytes)
        : memoryBytes(memoryBytes)
    {
    }

    /// @param overheadBytes what the process holds beside its connections.
    [[nodiscard]] auto isDue(std::size_t overheadBytes, TimePoint now) -> bool
    {
        this->lowestBytes = std::min(this->lowestBytes, overheadBytes);
        return now >= this->nextAt && overheadBytes > this->lowestBytes + this->memoryBytes / growthDivisor;
    }

    /// @brief Records what is left after freed memory was returned; it is in use.
    auto recordTrimmed(std::size_t overheadBytes, TimePoint now) -> void
    {
        this->lowestBytes = overheadBytes;
        this->nextAt = now + minInterval;
    }

private:
    std::size_t memoryBytes;
    std::size_t lowestBytes = SIZE_MAX;
    TimePoint nextAt {};
};

} // namespace citronloft
