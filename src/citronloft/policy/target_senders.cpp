#include "citronloft/policy/target_senders.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "citronloft/policy/shares.hpp"

namespace citronloft {

auto senderRateFraction(const std::string& target, const std::string& self, const std::vector<std::string>& hosts,
    TargetSenderOption option) -> double
{
    auto candidates = std::vector<std::pair<std::uint64_t, std::string>> {};
    for (const auto& host : hosts)
        candidates.emplace_back(bucketId(target + "/" + host), host);
    std::ranges::sort(candidates);
    if (candidates.size() > option.senderCount)
        candidates.resize(option.senderCount);
    const auto isSender = std::ranges::any_of(candidates, [&](const auto& item) { return item.second == self; });
    return isSender ? option.usedFraction / static_cast<double>(option.senderCount) : 0;
}

} // namespace citronloft
