#include "citronloft/edge/body_memory.hpp"

#include <algorithm>

namespace citronloft {

auto BodyReservation::resize(std::size_t bodyBytes) -> bool
{
    if (!this->memory)
        return true;
    const auto counted = bodyBytes - std::min(bodyBytes, uncountedBytes);
    const auto isGranted = this->kind == BodyKind::Request ? this->memory->resizeRequestBody(this->reserved, counted)
                                                           : this->memory->resizeResponseBody(this->reserved, counted);
    if (!isGranted)
        return false;
    this->reserved = counted;
    return true;
}

} // namespace citronloft
