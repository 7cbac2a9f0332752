#include "citronloft/policy/zone_loads.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

namespace {

auto addCapped(std::uint8_t left, std::uint8_t right) -> std::uint8_t
{
    constexpr auto maxCount = 254U;
    return static_cast<std::uint8_t>(std::min(unsigned { left } + right, maxCount));
}

} // namespace

auto ZoneLoads::record(std::uint64_t sender, const std::vector<TargetLoad>& loads, TimePoint now) -> void
{
    auto& senderState = this->senders[sender];
    this->hasChanged |= senderState.loads != loads;
    senderState = { loads, now };
    for (const auto& load : loads) {
        if (load.outsideInFlight != TargetLoad::noReport)
            this->outsideInFlight[load.target] = load.outsideInFlight;
    }
}

auto ZoneLoads::removeExpired(TimePoint now) -> void
{
    const auto removedCount
        = std::erase_if(this->senders, [&](const auto& item) { return now - item.second.receivedAt >= this->maxAge; });
    this->hasChanged |= removedCount > 0;
}

auto ZoneLoads::sumExcluding(std::uint64_t receiver) const -> std::vector<TargetLoad>
{
    auto sums = std::unordered_map<std::uint32_t, std::uint8_t> {};
    for (const auto& [sender, senderState] : this->senders) {
        if (sender == receiver)
            continue;
        for (const auto& load : senderState.loads)
            sums[load.target] = addCapped(sums[load.target], load.inFlight);
    }
    for (const auto& [target, report] : this->outsideInFlight)
        sums.try_emplace(target, std::uint8_t { 0 });
    auto list = std::vector<TargetLoad> {};
    list.reserve(sums.size());
    for (const auto& [target, inFlight] : sums) {
        const auto report = this->outsideInFlight.find(target);
        list.push_back(
            { target, inFlight, report == this->outsideInFlight.end() ? TargetLoad::noReport : report->second });
    }
    return list;
}

auto ZoneLoads::takeChanged() -> bool { return std::exchange(this->hasChanged, false); }

} // namespace citronloft
