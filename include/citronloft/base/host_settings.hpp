/// @file
/// @brief Settings of one host: its addresses, zone, platform, seeds and log.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
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
    /// Port that answers whether the host is ready; 0: only the status port does.
    std::uint16_t readyPort = 0;
    /// Port of look-ups alone; 0: they come to the service port.
    std::uint16_t lookupPort = 0;
    Address platform;
    /// "objects" for the interface of docs/PLATFORM.md, or "fleet" for the adapter in platform/.
    std::string adapter = "objects";
    /// Region of each zone; needed by adapters whose configuration names no zones.
    std::map<std::string, std::string> regionOfZone;
    /// How long callers may cache a look-up's answer, for such adapters.
    std::chrono::milliseconds lookupTtl { 3000 };
    /// A planned stop has ended by then.
    std::chrono::milliseconds stopTime { 60'000 };
    /// Retries of all hosts together: part of the first attempts, and those beyond it within the window of the
    /// platform.
    double retryRatio = 0.1;
    double retrySlack = 20;
    /// What may be admitted beyond a team's rate and burst in any window: a part of it, and a number of requests.
    double rateOverage = 0;
    double rateSlack = 0;
    std::chrono::milliseconds rateWindow { 5000 };
    /// Part of a region's requests that may move to another region within two seconds.
    double shiftPart = 0.15;
    /// Shared by all hosts of the fleet, at least 16 characters.
    std::string fleetSecret;
    std::vector<Address> seeds;
    std::string logPath;
    LogLevel logLevel = LogLevel::Info;
    /// "fair" or "fifo".
    std::string queue = "fair";
    /// "fleet", "zone" or "none".
    std::string lending = "fleet";

    auto operator==(const HostSettings&) const -> bool = default;
};

/// @brief Settings, or every fault that was found.
struct HostSettingsReading {
    std::optional<HostSettings> settings;
    std::vector<Fault> faults;
};

/// @brief Parses and validates a host's settings file.
auto readHostSettings(const std::string& text) -> HostSettingsReading;

} // namespace citronloft
