/// @file
/// @brief Reads the records of a manifest's chunks from the store.
#pragma once

#include <functional>
#include <memory>

#include "citronloft/fleet/config_manifest.hpp"
#include "citronloft/fleet/object_store.hpp"

namespace citronloft {

/// @brief Receives the records of a manifest, verified against its digest, or the error.
using RecordsDone = std::function<void(absl::StatusOr<ConfigRecords>)>;

/// @brief Reads all chunks of a manifest, one after the other, and calls `done` with their records.
auto loadRecords(std::shared_ptr<ObjectStore> store, const ConfigManifest& manifest, RecordsDone done) -> void;

} // namespace citronloft
