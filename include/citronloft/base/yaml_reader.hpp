/// @file
/// @brief Strict reader for YAML maps that collects all faults with their line and field.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace citronloft {

/// @brief One fault of a settings or configuration file.
struct Fault {
    /// 1-based line; 0 if the fault has no single location.
    int line = 0;
    /// Path of the field, for example "teams[2].rate".
    std::string field;
    std::string reason;
};

/// @return "file:line: field: reason".
auto formatFault(std::string_view file, const Fault& fault) -> std::string;

/// @brief Reads the fields of one YAML map and records all faults.
///
/// Fields that were not requested by any read call are unknown; finish() reports each with the most similar known name.
class YamlReader {
public:
    /// @param path name of the map in fault messages, for example "teams[2]".
    /// @param faults receives all faults; must outlive the reader.
    YamlReader(YAML::Node map, std::string path, std::vector<Fault>& faults);

    /// @brief Reads a scalar; leaves `value` unchanged if the field is absent.
    template <typename T> auto optional(std::string_view field, T& value) -> bool;

    /// @brief Reads a scalar; an absent field is a fault.
    template <typename T> auto required(std::string_view field, T& value) -> bool;

    /// @brief Appends the items of a list of scalars to `values`; an absent field is an empty list.
    auto strings(std::string_view field, std::vector<std::string>& values) -> void;

    /// @return the node of the field; undefined if the field is absent. Marks the field as known.
    auto child(std::string_view field) -> YAML::Node;

    /// @return path of a field, for example "teams[2].rate".
    [[nodiscard]] auto pathOf(std::string_view field) const -> std::string;

    /// @brief Records a fault of `field` at the line of the field, or of the map if the field is absent.
    auto fault(std::string_view field, std::string reason) -> void;

    /// @brief Records a fault for each field that was not requested by any read call.
    auto finish() -> void;

private:
    template <typename T> auto convert(std::string_view field, const YAML::Node& node, T& value) -> bool;

    YAML::Node map;
    std::string path;
    std::vector<Fault>* faults;
    std::vector<std::string> knownFields;
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
