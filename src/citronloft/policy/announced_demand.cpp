#include "citronloft/policy/announced_demand.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

namespace {

/// Hysteresis: fluctuations caused by single requests are not announced as increases, which take effect with a delay.
constexpr auto increaseFactor = 1.2;
constexpr auto increaseStepPerSecond = 0.05;
constexpr auto decreaseFactor = 0.7;
/// Window over which the peak demand is measured; a decrease is announced after one to two windows, since tenants send
/// less than one request per second to most hosts.
constexpr auto peakWindow = std::chrono::seconds { 3 };
/// Requests per second below which a bucket is considered idle.
constexpr auto idleDemandPerSecond = 0.02;

} // namespace

auto AnnouncedDemand::update(const std::vector<BucketDemand>& own, bool canIncrease, TimePoint now)
    -> std::vector<BucketDemand>
{
    auto current = std::map<std::uint64_t, double> {};
    for (const auto& demand : own)
        current[demand.bucket] = demand.perSecond;
    for (const auto& [bucket, entry] : this->entries)
        current.try_emplace(bucket, 0);
    auto list = std::vector<BucketDemand> {};
    for (const auto& [bucket, perSecond] : current) {
        auto& entry = this->entries[bucket];
        announceIncrease(entry, perSecond, canIncrease, now);
        announceDecrease(entry, perSecond, now);
        if (entry.announced > 0)
            list.push_back({ bucket, static_cast<float>(entry.announced) });
    }
    std::erase_if(this->entries,
        [](const auto& item) { return item.second.announced <= 0 && item.second.peak < idleDemandPerSecond; });
    return list;
}

auto AnnouncedDemand::announceIncrease(Entry& entry, double perSecond, bool canIncrease, TimePoint now) -> void
{
    if (!canIncrease) {
        entry.pendingIncreases.clear();
        entry.announced = entry.confirmed;
        return;
    }
    if (perSecond <= entry.announced * increaseFactor + increaseStepPerSecond)
        return;
    entry.announced = perSecond;
    entry.pendingIncreases.push_back({ perSecond, now });
}

auto AnnouncedDemand::announceDecrease(Entry& entry, double perSecond, TimePoint now) -> void
{
    entry.peak = std::max(entry.peak, perSecond);
    if (now < entry.peakWindowEndsAt)
        return;
    entry.peakWindowEndsAt = now + peakWindow;
    const auto peak = std::exchange(entry.peak, perSecond);
    if (peak >= entry.announced * decreaseFactor && peak >= idleDemandPerSecond)
        return;
    entry.announced = peak < idleDemandPerSecond ? 0 : std::min(peak, entry.announced);
    entry.confirmed = std::min(entry.confirmed, entry.announced);
    for (auto& increase : entry.pendingIncreases)
        increase.perSecond = std::min(increase.perSecond, entry.announced);
}

auto AnnouncedDemand::confirm(TimePoint until) -> void
{
    for (auto& [bucket, entry] : this->entries) {
        while (!entry.pendingIncreases.empty() && entry.pendingIncreases.front().announcedAt <= until) {
            entry.confirmed = std::max(entry.confirmed, entry.pendingIncreases.front().perSecond);
            entry.pendingIncreases.pop_front();
        }
    }
}

auto AnnouncedDemand::announced(std::uint64_t bucket) const -> double
{
    const auto found = this->entries.find(bucket);
    return found == this->entries.end() ? 0 : found->second.announced;
}

auto AnnouncedDemand::confirmed(std::uint64_t bucket) const -> double
{
    const auto found = this->entries.find(bucket);
    return found == this->entries.end() ? 0 : found->second.confirmed;
}

} // namespace citronloft
