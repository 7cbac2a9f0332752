/// @file
/// @brief Edits the text of a configuration file while preserving its comments and layout.
#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "citronloft/base/digest.hpp"

namespace citronloft {

/// @brief Adds a key's digest to a team.
/// @return the edited text, or NotFound if the file has no such team.
auto addTeamKey(const std::string& text, const std::string& team, const Digest& digest) -> absl::StatusOr<std::string>;

/// @brief Removes a key's digest.
/// @return the edited text, or NotFound if the file does not contain the digest.
auto removeTeamKey(const std::string& text, const Digest& digest) -> absl::StatusOr<std::string>;

/// @brief Adds a host's service address to draining_hosts, or removes it.
/// @return the edited text, or NotFound if the host to remove is not listed.
auto setHostDraining(const std::string& text, const std::string& address, bool draining) -> absl::StatusOr<std::string>;

/// @brief Sets the draining field of the target with this address, or of the zone with this name.
/// @return the edited text, or NotFound.
auto setDraining(const std::string& text, const std::string& name, bool draining) -> absl::StatusOr<std::string>;

} // namespace citronloft
