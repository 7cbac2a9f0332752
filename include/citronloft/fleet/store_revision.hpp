/// @file
/// @brief Order of everything that the store says.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citronloft {

/// @brief Position in the store's history.
///
/// A store that is restored from a copy goes back to an earlier revision and gives the later ones out again, for other
/// contents. It then starts a new era, and every revision of an era follows all revisions of the eras before.
struct StoreRevision {
    /// Number of times that the store has been restored; 0 if the store does not state it.
    std::uint64_t era = 0;
    /// Number of changes, counted by the store.
    std::uint64_t number = 0;

    auto operator<=>(const StoreRevision&) const = default;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->era, this->number); }
};

/// @return "era.number", for logs and version tags.
inline auto formatRevision(const StoreRevision& revision) -> std::string
{
    return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

} // namespace citronloft
