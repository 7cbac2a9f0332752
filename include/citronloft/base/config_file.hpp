/// @file
/// @brief Reads and checks the operators' configuration file.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "citronloft/base/config.hpp"
#include "citronloft/base/yaml_reader.hpp"

namespace citronloft {

/// @brief A configuration, or every fault that was found.
struct ConfigReading {
    std::optional<Config> config;
    std::vector<Fault> faults;
};

/// @brief Parses and validates a whole configuration.
/// @param text the YAML document.
/// @return the configuration only if there is no fault.
auto readConfig(const std::string& text) -> ConfigReading;

/// @return the configuration as YAML that readConfig() accepts.
auto writeConfig(const Config& config) -> std::string;

/// @return every reference or limit of `config` that does not hold.
auto checkConfig(const Config& config) -> std::vector<Fault>;

} // namespace citronloft
