#include "citronloft/edge/body_memory.hpp"

#include <algorithm>

namespace citronloft {

auto BodyReservation::resize(std::size_t bodyBytes) -> bool
{
    if (!this->memory)
        return true;
    const auto counted = bodyBytes - std::min(bodyBytes, uncountedBytes);
    const auto others = this->memory->used - this->reserved;
    if (counted > this->reserved && others + counted > this->memory->limitBytes)
        return false;
    this->memory->used = others + counted;
    this->reserved = counted;
    return true;
}

} // namespace citronloft
