/// @file
/// @brief IP addresses with ports, and IP prefixes.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace citronloft {

/// @brief An IP address and a port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address&) const = default;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->ip, this->port); }
};

/// @brief An IP prefix; IPv4 prefixes are stored as IPv4-mapped IPv6.
struct Prefix {
    std::array<std::uint8_t, 16> bits {};
    std::uint8_t length = 0;

    auto operator<=>(const Prefix&) const = default;
};

/// @brief Parses an IP address and a port.
/// @param text for example "10.2.0.1:8080" or "[::1]:8080".
/// @return the address, or InvalidArgument.
auto parseAddress(std::string_view text) -> absl::StatusOr<Address>;

/// @return "ip:port", with brackets around an IPv6 address.
auto formatAddress(const Address& address) -> std::string;

/// @brief Parses an IP prefix.
/// @param text for example "10.2.0.0/16".
/// @return the prefix with its host bits cleared, or InvalidArgument.
auto parsePrefix(std::string_view text) -> absl::StatusOr<Prefix>;

/// @return the 16 bytes of the address, IPv4-mapped for IPv4, or InvalidArgument.
auto parseIp(std::string_view text) -> absl::StatusOr<std::array<std::uint8_t, 16>>;

} // namespace citronloft
