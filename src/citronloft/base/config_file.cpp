#include "citronloft/base/config_file.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <functional>
#include <set>

#include "citronloft/base/address.hpp"

namespace citronloft {

namespace {

constexpr auto maxRate = 1e9;
constexpr auto maxDuration = std::chrono::minutes { 10 };

using Faults = std::vector<Fault>;

auto readMilliseconds(YamlReader& reader, std::string_view field, std::chrono::milliseconds& value) -> void
{
    auto count = std::int64_t { value.count() };
    if (!reader.optional(field, count))
        return;
    if (count <= 0 || std::chrono::milliseconds { count } > maxDuration)
        reader.fault(field, "must be from 1 to 600000 ms");
    else
        value = std::chrono::milliseconds { count };
}

auto readAmount(YamlReader& reader, std::string_view field, double& value) -> void
{
    if (!reader.optional(field, value))
        return;
    if (!std::isfinite(value) || value < 0 || value > maxRate)
        reader.fault(field, "must be from 0 to 1e9");
}

auto readCount(YamlReader& reader, std::string_view field, std::uint32_t& value) -> void
{
    auto number = std::int64_t { value };
    if (!reader.optional(field, number))
        return;
    if (number < 1 || number > 1'000'000)
        reader.fault(field, "must be from 1 to 1000000");
    else
        value = static_cast<std::uint32_t>(number);
}

auto readPriority(YamlReader& reader, std::string_view field, std::uint32_t& value) -> void
{
    constexpr auto maxPriority = std::int64_t { 1000 };
    auto number = std::int64_t { value };
    if (!reader.optional(field, number))
        return;
    if (number < 0 || number > maxPriority)
        reader.fault(field, "must be from 0 to 1000");
    else
        value = static_cast<std::uint32_t>(number);
}

auto readTeam(YamlReader& reader) -> Team
{
    auto team = Team {};
    reader.required("name", team.name);
    readAmount(reader, "rate", team.rate);
    readAmount(reader, "burst", team.burst);
    readCount(reader, "weight", team.weight);
    readPriority(reader, "priority", team.priority);
    reader.strings("home_regions", team.homeRegions);
    auto keys = std::vector<std::string> {};
    reader.strings("keys", keys);
    for (const auto& key : keys) {
        if (const auto digest = digestFromHex(key))
            team.keys.push_back(*digest);
        else
            reader.fault("keys", "each item must be a SHA-256 digest of 64 lower-case hexadecimal digits");
    }
    if (team.rate != 0 && team.burst < 1)
        reader.fault("burst", "must be at least 1");
    return team;
}

/// Reads the optional map of pool names to weights.
auto readSplit(YamlReader& reader, Route& route) -> void
{
    const auto node = reader.child("split");
    if (!node.IsDefined() || node.IsNull())
        return;
    if (!node.IsMap()) {
        reader.fault("split", "must be a map of pools to weights");
        return;
    }
    for (const auto& entry : node) {
        const auto weight = entry.second.as<std::int64_t>(0);
        if (weight < 1 || weight > 1'000'000)
            reader.fault("split", "weights must be from 1 to 1000000");
        else
            route.split.push_back({ entry.first.as<std::string>(), static_cast<std::uint32_t>(weight) });
    }
}

auto readRoute(YamlReader& reader) -> Route
{
    auto route = Route {};
    reader.required("name", route.name);
    reader.optional("host", route.host);
    reader.required("prefix", route.prefix);
    reader.strings("methods", route.methods);
    reader.optional("pool", route.pool);
    readSplit(reader, route);
    if (route.pool.empty() == route.split.empty())
        reader.fault("pool", "exactly one of pool and split must be set");
    reader.optional("open", route.open);
    reader.optional("idempotent", route.idempotent);
    readMilliseconds(reader, "deadline_ms", route.deadline);
    auto age = std::chrono::milliseconds { 0 };
    readMilliseconds(reader, "max_config_age_ms", age);
    if (age.count() > 0)
        route.maxConfigAge = age;
    reader.strings("teams", route.teams);
    readMilliseconds(reader, "objective_ms", route.objective);
    readPriority(reader, "priority", route.priority);
    readCount(reader, "attempts", route.attempts);
    reader.optional("sticky", route.sticky);
    reader.strings("home_regions", route.homeRegions);
    if (!route.prefix.starts_with('/'))
        reader.fault("prefix", "must start with '/'");
    if (route.open && !route.teams.empty())
        reader.fault("teams", "must be empty for an open route");
    return route;
}

auto readTarget(YamlReader& reader) -> Target
{
    auto target = Target {};
    reader.required("address", target.address);
    reader.required("zone", target.zone);
    readCount(reader, "slots", target.slots);
    readCount(reader, "connections", target.connections);
    reader.optional("draining", target.draining);
    if (!target.address.empty() && !parseAddress(target.address).ok())
        reader.fault("address", "must be an IP address and a port, such as 10.2.0.1:8080");
    return target;
}

auto readZone(YamlReader& reader) -> Zone
{
    auto zone = Zone {};
    reader.required("name", zone.name);
    reader.required("region", zone.region);
    readCount(reader, "part", zone.part);
    reader.optional("draining", zone.draining);
    return zone;
}

auto readBlock(YamlReader& reader) -> ClientBlock
{
    auto block = ClientBlock {};
    reader.required("prefix", block.prefix);
    reader.required("zone", block.zone);
    if (!block.prefix.empty() && !parsePrefix(block.prefix).ok())
        reader.fault("prefix", "must be an IP prefix such as 10.2.0.0/16");
    return block;
}

auto readShift(YamlReader& reader) -> ShiftLimit
{
    auto shift = ShiftLimit {};
    reader.required("from", shift.from);
    reader.required("to", shift.to);
    readAmount(reader, "rate", shift.rate);
    readAmount(reader, "burst", shift.burst);
    readAmount(reader, "bytes_per_second", shift.bytesPerSecond);
    readAmount(reader, "percent_per_minute", shift.percentPerMinute);
    return shift;
}

template <typename Item>
auto readList(YamlReader& parent, const std::string& field, Faults& faults, Item (*readItem)(YamlReader&))
    -> std::vector<Item>
{
    auto items = std::vector<Item> {};
    const auto list = parent.child(field);
    if (!list.IsDefined() || list.IsNull())
        return items;
    if (!list.IsSequence()) {
        parent.fault(field, "must be a list");
        return items;
    }
    for (auto i = std::size_t { 0 }; i < list.size(); ++i) {
        auto reader = YamlReader(list[i], parent.pathOf(field) + "[" + std::to_string(i) + "]", faults);
        items.push_back(readItem(reader));
        reader.finish();
    }
    return items;
}

auto readPools(YamlReader& root, Faults& faults) -> std::vector<Pool>
{
    auto pools = std::vector<Pool> {};
    const auto list = root.child("pools");
    if (list.IsDefined() && !list.IsSequence())
        root.fault("pools", "must be a list");
    if (!list.IsDefined() || !list.IsSequence())
        return pools;
    for (auto i = std::size_t { 0 }; i < list.size(); ++i) {
        auto reader = YamlReader(list[i], "pools[" + std::to_string(i) + "]", faults);
        auto pool = Pool {};
        reader.required("name", pool.name);
        reader.optional("health_path", pool.healthPath);
        readCount(reader, "connections", pool.connections);
        readAmount(reader, "cold_rate", pool.coldRate);
        pool.targets = readList<Target>(reader, "targets", faults, readTarget);
        reader.finish();
        pools.push_back(std::move(pool));
    }
    return pools;
}

auto readBytes(YamlReader& reader, std::string_view field, std::uint32_t& value) -> void
{
    constexpr auto maxBytes = std::int64_t { 1 } << 30;
    auto number = std::int64_t { value };
    if (!reader.optional(field, number))
        return;
    if (number < 1 || number > maxBytes)
        reader.fault(field, "must be from 1 to 1073741824 bytes");
    else
        value = static_cast<std::uint32_t>(number);
}

auto readSettings(YamlReader& root, Faults& faults) -> FleetSettings
{
    auto settings = FleetSettings {};
    const auto node = root.child("settings");
    if (!node.IsDefined())
        return settings;
    auto reader = YamlReader(node, "settings", faults);
    readMilliseconds(reader, "lookup_ttl_ms", settings.lookupTtl);
    auto bodyBytes = static_cast<std::uint32_t>(settings.callers.bodyBytes);
    readBytes(reader, "greatest_header_bytes", settings.callers.headerBytes);
    readBytes(reader, "greatest_body_bytes", bodyBytes);
    settings.callers.bodyBytes = bodyBytes;
    readMilliseconds(reader, "header_timeout_ms", settings.callers.headerTimeout);
    readMilliseconds(reader, "idle_timeout_ms", settings.callers.idleTimeout);
    reader.finish();
    return settings;
}

auto isName(const std::string& text) -> bool
{
    constexpr auto punctuation = std::string_view { "._-:/[]" };
    constexpr auto maxLength = std::size_t { 128 };
    return !text.empty() && text.size() <= maxLength && std::ranges::all_of(text, [&](unsigned char c) {
        return std::isalnum(c) != 0 || punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

template <typename Items, typename Name>
auto checkUnique(const Items& items, Name name, const std::string& field, Faults& faults) -> std::set<std::string>
{
    auto names = std::set<std::string> {};
    for (const auto& item : items) {
        const auto& text = std::invoke(name, item);
        if (!isName(text))
            faults.push_back({ 0, field, "'" + text + "' must be a name of 1 to 128 letters, digits and '._-:/[]'" });
        if (!names.insert(text).second)
            faults.push_back({ 0, field, "'" + text + "' is defined more than once" });
    }
    return names;
}

auto checkKnown(const std::set<std::string>& names, const std::string& name, const std::string& field, Faults& faults)
    -> void
{
    if (!names.contains(name))
        faults.push_back({ 0, field, "'" + name + "' is not defined" });
}

auto checkKeys(const Config& config, Faults& faults) -> void
{
    auto keys = std::set<Digest> {};
    for (const auto& team : config.teams) {
        for (const auto& key : team.keys) {
            if (!keys.insert(key).second)
                faults.push_back({ 0, "teams", "team '" + team.name + "' has a key that is listed more than once" });
        }
    }
}

/// Sets the line of a fault that has none by searching the text for the value quoted in its reason: the last
/// occurrence of a duplicate, otherwise the first.
auto locate(const std::string& text, Fault& fault) -> void
{
    const auto begin = fault.reason.find('\'');
    const auto end = fault.reason.find('\'', begin + 1);
    if (fault.line > 0 || begin == std::string::npos || end == std::string::npos)
        return;
    const auto value = fault.reason.substr(begin + 1, end - begin - 1);
    const auto isDuplicate = fault.reason.ends_with("more than once");
    const auto position = isDuplicate ? text.rfind(value) : text.find(value);
    if (position == std::string::npos)
        return;
    const auto stop = text.begin() + static_cast<std::ptrdiff_t>(position);
    fault.line = 1 + static_cast<int>(std::count(text.begin(), stop, '\n'));
}

auto readDocument(const YAML::Node& document, Faults& faults) -> Config
{
    auto root = YamlReader(document, "", faults);
    auto config = Config {};
    config.settings = readSettings(root, faults);
    config.teams = readList<Team>(root, "teams", faults, readTeam);
    config.routes = readList<Route>(root, "routes", faults, readRoute);
    config.pools = readPools(root, faults);
    config.zones = readList<Zone>(root, "zones", faults, readZone);
    config.blocks = readList<ClientBlock>(root, "blocks", faults, readBlock);
    config.shifts = readList<ShiftLimit>(root, "shifts", faults, readShift);
    root.strings("draining_hosts", config.drainingHosts);
    for (const auto& host : config.drainingHosts) {
        if (!parseAddress(host).ok())
            root.fault("draining_hosts", "'" + host + "' is not an IP address and a port");
    }
    root.finish();
    return config;
}

} // namespace

auto readConfig(const std::string& text) -> ConfigParseResult
{
    auto reading = ConfigParseResult {};
    try {
        auto config = readDocument(YAML::Load(text), reading.faults);
        for (auto& fault : checkConfig(config)) {
            locate(text, fault);
            reading.faults.push_back(std::move(fault));
        }
        if (reading.faults.empty())
            reading.config = std::move(config);
    } catch (const YAML::Exception& error) {
        reading.faults.push_back({ error.mark.line + 1, "", error.msg });
    }
    std::ranges::stable_sort(reading.faults, {}, &Fault::line);
    return reading;
}

auto checkConfig(const Config& config) -> std::vector<Fault>
{
    auto faults = Faults {};
    const auto teams = checkUnique(config.teams, &Team::name, "teams", faults);
    const auto pools = checkUnique(config.pools, &Pool::name, "pools", faults);
    const auto zones = checkUnique(config.zones, &Zone::name, "zones", faults);
    checkUnique(config.routes, &Route::name, "routes", faults);
    checkUnique(config.blocks, &ClientBlock::prefix, "blocks", faults);
    auto regions = std::set<std::string> {};
    for (const auto& zone : config.zones)
        regions.insert(zone.region);
    for (const auto& route : config.routes) {
        if (route.split.empty())
            checkKnown(pools, route.pool, "routes." + route.name + ".pool", faults);
        for (const auto& entry : route.split)
            checkKnown(pools, entry.pool, "routes." + route.name + ".split", faults);
        for (const auto& team : route.teams)
            checkKnown(teams, team, "routes." + route.name + ".teams", faults);
    }
    for (const auto& pool : config.pools) {
        checkUnique(pool.targets, &Target::address, "pools." + pool.name + ".targets", faults);
        for (const auto& target : pool.targets)
            checkKnown(zones, target.zone, "pools." + pool.name + ".targets", faults);
    }
    for (const auto& block : config.blocks)
        checkKnown(zones, block.zone, "blocks", faults);
    for (const auto& shift : config.shifts) {
        checkKnown(regions, shift.from, "shifts", faults);
        checkKnown(regions, shift.to, "shifts", faults);
    }
    checkKeys(config, faults);
    return faults;
}

} // namespace citronloft
