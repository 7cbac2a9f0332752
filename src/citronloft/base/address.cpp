#include "citronloft/base/address.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

#include <arpa/inet.h>

namespace citronloft {

namespace {

constexpr auto ipv4MappedBits = 96;

auto parseNumber(std::string_view text, unsigned max) -> absl::StatusOr<unsigned>
{
    auto value = 0U;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc {} || stop != end || value > max)
        return absl::InvalidArgumentError("expected an integer within its range, got '" + std::string { text } + "'");
    return value;
}

auto isIpv4(std::string_view text) -> bool { return text.find(':') == std::string_view::npos; }

auto clearBitsAfter(Prefix& prefix) -> void
{
    for (auto bit = unsigned { prefix.length }; bit < 128; ++bit)
        prefix.bits[bit / 8] &= static_cast<std::uint8_t>(~(0x80U >> (bit % 8)));
}

} // namespace

auto parseIp(std::string_view text) -> absl::StatusOr<std::array<std::uint8_t, 16>>
{
    auto bits = std::array<std::uint8_t, 16> {};
    const auto copy = std::string { text };
    // inet_pton() reads only up to a null character.
    if (text.find('\0') != std::string_view::npos)
        return absl::InvalidArgumentError("expected an IP address, got a null character");
    if (isIpv4(text)) {
        bits[10] = 0xff;
        bits[11] = 0xff;
        if (inet_pton(AF_INET, copy.c_str(), bits.data() + 12) == 1)
            return bits;
    } else if (inet_pton(AF_INET6, copy.c_str(), bits.data()) == 1) {
        return bits;
    }
    return absl::InvalidArgumentError("expected an IP address, got '" + copy + "'");
}

auto parseAddress(std::string_view text) -> absl::StatusOr<Address>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return absl::InvalidArgumentError("expected IP:PORT, found no port in '" + std::string { text } + "'");
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    if (const auto bits = parseIp(ip); !bits.ok())
        return bits.status();
    const auto port = parseNumber(text.substr(colon + 1), 65535);
    if (!port.ok())
        return port.status();
    return Address { std::string { ip }, static_cast<std::uint16_t>(*port) };
}

auto formatAddress(const Address& address) -> std::string
{
    const auto port = ":" + std::to_string(address.port);
    return isIpv4(address.ip) ? address.ip + port : "[" + address.ip + "]" + port;
}

auto parsePrefix(std::string_view text) -> absl::StatusOr<Prefix>
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return absl::InvalidArgumentError("expected PREFIX/LENGTH, found no length in '" + std::string { text } + "'");
    const auto ip = text.substr(0, slash);
    const auto bits = parseIp(ip);
    if (!bits.ok())
        return bits.status();
    const auto length = parseNumber(text.substr(slash + 1), isIpv4(ip) ? 32 : 128);
    if (!length.ok())
        return length.status();
    auto prefix = Prefix { *bits, static_cast<std::uint8_t>(*length + (isIpv4(ip) ? ipv4MappedBits : 0)) };
    clearBitsAfter(prefix);
    return prefix;
}

} // namespace citronloft
