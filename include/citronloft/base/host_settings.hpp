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
    /// Port of the readiness check; 0: served on the status port only.
    std::uint16_t readyPort = 0;
    /// Dedicated port for look-ups; 0: look-ups are served on the service port.
    std::uint16_t lookupPort = 0;
    Address platform;
    /// "objects" for the interface of docs/PLATFORM.md, or "fleet" for the adapter in platform/.
    std::string adapter = "objects";
    /// Region of each zone, for adapters whose configuration does not define zones.
    std::map<std::string, std::string> regionOfZone;
    /// Time for which callers may cache the answer to a look-up, for adapters whose configuration does not define it.
    std::chrono::milliseconds lookupTtl { 3000 };
    /// Memory that the host may use, in megabytes; 0 does not bound the bodies of messages.
    double memoryMb = 0;
    /// File descriptors that the host may have open; 0: the limit of the process applies.
    std::uint32_t maxFds = 0;
    /// Maximum duration of a planned stop.
    std::chrono::milliseconds maxStopDuration { 60'000 };
    /// Limit on retries, summed over all hosts: a fraction of the first attempts, plus a number of further retries
    /// within the platform's window.
    double retryRatio = 0.1;
    double retrySlack = 20;
    /// Excess over a team's rate and burst that may be admitted in any window: a fraction of the limit, plus a number
    /// of requests.
    double rateOverage = 0;
    double rateSlack = 0;
    std::chrono::milliseconds rateWindow { 5000 };
    /// Maximum fraction of a region's requests that may be shifted to another region within two seconds.
    double maxShiftFraction = 0.15;
    /// Secret shared by all hosts of the fleet; at least 16 characters.
    std::string fleetSecret;
    std::vector<Address> seeds;
    /// File to which the log is appended; empty: standard output.
    std::string logPath;
    LogLevel logLevel = LogLevel::Info;
    /// Queue discipline: "fair" or "fifo".
    std::string queue = "fair";
    /// How objects are placed on discovered targets: "zone" or "fleet" (see Placement).
    std::string placement = "zone";
    /// Scope within which hosts lend each other tokens: "fleet", "zone" or "none".
    std::string lending = "fleet";

    auto operator==(const HostSettings&) const -> bool = default;
};

/// @brief Result of parsing host settings: either the settings or all faults found.
struct HostSettingsParseResult {
    std::optional<HostSettings> settings;
    std::vector<Fault> faults;
};

/// @brief Parses and validates a host's settings file.
auto readHostSettings(const std::string& text) -> HostSettingsParseResult;

} // namespace citronloft
