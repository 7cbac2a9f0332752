#include "citronloft/edge/gateway.hpp"

namespace citronloft {

auto Gateway::setReachesTargets(bool reaches) -> void
{
    if (this->reachesTargets == reaches)
        return;
    this->reachesTargets = reaches;
    this->fleet.membership().setReachesTargets(reaches);
    this->refreshLookups();
}

} // namespace citronloft
