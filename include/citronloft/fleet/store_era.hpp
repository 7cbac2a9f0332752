/// @file
/// @brief Era of the store: a number that rises each time the store is restored from an older copy.
#pragma once

#include <cstdint>

#include "citronloft/base/metrics.hpp"

namespace citronloft {

/// @brief Newest era in which the store has answered this host; shared by all calls of one client.
class StoreEra {
public:
    explicit StoreEra(Metrics& metrics);

    /// @brief Records the era of an answer. A newer one than before means that the store has been restored.
    /// @return false if the answer is from before a restore that an earlier answer has shown.
    auto record(std::uint64_t era) -> bool;

    /// @return the newest era, 0 before the first answer.
    [[nodiscard]] auto current() const -> std::uint64_t { return this->newest; }

private:
    Metrics& metrics;
    std::uint64_t newest = 0;
    bool hasAnswered = false;
};

} // namespace citronloft
