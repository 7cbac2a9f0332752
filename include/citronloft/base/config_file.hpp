/// @file
/// @brief Parses, validates and writes the operators' configuration file.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "citronloft/base/config.hpp"
#include "citronloft/base/yaml_reader.hpp"

namespace citronloft {

/// @brief Result of parsing a configuration: either the configuration or all faults found.
struct ConfigParseResult {
    std::optional<Config> config;
    std::vector<Fault> faults;
};

/// @brief Parses and validates a complete configuration.
/// @param text the YAML document.
/// @return the configuration if the document has no faults; otherwise all faults, ordered by line.
auto readConfig(const std::string& text) -> ConfigParseResult;

/// @return the configuration as YAML that readConfig() accepts.
auto writeConfig(const Config& config) -> std::string;

/// @return a fault for each malformed or duplicate name and each undefined reference in `config`.
auto checkConfig(const Config& config) -> std::vector<Fault>;

} // namespace citronloft
