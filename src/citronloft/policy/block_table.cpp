#include "citronloft/policy/block_table.hpp"

#include <algorithm>

namespace citronloft {

namespace {

using Wide = std::array<std::uint8_t, 16>;

constexpr auto noZone = std::uint16_t { 0xffff };

auto isMapped(const Wide& ip) -> bool
{
    constexpr auto mappedPrefix = std::array<std::uint8_t, 12> { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };
    return std::equal(mappedPrefix.begin(), mappedPrefix.end(), ip.begin());
}

auto lastOf(const Prefix& prefix) -> Wide
{
    auto last = prefix.bits;
    for (auto bit = unsigned { prefix.length }; bit < 128; ++bit)
        last[bit / 8] |= static_cast<std::uint8_t>(0x80U >> (bit % 8));
    return last;
}

/// @return the number after `ip`, or nothing after the last one.
auto successor(Wide ip) -> std::optional<Wide>
{
    for (auto i = ip.size(); i-- > 0;) {
        if (++ip[i] != 0)
            return ip;
    }
    return std::nullopt;
}

auto toNarrow(const Wide& ip) -> std::uint32_t
{
    return (std::uint32_t { ip[12] } << 24U) | (std::uint32_t { ip[13] } << 16U) | (std::uint32_t { ip[14] } << 8U)
        | ip[15];
}

struct OpenPrefix {
    Wide last;
    std::uint16_t zone;
};

} // namespace

template <typename Key> auto BlockTable::Intervals<Key>::append(const Key& start, std::uint16_t zone) -> void
{
    if (!this->starts.empty() && this->starts.back() == start) {
        this->zones.back() = zone;
        return;
    }
    if (!this->zones.empty() && this->zones.back() == zone)
        return;
    this->starts.push_back(start);
    this->zones.push_back(zone);
}

template <typename Key> auto BlockTable::Intervals<Key>::find(const Key& key) const -> std::uint16_t
{
    const auto after = std::ranges::upper_bound(this->starts, key);
    if (after == this->starts.begin())
        return noZone;
    return this->zones[static_cast<std::size_t>(after - this->starts.begin()) - 1];
}

BlockTable::BlockTable(std::vector<BlockEntry> entries)
{
    // A longer prefix sorts after the shorter one that holds it, so a stack of open prefixes gives the innermost.
    std::ranges::sort(entries, {}, [](const BlockEntry& entry) { return entry.prefix; });
    auto open = std::vector<OpenPrefix> {};
    const auto append = [&](const Wide& start, std::uint16_t zone) {
        if (isMapped(start))
            this->narrow.append(toNarrow(start), zone);
        else
            this->wide.append(start, zone);
    };
    const auto closeBefore = [&](const Wide* start) {
        while (!open.empty() && (start == nullptr || open.back().last < *start)) {
            const auto next = successor(open.back().last);
            open.pop_back();
            if (next)
                append(*next, open.empty() ? noZone : open.back().zone);
        }
    };
    for (const auto& entry : entries) {
        closeBefore(&entry.prefix.bits);
        append(entry.prefix.bits, entry.zone);
        open.push_back({ lastOf(entry.prefix), entry.zone });
    }
    closeBefore(nullptr);
    this->narrow.starts.shrink_to_fit();
    this->narrow.zones.shrink_to_fit();
}

auto BlockTable::find(const std::array<std::uint8_t, 16>& ip) const -> std::optional<std::uint16_t>
{
    auto zone = isMapped(ip) ? this->narrow.find(toNarrow(ip)) : this->wide.find(ip);
    if (zone == noZone && isMapped(ip))
        zone = this->wide.find(ip);
    if (zone == noZone)
        return std::nullopt;
    return zone;
}

auto BlockTable::memoryBytes() const -> std::size_t
{
    const auto narrowBytes = this->narrow.starts.capacity() * sizeof(std::uint32_t);
    const auto wideBytes = this->wide.starts.capacity() * sizeof(Wide);
    const auto zones = this->narrow.zones.capacity() + this->wide.zones.capacity();
    return narrowBytes + wideBytes + zones * sizeof(std::uint16_t);
}

} // namespace citronloft
