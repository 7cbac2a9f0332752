/// @file
/// @brief Textual form of the number that identifies equal requests.
#pragma once

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

namespace citronloft {

/// @return the identity as 16 hexadecimal digits, as in logs and in the store.
inline auto formatIdentity(std::uint64_t identity) -> std::string
{
    auto text = std::array<char, 17> {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(identity));
    return text.data();
}

} // namespace citronloft
