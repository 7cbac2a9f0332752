#include "citronloft/edge/body_memory.hpp"

#include <algorithm>

namespace citronloft {

auto BodyReservation::resize(std::size_t bufferBytes, std::size_t filledBytes) -> bool
{
    if (!this->memory)
        return true;
    const auto counted = bufferBytes - std::min(bufferBytes, uncountedBytes);
    const auto isGranted = this->kind == BodyKind::Request ? this->memory->resizeRequestBody(this->reserved, counted)
                                                           : this->memory->resizeResponseBody(this->reserved, counted);
    if (!isGranted)
        return false;
    this->reserved = counted;
    const auto unfilled = std::min(counted, bufferBytes - std::min(bufferBytes, filledBytes));
    this->memory->changeAbsentBytes(this->absent, unfilled);
    this->absent = unfilled;
    return true;
}

} // namespace citronloft
