/// @file
/// @brief Peers that a rate limiter may borrow from.
#pragma once

#include <cstdint>
#include <vector>

#include "citronloft/base/address.hpp"

namespace citronloft {

/// @brief A host that may lend tokens.
struct Lender {
    std::uint64_t incarnation = 0;
    Address address;
    bool isSameZone = false;

    auto operator==(const Lender&) const -> bool = default;
};

/// @brief Names the hosts that can be asked for loans.
class PeerDirectory {
public:
    virtual ~PeerDirectory() = default;

    /// @return live hosts, zone peers first.
    [[nodiscard]] virtual auto lenders() const -> std::vector<Lender> = 0;
};

} // namespace citronloft
