#include "citronloft/base/host_settings.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace citronloft {

namespace {

constexpr auto minSecretLength = std::size_t { 16 };
/// Below this, the host's own sockets, log and connections to targets leave nothing for callers.
constexpr auto minFds = std::int64_t { 32 };

auto readAddress(YamlReader& reader, std::string_view field, Address& address) -> void
{
    auto text = std::string {};
    if (!reader.required(field, text))
        return;
    if (const auto parsed = parseAddress(text); parsed.ok())
        address = *parsed;
    else
        reader.fault(field, "must be an IP address and a port, such as 10.2.0.1:8080");
}

auto readPort(YamlReader& reader, std::string_view field, std::uint16_t& port) -> void
{
    auto number = std::int64_t { port };
    if (!reader.optional(field, number))
        return;
    if (number < 0 || number > 65535)
        reader.fault(field, "must be from 0 to 65535");
    else
        port = static_cast<std::uint16_t>(number);
}

auto readSeeds(YamlReader& reader, std::vector<Address>& seeds) -> void
{
    auto texts = std::vector<std::string> {};
    reader.strings("seeds", texts);
    for (const auto& text : texts) {
        if (const auto parsed = parseAddress(text); parsed.ok())
            seeds.push_back(*parsed);
        else
            reader.fault("seeds", "'" + text + "' is not an IP address and a port");
    }
}

/// Reads seeds given by any of their addresses; their port is replaced by the fleet's peer port.
auto readSeedHosts(YamlReader& reader, std::uint16_t peerPort, std::vector<Address>& seeds) -> void
{
    auto texts = std::vector<std::string> {};
    reader.strings("seed_hosts", texts);
    for (const auto& text : texts) {
        if (const auto parsed = parseAddress(text); parsed.ok())
            seeds.push_back({ parsed->ip, peerPort });
        else
            reader.fault("seed_hosts", "'" + text + "' is not an IP address and a port");
    }
}

/// Reads the port of one of this host's own addresses; its IP address is ignored in favor of the setting `ip`.
auto readOwnAddress(YamlReader& reader, std::string_view field, std::uint16_t& port) -> void
{
    auto text = std::string {};
    if (!reader.optional(field, text) || text.empty())
        return;
    if (const auto parsed = parseAddress(text); parsed.ok())
        port = parsed->port;
    else
        reader.fault(field, "must be an IP address and a port, such as 10.2.0.1:8080");
}

auto readSeconds(YamlReader& reader, std::string_view field, std::chrono::milliseconds& value) -> void
{
    constexpr auto max = 3600.0;
    auto seconds = std::chrono::duration<double>(value).count();
    if (!reader.optional(field, seconds))
        return;
    if (seconds <= 0 || seconds > max)
        reader.fault(field, "must be greater than 0 and at most 3600 s");
    else
        value = std::chrono::milliseconds { std::llround(seconds * 1000) };
}

auto readNonNegative(YamlReader& reader, std::string_view field, double& value, double max) -> void
{
    if (reader.optional(field, value) && !(value >= 0 && value <= max))
        reader.fault(field, "must be from 0 to " + std::to_string(max));
}

auto readMaxFds(YamlReader& reader, std::uint32_t& maxFds) -> void
{
    constexpr auto max = std::int64_t { 10'000'000 };
    auto number = std::int64_t { maxFds };
    if (!reader.optional("max_fds", number))
        return;
    if (number != 0 && (number < minFds || number > max))
        reader.fault("max_fds", "must be 0, or from " + std::to_string(minFds) + " to 10000000");
    else
        maxFds = static_cast<std::uint32_t>(number);
}

auto readZones(YamlReader& reader, std::map<std::string, std::string>& regionOfZone) -> void
{
    const auto node = reader.child("zones");
    if (!node.IsDefined() || node.IsNull())
        return;
    if (!node.IsMap()) {
        reader.fault("zones", "must be a map of zones to regions");
        return;
    }
    for (const auto& item : node) {
        if (item.second.IsScalar())
            regionOfZone[item.first.as<std::string>()] = item.second.as<std::string>();
        else
            reader.fault("zones", "the region of '" + item.first.as<std::string>() + "' must be a string");
    }
}

template <std::size_t Size>
auto readChoice(YamlReader& reader, std::string_view field, std::string& value,
    const std::array<std::string_view, Size>& choices) -> std::size_t
{
    reader.optional(field, value);
    const auto found = std::ranges::find(choices, value);
    if (found == choices.end())
        reader.fault(
            field, "'" + value + "' is not an allowed value; use for example '" + std::string { choices[0] } + "'");
    return static_cast<std::size_t>(found - choices.begin());
}

auto readLog(YamlReader& root, HostSettings& settings, std::vector<Fault>& faults) -> void
{
    const auto node = root.child("log");
    if (!node.IsDefined())
        return;
    auto reader = YamlReader(node, "log", faults);
    auto level = std::string { "info" };
    reader.optional("path", settings.logPath);
    constexpr auto levels = std::to_array<std::string_view>({ "debug", "info", "warning", "error" });
    settings.logLevel = static_cast<LogLevel>(readChoice(reader, "level", level, levels));
    reader.finish();
}

auto readFields(YamlReader& reader, HostSettings& settings) -> void
{
    reader.required("ip", settings.ip);
    reader.required("zone", settings.zone);
    readPort(reader, "service_port", settings.servicePort);
    readPort(reader, "peer_port", settings.peerPort);
    readPort(reader, "status_port", settings.statusPort);
    readOwnAddress(reader, "service_address", settings.servicePort);
    readOwnAddress(reader, "ready_address", settings.readyPort);
    readOwnAddress(reader, "lookup_address", settings.lookupPort);
    readAddress(reader, "platform", settings.platform);
    readChoice(reader, "adapter", settings.adapter, std::to_array<std::string_view>({ "objects", "fleet" }));
    readZones(reader, settings.regionOfZone);
    readSeconds(reader, "lookup_ttl_s", settings.lookupTtl);
    readSeconds(reader, "stop_time_s", settings.maxStopDuration);
    readNonNegative(reader, "memory_mb", settings.memoryMb, 1e6);
    readMaxFds(reader, settings.maxFds);
    readNonNegative(reader, "retry_ratio", settings.retryRatio, 10);
    readNonNegative(reader, "retry_slack", settings.retrySlack, 1e6);
    readNonNegative(reader, "rate_overage", settings.rateOverage, 10);
    readNonNegative(reader, "rate_slack", settings.rateSlack, 1e6);
    readSeconds(reader, "rate_window_s", settings.rateWindow);
    readNonNegative(reader, "shift_part", settings.maxShiftFraction, 1);
    reader.required("fleet_secret", settings.fleetSecret);
    readSeeds(reader, settings.seeds);
    readSeedHosts(reader, settings.peerPort, settings.seeds);
    readChoice(reader, "queue", settings.queue, std::to_array<std::string_view>({ "fair", "fifo" }));
    readChoice(reader, "lending", settings.lending, std::to_array<std::string_view>({ "fleet", "zone", "none" }));
    readChoice(reader, "placement", settings.placement, std::to_array<std::string_view>({ "zone", "fleet" }));
    if (!settings.ip.empty() && !parseIp(settings.ip).ok())
        reader.fault("ip", "must be an IP address");
    if (settings.adapter == "fleet" && !settings.regionOfZone.contains(settings.zone))
        reader.fault("zones", "must name the region of this host's zone");
    if (settings.fleetSecret.size() < minSecretLength)
        reader.fault("fleet_secret", "must have at least 16 characters");
}

} // namespace

auto readHostSettings(const std::string& text) -> HostSettingsParseResult
{
    auto reading = HostSettingsParseResult {};
    auto settings = HostSettings {};
    try {
        auto reader = YamlReader(YAML::Load(text), "", reading.faults);
        readFields(reader, settings);
        readLog(reader, settings, reading.faults);
        reader.finish();
    } catch (const YAML::Exception& error) {
        reading.faults.push_back({ error.mark.line + 1, "", error.msg });
    }
    std::ranges::stable_sort(reading.faults, {}, &Fault::line);
    if (reading.faults.empty())
        reading.settings = std::move(settings);
    return reading;
}

} // namespace citronloft
