#include "citronloft/policy/cold_feeders.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "citronloft/policy/shares.hpp"

namespace citronloft {

auto coldFeederPart(const std::string& target, const std::string& self, const std::vector<std::string>& hosts,
    ColdFeederOption option) -> double
{
    auto order = std::vector<std::pair<std::uint64_t, std::string>> {};
    for (const auto& host : hosts)
        order.emplace_back(bucketId(target + "/" + host), host);
    std::ranges::sort(order);
    if (order.size() > option.feeders)
        order.resize(option.feeders);
    const auto isFeeder = std::ranges::any_of(order, [&](const auto& item) { return item.second == self; });
    return isFeeder ? option.reserve / static_cast<double>(option.feeders) : 0;
}

} // namespace citronloft
