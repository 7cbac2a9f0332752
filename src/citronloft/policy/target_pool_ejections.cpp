#include "citronloft/policy/target_pool.hpp"

namespace citronloft {

/// A target whose ejection is taken back goes on with the ramp that it had.
auto TargetPool::revokeEjections(TimePoint since) -> void
{
    for (auto& member : this->members) {
        if (member.failedAt < since)
            continue;
        member.failures = 0;
        if (member.ejections == 0 || member.ejectedAt < since)
            continue;
        --member.ejections;
        if (member.health->state() == TargetState::Ejected)
            member.health->process(TargetEvent::ProbeOk);
    }
}

} // namespace citronloft
