/// @file
/// @brief A configuration as sorted records, the unit of differences, deltas and stored chunks.
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

/// @brief Applies changes to a configuration that fromRecords() made, without decoding the rest.
///
/// References between records are not checked again; whoever published the changes has checked the whole.
auto applyToConfig(Config& config, const std::vector<RecordChange>& changes) -> absl::Status;

/// @brief Digest over a set of records that follows single changes: the sum of the records' SHA-256 digests, lane by
/// lane of 64 bits. It guards against mistakes and mixed-up versions; who may publish is the platform's matter.
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

/// @brief Applies a delta in place.
auto applyChanges(ConfigRecords& records, const std::vector<RecordChange>& changes) -> void;

} // namespace citronloft
