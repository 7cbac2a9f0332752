/// @file
/// @brief SHA-256 digests, random keys and constant-time comparison (OpenSSL).
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronloft {

/// @brief A SHA-256 digest.
using Digest = std::array<std::uint8_t, 32>;

/// @return the SHA-256 digest of `data`.
auto sha256(std::string_view data) -> Digest;

/// @return the HMAC-SHA-256 of `data` under `secret`.
auto hmacSha256(std::string_view secret, std::string_view data) -> Digest;

/// @return whether both digests are equal; the run time does not depend on their content.
auto constantTimeEqual(const Digest& left, const Digest& right) -> bool;

/// @return lower-case hexadecimal text.
auto toHex(const Digest& digest) -> std::string;

/// @return the digest, or no value unless `text` consists of 64 lower-case hexadecimal digits.
auto digestFromHex(std::string_view text) -> std::optional<Digest>;

/// @return a random team key: "clk_" followed by 43 characters with at least 256 random bits.
auto randomKey() -> std::string;

/// @return a 64-bit number from the cryptographic random generator.
auto randomId() -> std::uint64_t;

} // namespace citronloft
