/// @file
/// @brief Strict reading of YAML maps: every fault is collected, with line and field.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace citronloft {

/// @brief One fault of a settings or configuration file.
struct Fault {
    /// 1-based line; 0 if the fault belongs to the whole file.
    int line = 0;
    std::string field;
    std::string reason;
};

/// @return "file:line: field: reason".
auto formatFault(std::string_view file, const Fault& fault) -> std::string;

/// @brief Reads the fields of one YAML map and records every fault.
///
/// A field that no read call named is unknown; finish() reports it with the nearest known name.
class YamlReader {
public:
    /// @param path name of the map in fault messages, for example "teams[2]".
    /// @param faults receives every fault; outlives the reader.
    YamlReader(YAML::Node map, std::string path, std::vector<Fault>& faults);

    /// @brief Reads a scalar; leaves `value` alone if the field is absent.
    template <typename T> auto optional(std::string_view field, T& value) -> bool;

    /// @brief Reads a scalar that must be present.
    template <typename T> auto required(std::string_view field, T& value) -> bool;

    /// @brief Reads a list of scalars; absent means empty.
    auto strings(std::string_view field, std::vector<std::string>& values) -> void;

    /// @return the field's node, which may be undefined.
    auto child(std::string_view field) -> YAML::Node;

    /// @return path of a field, for example "teams[2].rate".
    [[nodiscard]] auto pathOf(std::string_view field) const -> std::string;

    /// @brief Records a fault of `field`, at the line of the field or else of the map.
    auto fault(std::string_view field, std::string reason) -> void;

    /// @brief Reports every field that was not named by a read call.
    auto finish() -> void;

private:
    template <typename T> auto convert(std::string_view field, const YAML::Node& node, T& value) -> bool;

    YAML::Node map;
    std::string path;
    std::vector<Fault>* faults;
    std::vector<std::string> known;
};

template <typename T> auto YamlReader::optional(std::string_view field, T& value) -> bool
{
    const auto node = this->child(field);
    if (!node.IsDefined() || node.IsNull())
        return false;
    return this->convert(field, node, value);
}

template <typename T> auto YamlReader::required(std::string_view field, T& value) -> bool
{
    const auto node = this->child(field);
    if (!node.IsDefined() || node.IsNull()) {
        this->fault(field, "is missing");
        return false;
    }
    return this->convert(field, node, value);
}

template <typename T> auto YamlReader::convert(std::string_view field, const YAML::Node& node, T& value) -> bool
{
    try {
        value = node.as<T>();
        return true;
    } catch (const YAML::Exception&) {
        this->fault(field, "has the wrong type");
        return false;
    }
}

} // namespace citronloft
