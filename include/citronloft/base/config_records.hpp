/// @file
/// @brief Represents a configuration as sorted records, of which deltas and stored chunks consist.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "citronloft/base/config.hpp"

namespace citronloft {

/// @brief Encoded items by record name, for example "team/counter".
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

/// @brief Applies changes in place to a configuration made by fromRecords(), without decoding unchanged records.
///
/// References between records are not validated again, since the publisher has validated the complete configuration.
auto applyToConfig(Config& config, const std::vector<RecordChange>& changes) -> absl::Status;

/// @brief Incrementally updated digest of a set of records: the sum of the records' SHA-256 digests, computed
/// separately for each 64-bit lane. It detects errors and mixed-up versions but does not authenticate: the platform
/// controls who may publish.
class RecordsDigest {
public:
    auto add(const std::string& name, const std::string& value) -> void;
    auto remove(const std::string& name, const std::string& value) -> void;

    /// @return 64 hexadecimal digits.
    [[nodiscard]] auto hex() const -> std::string;

private:
    std::array<std::uint64_t, 4> lanes {};
};

/// @return the changes that turn `from` into `to`.
auto diffRecords(const ConfigRecords& from, const ConfigRecords& to) -> std::vector<RecordChange>;

/// @brief Applies a delta to `records` in place.
auto applyChanges(ConfigRecords& records, const std::vector<RecordChange>& changes) -> void;

} // namespace citronloft
