/// @file
/// @brief Stored form of a configuration: one manifest and immutable chunks.
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

/// @brief Maximum size of a delta within a manifest, in bytes.
inline constexpr auto maxInlineDeltaBytes = std::size_t { 64 * 1024 };

/// @brief Maximum size of a chunk object, in bytes; the platform's limit for an object is one megabyte.
inline constexpr auto maxChunkBytes = std::size_t { 512 * 1024 };

/// @brief Maximum number of change ids in a manifest.
inline constexpr auto maxChangeIds = std::size_t { 64 };

/// @brief Describes the accepted configuration; replaced by one conditional update.
struct ConfigManifest {
    /// Rises with every accepted change: by one or, for the first change after a restore of the store, by more.
    std::uint64_t version = 0;
    /// Random ids of the latest changes, the newest last. With them a publisher whose reply was lost finds out whether
    /// its change was accepted, even if other changes followed.
    std::vector<std::string> changeIds;
    std::string operatorName;
    std::string summary;
    /// Digest of all records' names and values.
    std::string digest;
    /// Keys of the chunk objects, in record order.
    std::vector<std::string> chunks;
    /// Version to which `delta` applies; 0 if the manifest contains no delta.
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

/// @return the records split into chunks. Apart from the size limit, boundaries depend on record names only, so that
/// changing one record leaves the other chunks unchanged.
auto makeChunks(const ConfigRecords& records) -> std::vector<ConfigChunk>;

/// @brief Decodes a chunk and adds its records to `records`.
auto readChunk(const std::string& value, ConfigRecords& records) -> absl::Status;

/// @return the digest of all record names and values.
auto computeRecordsDigest(const ConfigRecords& records) -> std::string;

} // namespace citronloft
