#include "citronloft/base/digest.hpp"

#include <cstdlib>
#include <cstring>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace citronloft {

namespace {

auto hexValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    return -1;
}

auto fillRandom(std::uint8_t* data, std::size_t size) -> void
{
    if (RAND_bytes(data, static_cast<int>(size)) != 1)
        std::abort();
}

} // namespace

auto sha256(std::string_view data) -> Digest
{
    auto digest = Digest {};
    EVP_Digest(data.data(), data.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

auto hmacSha256(std::string_view secret, std::string_view data) -> Digest
{
    auto digest = Digest {};
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const std::uint8_t*>(data.data()), data.size(), digest.data(), nullptr);
    return digest;
}

auto constantTimeEqual(const Digest& left, const Digest& right) -> bool
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto toHex(const Digest& digest) -> std::string
{
    constexpr auto digits = std::string_view { "0123456789abcdef" };
    auto text = std::string {};
    for (const auto byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

auto digestFromHex(std::string_view text) -> std::optional<Digest>
{
    auto digest = Digest {};
    if (text.size() != digest.size() * 2)
        return std::nullopt;
    for (auto i = std::size_t { 0 }; i < digest.size(); ++i) {
        const auto high = hexValue(text[i * 2]);
        const auto low = hexValue(text[i * 2 + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        digest[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

auto randomKey() -> std::string
{
    constexpr auto alphabet = std::string_view { "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_" };
    constexpr auto length = std::size_t { 43 };
    auto bytes = std::array<std::uint8_t, length> {};
    fillRandom(bytes.data(), bytes.size());
    auto key = std::string { "clk_" };
    for (const auto byte : bytes)
        key += alphabet[byte & 63];
    return key;
}

auto randomId() -> std::uint64_t
{
    auto bytes = std::array<std::uint8_t, 8> {};
    fillRandom(bytes.data(), bytes.size());
    auto id = std::uint64_t { 0 };
    std::memcpy(&id, bytes.data(), bytes.size());
    return id;
}

} // namespace citronloft
