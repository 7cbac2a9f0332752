#include "citronloft/policy/block_table.hpp"

#include <algorithm>

namespace citronloft {

namespace {

using Ipv6Bytes = std::array<std::uint8_t, 16>;

constexpr auto noZone = std::uint16_t { 0xffff };

auto isMapped(const Ipv6Bytes& ip) -> bool
{
    constexpr auto mappedPrefix = std::array<std::uint8_t, 12> { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };
    return std::equal(mappedPrefix.begin(), mappedPrefix.end(), ip.begin());
}

auto lastAddressOf(const Prefix& prefix) -> Ipv6Bytes
{
    auto last = prefix.bits;
    for (auto bit = unsigned { prefix.length }; bit < 128; ++bit)
        last[bit / 8] |= static_cast<std::uint8_t>(0x80U >> (bit % 8));
    return last;
}

/// @return address after `ip`, or nothing if `ip` is the last address.
auto successor(Ipv6Bytes ip) -> std::optional<Ipv6Bytes>
{
    for (auto i = ip.size(); i-- > 0;) {
        if (++ip[i] != 0)
            return ip;
    }
    return std::nullopt;
}

auto toIpv4(const Ipv6Bytes& ip) -> std::uint32_t
{
    return (std::uint32_t { ip[12] } << 24U) | (std::uint32_t { ip[13] } << 16U) | (std::uint32_t { ip[14] } << 8U)
        | ip[15];
}

struct OpenPrefix {
    Ipv6Bytes last;
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
    // A prefix sorts after the shorter prefixes that contain it, so the top of a stack of open prefixes is the longest
    // match.
    std::ranges::sort(entries, {}, [](const BlockEntry& entry) { return entry.prefix; });
    auto openPrefixes = std::vector<OpenPrefix> {};
    const auto append = [&](const Ipv6Bytes& start, std::uint16_t zone) {
        if (isMapped(start))
            this->ipv4.append(toIpv4(start), zone);
        else
            this->ipv6.append(start, zone);
    };
    const auto closeBefore = [&](const Ipv6Bytes* start) {
        while (!openPrefixes.empty() && (start == nullptr || openPrefixes.back().last < *start)) {
            const auto next = successor(openPrefixes.back().last);
            openPrefixes.pop_back();
            if (next)
                append(*next, openPrefixes.empty() ? noZone : openPrefixes.back().zone);
        }
    };
    for (const auto& entry : entries) {
        closeBefore(&entry.prefix.bits);
        append(entry.prefix.bits, entry.zone);
        openPrefixes.push_back({ lastAddressOf(entry.prefix), entry.zone });
    }
    closeBefore(nullptr);
    this->ipv4.starts.shrink_to_fit();
    this->ipv4.zones.shrink_to_fit();
}

auto BlockTable::find(const std::array<std::uint8_t, 16>& ip) const -> std::optional<std::uint16_t>
{
    auto zone = isMapped(ip) ? this->ipv4.find(toIpv4(ip)) : this->ipv6.find(ip);
    if (zone == noZone && isMapped(ip))
        zone = this->ipv6.find(ip);
    if (zone == noZone)
        return std::nullopt;
    return zone;
}

auto BlockTable::memoryBytes() const -> std::size_t
{
    const auto ipv4Bytes = this->ipv4.starts.capacity() * sizeof(std::uint32_t);
    const auto ipv6Bytes = this->ipv6.starts.capacity() * sizeof(Ipv6Bytes);
    const auto zones = this->ipv4.zones.capacity() + this->ipv6.zones.capacity();
    return ipv4Bytes + ipv6Bytes + zones * sizeof(std::uint16_t);
}

} // namespace citronloft
