/// @file
/// @brief Settings of one host: its addresses, zone, platform, seeds and log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronloft/base/address.hpp"
#include "citronloft/base/log.hpp"
#include "citronloft/base/yaml_reader.hpp"

namespace citronloft {

/// @brief Settings file of a host.
struct HostSettings {
    std::string ip;
    std::string zone;
    std::uint16_t servicePort = 8080;
    std::uint16_t peerPort = 8070;
    std::uint16_t statusPort = 8090;
    Address platform;
    /// Shared by all hosts of the fleet, at least 16 characters.
    std::string fleetSecret;
    std::vector<Address> seeds;
    std::string logPath;
    LogLevel logLevel = LogLevel::Info;
    /// "fair" or "fifo".
    std::string queue = "fair";
    /// "fleet", "zone" or "none".
    std::string lending = "fleet";
};

/// @brief Settings, or every fault that was found.
struct HostSettingsReading {
    std::optional<HostSettings> settings;
    std::vector<Fault> faults;
};

/// @brief Parses and validates a host's settings file.
auto readHostSettings(const std::string& text) -> HostSettingsReading;

} // namespace citronloft
