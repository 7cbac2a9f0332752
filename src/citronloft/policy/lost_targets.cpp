#include "citronloft/policy/lost_targets.hpp"

#include <iterator>
#include <utility>

namespace citronloft {

LostTargets::LostTargets(LostTargetOption option)
    : option(option)
{
}

auto LostTargets::recordLoss(const LostTarget& target, TimePoint now) -> void
{
    const auto watch = Watch { target.address, now, now + this->option.firstDelay, false };
    const auto [known, isNew] = this->watches.try_emplace(target.key, watch);
    if (!isNew && known->second.wasProbed)
        known->second = watch;
}

auto LostTargets::takeDueProbes(TimePoint now) -> std::vector<LostTarget>
{
    auto due = std::vector<LostTarget> {};
    for (auto item = this->watches.begin(); item != this->watches.end();) {
        auto& watch = item->second;
        if (now < watch.nextProbeAt) {
            ++item;
            continue;
        }
        due.push_back({ item->first, watch.address });
        watch.nextProbeAt = watch.lostAt + this->option.secondDelay;
        item = std::exchange(watch.wasProbed, true) ? this->watches.erase(item) : std::next(item);
    }
    return due;
}

} // namespace citronloft
