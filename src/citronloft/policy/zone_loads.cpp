#include "citronloft/policy/zone_loads.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

namespace {

auto addCapped(std::uint8_t left, std::uint8_t right) -> std::uint8_t
{
    constexpr auto greatest = 254U;
    return static_cast<std::uint8_t>(std::min(unsigned { left } + right, greatest));
}

} // namespace

auto ZoneLoads::note(std::uint64_t sender, const std::vector<TargetLoad>& loads, TimePoint now) -> void
{
    auto& known = this->senders[sender];
    this->hasChanged |= known.loads != loads;
    known = { loads, now };
    for (const auto& load : loads) {
        if (load.outside != TargetLoad::noReport)
            this->outside[load.target] = load.outside;
    }
}

auto ZoneLoads::forgetSilent(TimePoint now) -> void
{
    const auto forgotten
        = std::erase_if(this->senders, [&](const auto& item) { return now - item.second.heardAt >= this->maxAge; });
    this->hasChanged |= forgotten > 0;
}

auto ZoneLoads::sumWithout(std::uint64_t receiver) const -> std::vector<TargetLoad>
{
    auto sums = std::unordered_map<std::uint32_t, std::uint8_t> {};
    for (const auto& [sender, known] : this->senders) {
        if (sender == receiver)
            continue;
        for (const auto& load : known.loads)
            sums[load.target] = addCapped(sums[load.target], load.inFlight);
    }
    for (const auto& [target, report] : this->outside)
        sums.try_emplace(target, std::uint8_t { 0 });
    auto list = std::vector<TargetLoad> {};
    list.reserve(sums.size());
    for (const auto& [target, inFlight] : sums) {
        const auto report = this->outside.find(target);
        list.push_back({ target, inFlight, report == this->outside.end() ? TargetLoad::noReport : report->second });
    }
    return list;
}

auto ZoneLoads::takeChanged() -> bool { return std::exchange(this->hasChanged, false); }

} // namespace citronloft
