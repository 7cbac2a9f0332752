/// @file
/// @brief A configuration as sorted records, the unit of differences, deltas and stored chunks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief Records by name, for example "team/counter"; the value is the encoded item.
using ConfigRecords = std::map<std::string, std::string>;

/// @brief One record of a delta; an absent value removes it.
struct RecordChange {
    std::string name;
    std::optional<std::string> value;

    template <typename Archive> auto serialize(Archive& archive) -> void { archive(this->name, this->value); }
};

/// @return the records of `config`.
auto toRecords(const Config& config) -> ConfigRecords;

/// @return the configuration, or InvalidArgument for a malformed or invalid record.
auto fromRecords(const ConfigRecords& records) -> absl::StatusOr<Config>;

/// @return the changes that turn `from` into `to`.
auto diffRecords(const ConfigRecords& from, const ConfigRecords& to) -> std::vector<RecordChange>;

/// @brief Applies a delta in place.
auto applyChanges(ConfigRecords& records, const std::vector<RecordChange>& changes) -> void;

} // namespace citronloft
