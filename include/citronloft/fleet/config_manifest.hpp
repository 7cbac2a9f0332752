/// @file
/// @brief How a configuration stands in the store: one manifest and immutable chunks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/config_records.hpp"

namespace citronloft {

/// @brief Key of the manifest object.
inline constexpr auto manifestKey = "config/manifest";

/// @brief Largest delta that a manifest carries itself, in bytes.
inline constexpr auto greatestInlineDeltaBytes = std::size_t { 64 * 1024 };

/// @brief Largest value of a chunk object in bytes; the platform holds up to a megabyte.
inline constexpr auto greatestChunkBytes = std::size_t { 512 * 1024 };

/// @brief Change ids that a manifest remembers.
inline constexpr auto rememberedChanges = std::size_t { 64 };

/// @brief The accepted configuration; replaced by one conditional update.
struct ConfigManifest {
    /// Grows by one with every accepted change.
    std::uint64_t version = 0;
    /// Random ids of the latest changes, the newest last; a lost reply is settled by them even if others came after it.
    std::vector<std::string> changeIds;
    std::string operatorName;
    std::string summary;
    /// Digest of all records.
    std::string digest;
    /// Keys of the chunk objects, in order of the records.
    std::vector<std::string> chunks;
    /// Version that `delta` starts from; 0 if the manifest carries none.
    std::uint64_t deltaFrom = 0;
    std::vector<RecordChange> delta;

    template <typename Archive> auto serialize(Archive& archive) -> void
    {
        archive(this->version, this->changeIds, this->operatorName, this->summary, this->digest, this->chunks,
            this->deltaFrom, this->delta);
    }
};

/// @brief A chunk to store under its content-addressed key.
struct ConfigChunk {
    std::string key;
    std::string value;
};

/// @return the records cut into chunks at boundaries that depend on record names only, so that a change of one record
/// leaves the other chunks as they are.
auto makeChunks(const ConfigRecords& records) -> std::vector<ConfigChunk>;

/// @brief Adds a chunk's records to `records`.
auto readChunk(const std::string& value, ConfigRecords& records) -> absl::Status;

/// @return digest of all names and values.
auto digestOf(const ConfigRecords& records) -> std::string;

} // namespace citronloft
