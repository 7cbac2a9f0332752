#include "citronloft/policy/announced_demand.hpp"

#include <algorithm>
#include <utility>

namespace citronloft {

namespace {

/// Hysteresis keeps the noise of single requests from being announced as rises, which count late.
constexpr auto riseFactor = 1.2;
constexpr auto riseStep = 0.05;
constexpr auto fallFactor = 0.7;
/// A fall is announced after one to two of these spans: tenants send to most hosts less than one request a second.
constexpr auto peakSpan = std::chrono::seconds { 3 };
/// Requests per second below which a bucket counts as idle.
constexpr auto idleDemand = 0.02;

} // namespace

auto AnnouncedDemand::update(const std::vector<BucketDemand>& own, bool mayRise, TimePoint now)
    -> std::vector<BucketDemand>
{
    auto present = std::map<std::uint64_t, double> {};
    for (const auto& demand : own)
        present[demand.bucket] = demand.perSecond;
    for (const auto& [bucket, entry] : this->entries)
        present.try_emplace(bucket, 0);
    auto list = std::vector<BucketDemand> {};
    for (const auto& [bucket, perSecond] : present) {
        auto& entry = this->entries[bucket];
        rise(entry, perSecond, mayRise, now);
        fall(entry, perSecond, now);
        if (entry.told > 0)
            list.push_back({ bucket, static_cast<float>(entry.told) });
    }
    std::erase_if(
        this->entries, [](const auto& item) { return item.second.told <= 0 && item.second.peak < idleDemand; });
    return list;
}

auto AnnouncedDemand::rise(Entry& entry, double perSecond, bool mayRise, TimePoint now) -> void
{
    if (!mayRise) {
        entry.rises.clear();
        entry.told = entry.usable;
        return;
    }
    if (perSecond <= entry.told * riseFactor + riseStep)
        return;
    entry.told = perSecond;
    entry.rises.push_back({ perSecond, now });
}

auto AnnouncedDemand::fall(Entry& entry, double perSecond, TimePoint now) -> void
{
    entry.peak = std::max(entry.peak, perSecond);
    if (now < entry.peakUntil)
        return;
    entry.peakUntil = now + peakSpan;
    const auto peak = std::exchange(entry.peak, perSecond);
    if (peak >= entry.told * fallFactor && peak >= idleDemand)
        return;
    entry.told = peak < idleDemand ? 0 : std::min(peak, entry.told);
    entry.usable = std::min(entry.usable, entry.told);
    for (auto& rise : entry.rises)
        rise.perSecond = std::min(rise.perSecond, entry.told);
}

auto AnnouncedDemand::confirm(TimePoint until) -> void
{
    for (auto& [bucket, entry] : this->entries) {
        while (!entry.rises.empty() && entry.rises.front().announcedAt <= until) {
            entry.usable = std::max(entry.usable, entry.rises.front().perSecond);
            entry.rises.pop_front();
        }
    }
}

auto AnnouncedDemand::told(std::uint64_t bucket) const -> double
{
    const auto found = this->entries.find(bucket);
    return found == this->entries.end() ? 0 : found->second.told;
}

auto AnnouncedDemand::usable(std::uint64_t bucket) const -> double
{
    const auto found = this->entries.find(bucket);
    return found == this->entries.end() ? 0 : found->second.usable;
}

} // namespace citronloft
