#include "citronloft/base/config_records.hpp"

#include <algorithm>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/config_file.hpp"

namespace citronloft {

template <typename Archive> auto serialize(Archive& archive, Team& team) -> void
{
    archive(team.name, team.rate, team.burst, team.weight, team.keys);
}

template <typename Archive> auto serialize(Archive& archive, Route& route) -> void
{
    archive(route.name, route.prefix, route.methods, route.pool, route.open, route.idempotent, route.deadline,
        route.maxConfigAge, route.teams);
}

template <typename Archive> auto serialize(Archive& archive, Target& target) -> void
{
    archive(target.address, target.zone, target.slots, target.connections, target.draining);
}

template <typename Archive> auto serialize(Archive& archive, Zone& zone) -> void
{
    archive(zone.name, zone.region, zone.part, zone.draining);
}

template <typename Archive> auto serialize(Archive& archive, ClientBlock& block) -> void
{
    archive(block.prefix, block.zone);
}

template <typename Archive> auto serialize(Archive& archive, ShiftLimit& shift) -> void
{
    archive(shift.from, shift.to, shift.rate, shift.burst, shift.bytesPerSecond, shift.percentPerMinute);
}

template <typename Archive> auto serialize(Archive& archive, FleetSettings& settings) -> void
{
    archive(settings.lookupTtl);
}

namespace {

template <typename Item> auto decodeInto(const std::string& value, std::vector<Item>& items) -> absl::Status
{
    auto item = decode<Item>(value);
    if (!item.ok())
        return item.status();
    items.push_back(*std::move(item));
    return absl::OkStatus();
}

auto decodeTarget(const std::string& name, const std::string& value, Config& config) -> absl::Status
{
    const auto poolName = name.substr(0, name.find('/'));
    const auto pool = std::ranges::find(config.pools, poolName, &Pool::name);
    if (pool == config.pools.end())
        return absl::InvalidArgumentError("target of unknown pool '" + poolName + "'");
    return decodeInto(value, pool->targets);
}

auto decodeSettings(const std::string& value, Config& config) -> absl::Status
{
    const auto settings = decode<FleetSettings>(value);
    if (settings.ok())
        config.settings = *settings;
    return settings.status();
}

/// Decodes one record; "pool/NAME" sorts before the pool's own "pool/NAME/ADDRESS".
auto decodeRecord(const std::string& name, const std::string& value, Config& config) -> absl::Status
{
    const auto slash = name.find('/');
    const auto kind = name.substr(0, slash);
    const auto rest = slash == std::string::npos ? std::string {} : name.substr(slash + 1);
    if (kind == "block")
        return decodeInto(value, config.blocks);
    if (kind == "team")
        return decodeInto(value, config.teams);
    if (kind == "route")
        return decodeInto(value, config.routes);
    if (kind == "zone")
        return decodeInto(value, config.zones);
    if (kind == "shift")
        return decodeInto(value, config.shifts);
    if (kind == "settings")
        return decodeSettings(value, config);
    if (kind == "pool" && rest.find('/') != std::string::npos)
        return decodeTarget(rest, value, config);
    if (kind == "pool") {
        config.pools.push_back({ rest, {} });
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError("unknown record '" + name + "'");
}

} // namespace

auto toRecords(const Config& config) -> ConfigRecords
{
    auto records = ConfigRecords {};
    records["settings"] = encode(config.settings);
    for (const auto& team : config.teams)
        records["team/" + team.name] = encode(team);
    for (const auto& route : config.routes)
        records["route/" + route.name] = encode(route);
    for (const auto& pool : config.pools) {
        records["pool/" + pool.name] = "";
        for (const auto& target : pool.targets)
            records["pool/" + pool.name + "/" + target.address] = encode(target);
    }
    for (const auto& zone : config.zones)
        records["zone/" + zone.name] = encode(zone);
    for (const auto& block : config.blocks)
        records["block/" + block.prefix] = encode(block);
    for (const auto& shift : config.shifts)
        records["shift/" + shift.from + "/" + shift.to] = encode(shift);
    return records;
}

auto fromRecords(const ConfigRecords& records) -> absl::StatusOr<Config>
{
    auto config = Config {};
    for (const auto& [name, value] : records) {
        if (const auto status = decodeRecord(name, value, config); !status.ok())
            return status;
    }
    if (const auto faults = checkConfig(config); !faults.empty())
        return absl::InvalidArgumentError(formatFault("records", faults.front()));
    return config;
}

auto diffRecords(const ConfigRecords& from, const ConfigRecords& to) -> std::vector<RecordChange>
{
    auto changes = std::vector<RecordChange> {};
    for (const auto& [name, value] : to) {
        const auto old = from.find(name);
        if (old == from.end() || old->second != value)
            changes.push_back({ name, value });
    }
    for (const auto& [name, value] : from) {
        if (!to.contains(name))
            changes.push_back({ name, std::nullopt });
    }
    return changes;
}

auto applyChanges(ConfigRecords& records, const std::vector<RecordChange>& changes) -> void
{
    for (const auto& change : changes) {
        if (change.value)
            records[change.name] = *change.value;
        else
            records.erase(change.name);
    }
}

} // namespace citronloft
