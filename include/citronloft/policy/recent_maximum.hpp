/// @file
/// @brief Greatest value of a recent time.
#pragma once

#include <algorithm>
#include <cstddef>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief Remembers a count's greatest value for one to two times the given time; 1 at first.
class RecentMaximum {
public:
    explicit RecentMaximum(Duration memory)
        : memory(memory)
    {
    }

    auto note(std::size_t count, TimePoint now) -> void
    {
        if (now >= this->nextSpanAt) {
            this->nextSpanAt = now + this->memory;
            this->last = this->present;
            this->present = 1;
        }
        this->present = std::max(this->present, count);
    }

    [[nodiscard]] auto value() const -> std::size_t { return std::max(this->last, this->present); }

private:
    Duration memory;
    TimePoint nextSpanAt {};
    std::size_t last = 1;
    std::size_t present = 1;
};

} // namespace citronloft
