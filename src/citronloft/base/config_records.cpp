#include "citronloft/base/config_records.hpp"

#include <algorithm>

#include "citronloft/base/codec.hpp"
#include "citronloft/base/config_file.hpp"

namespace citronloft {

template <typename Archive> auto serialize(Archive& archive, Team& team) -> void
{
    archive(team.name, team.rate, team.burst, team.weight, team.priority, team.keys, team.homeRegions);
}

template <typename Archive> auto serialize(Archive& archive, PoolWeight& poolWeight) -> void
{
    archive(poolWeight.pool, poolWeight.weight);
}

template <typename Archive> auto serialize(Archive& archive, Route& route) -> void
{
    archive(route.name, route.host, route.prefix, route.methods, route.pool, route.split, route.open, route.idempotent,
        route.deadline, route.maxConfigAge, route.teams, route.objective, route.priority, route.attempts, route.sticky,
        route.homeRegions);
}

/// Record of a pool without its targets, each of which has a separate record.
struct PoolRecord {
    std::string name;
    std::string healthPath;
    std::uint32_t connections = 1;
    double coldRate = 0;
};

template <typename Archive> auto serialize(Archive& archive, PoolRecord& pool) -> void
{
    archive(pool.name, pool.healthPath, pool.connections, pool.coldRate);
}

template <typename Archive> auto serialize(Archive& archive, CallerLimits& limits) -> void
{
    archive(limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout);
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
    archive(settings.lookupTtl, settings.callers);
}

namespace {

/// A record name split at its first two slashes, for example kind "pool", first "ledger", rest "10.0.0.1:9000".
struct RecordName {
    std::string kind;
    /// Everything after the kind.
    std::string afterKind;
    std::string first;
    std::string rest;
};

auto splitName(const std::string& name) -> RecordName
{
    auto split = RecordName {};
    const auto slash = std::min(name.find('/'), name.size());
    split.kind = name.substr(0, slash);
    split.afterKind = slash == name.size() ? std::string {} : name.substr(slash + 1);
    const auto second = std::min(split.afterKind.find('/'), split.afterKind.size());
    split.first = split.afterKind.substr(0, second);
    split.rest = second == split.afterKind.size() ? std::string {} : split.afterKind.substr(second + 1);
    return split;
}

auto nameOf(const Team& team) -> const std::string& { return team.name; }
auto nameOf(const Route& route) -> const std::string& { return route.name; }
auto nameOf(const Zone& zone) -> const std::string& { return zone.name; }
auto nameOf(const Target& target) -> const std::string& { return target.address; }
auto nameOf(const ShiftLimit& shift) -> std::string { return shift.from + "/" + shift.to; }

/// Replaces, adds or removes the item called `name`; searches linearly, since these lists are short.
template <typename Item>
auto setItem(std::vector<Item>& items, const std::string& name, const std::optional<std::string>& value) -> absl::Status
{
    const auto found = std::ranges::find_if(items, [&](const Item& item) { return nameOf(item) == name; });
    if (!value) {
        if (found != items.end())
            items.erase(found);
        return absl::OkStatus();
    }
    auto item = decode<Item>(*value);
    if (!item.ok())
        return item.status();
    if (nameOf(*item) != name)
        return absl::InvalidArgumentError("record '" + name + "' contains an item with a different name");
    if (found == items.end())
        items.push_back(*std::move(item));
    else
        *found = *std::move(item);
    return absl::OkStatus();
}

auto setPool(Config& config, const RecordName& name, const std::optional<std::string>& value) -> absl::Status
{
    const auto pool = std::ranges::find(config.pools, name.first, &Pool::name);
    if (!name.rest.empty()) {
        if (pool != config.pools.end())
            return setItem(pool->targets, name.rest, value);
        return value ? absl::InvalidArgumentError("target record refers to unknown pool '" + name.first + "'")
                     : absl::OkStatus();
    }
    if (!value) {
        if (pool != config.pools.end())
            config.pools.erase(pool);
        return absl::OkStatus();
    }
    const auto record = decode<PoolRecord>(*value);
    if (!record.ok())
        return record.status();
    auto& item = pool == config.pools.end() ? config.pools.emplace_back() : *pool;
    item.name = name.first;
    item.healthPath = record->healthPath;
    item.connections = record->connections;
    item.coldRate = record->coldRate;
    return absl::OkStatus();
}

auto setSettings(Config& config, const std::optional<std::string>& value) -> absl::Status
{
    if (!value)
        return absl::OkStatus();
    const auto settings = decode<FleetSettings>(*value);
    if (settings.ok())
        config.settings = *settings;
    return settings.status();
}

/// Applies all block changes to a single copy of the list, since it is long. Blocks are sorted by the text of their
/// prefixes, like the records.
auto setBlocks(Config& config, const std::vector<const RecordChange*>& changes) -> absl::Status
{
    auto status = absl::OkStatus();
    config.blocks.mutate([&](std::vector<ClientBlock>& blocks) {
        for (const auto* change : changes) {
            const auto prefix = splitName(change->name).afterKind;
            const auto place = std::ranges::lower_bound(blocks, prefix, {}, &ClientBlock::prefix);
            const auto isKnown = place != blocks.end() && place->prefix == prefix;
            if (!change->value) {
                if (isKnown)
                    blocks.erase(place);
                continue;
            }
            auto block = decode<ClientBlock>(*change->value);
            if (!block.ok() || block->prefix != prefix)
                status = absl::InvalidArgumentError("malformed record of block '" + prefix + "'");
            else if (isKnown)
                *place = *std::move(block);
            else
                blocks.insert(place, *std::move(block));
        }
    });
    return status;
}

auto setRecord(Config& config, const RecordName& name, const std::optional<std::string>& value) -> absl::Status
{
    if (name.kind == "team")
        return setItem(config.teams, name.afterKind, value);
    if (name.kind == "route")
        return setItem(config.routes, name.afterKind, value);
    if (name.kind == "zone")
        return setItem(config.zones, name.afterKind, value);
    if (name.kind == "shift")
        return setItem(config.shifts, name.afterKind, value);
    if (name.kind == "pool")
        return setPool(config, name, value);
    if (name.kind == "settings")
        return setSettings(config, value);
    if (name.kind == "draining-host") {
        std::erase(config.drainingHosts, name.afterKind);
        if (value)
            config.drainingHosts.push_back(name.afterKind);
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError("unknown record kind '" + name.kind + "'");
}

/// Returns the digest of one record as four 64-bit lanes.
auto computeLanes(const std::string& name, const std::string& value) -> std::array<std::uint64_t, 4>
{
    const auto digest = sha256(std::to_string(name.size()) + ":" + name + value);
    auto lanes = std::array<std::uint64_t, 4> {};
    for (auto i = std::size_t { 0 }; i < digest.size(); ++i)
        lanes[i / 8] = (lanes[i / 8] << 8U) | digest[i];
    return lanes;
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
        records["pool/" + pool.name]
            = encode(PoolRecord { pool.name, pool.healthPath, pool.connections, pool.coldRate });
        for (const auto& target : pool.targets)
            records["pool/" + pool.name + "/" + target.address] = encode(target);
    }
    for (const auto& zone : config.zones)
        records["zone/" + zone.name] = encode(zone);
    for (const auto& block : config.blocks)
        records["block/" + block.prefix] = encode(block);
    for (const auto& shift : config.shifts)
        records["shift/" + shift.from + "/" + shift.to] = encode(shift);
    for (const auto& host : config.drainingHosts)
        records["draining-host/" + host] = "";
    return records;
}

auto fromRecords(const ConfigRecords& records) -> absl::StatusOr<Config>
{
    auto config = Config {};
    if (const auto status = applyToConfig(config, diffRecords({}, records)); !status.ok())
        return status;
    if (const auto faults = checkConfig(config); !faults.empty())
        return absl::InvalidArgumentError(formatFault("records", faults.front()));
    return config;
}

auto applyToConfig(Config& config, const std::vector<RecordChange>& changes) -> absl::Status
{
    auto blocks = std::vector<const RecordChange*> {};
    for (const auto& change : changes) {
        const auto name = splitName(change.name);
        if (name.kind == "block") {
            blocks.push_back(&change);
            continue;
        }
        if (const auto status = setRecord(config, name, change.value); !status.ok())
            return status;
    }
    return blocks.empty() ? absl::OkStatus() : setBlocks(config, blocks);
}

auto RecordsDigest::add(const std::string& name, const std::string& value) -> void
{
    const auto added = computeLanes(name, value);
    for (auto i = std::size_t { 0 }; i < added.size(); ++i)
        this->lanes[i] += added[i];
}

auto RecordsDigest::remove(const std::string& name, const std::string& value) -> void
{
    const auto removed = computeLanes(name, value);
    for (auto i = std::size_t { 0 }; i < removed.size(); ++i)
        this->lanes[i] -= removed[i];
}

auto RecordsDigest::hex() const -> std::string
{
    auto digest = Digest {};
    for (auto i = std::size_t { 0 }; i < digest.size(); ++i)
        digest[i] = static_cast<std::uint8_t>(this->lanes[i / 8] >> (56 - 8 * (i % 8)));
    return toHex(digest);
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
