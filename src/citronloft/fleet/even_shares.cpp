#include "citronloft/fleet/even_shares.hpp"

#include <algorithm>

namespace citronloft {

EvenShares::EvenShares(EvenSharesOption option, std::string self, TimePoint now)
    : option(option)
    , self(std::move(self))
    , startedAt(now)
{
}

auto EvenShares::note(const std::string& ip, TimePoint now) -> void { this->heardAt[ip] = now; }

auto EvenShares::usable(TimePoint now) -> std::vector<SlotRange>
{
    this->heardAt[this->self] = now;
    std::erase_if(this->heardAt, [&](const auto& item) { return now - item.second > this->option.remember; });
    auto hosts = this->heardAt.size();
    const auto place = static_cast<std::size_t>(std::distance(this->heardAt.begin(), this->heardAt.find(this->self)));
    if (now - this->startedAt < this->option.startTime)
        hosts = std::max(hosts, this->option.leastHosts);
    const auto first = slotsPerZone * place / hosts;
    const auto end = slotsPerZone * (place + 1) / hosts;
    if (first == end)
        return {};
    return { { 1, static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(end - first) } };
}

} // namespace citronloft
