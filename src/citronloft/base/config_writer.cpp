#include <yaml-cpp/yaml.h>

#include "citronloft/base/config_file.hpp"

namespace citronloft {

namespace {

auto emitPools(YAML::Emitter& out, const Config& config) -> void
{
    out << YAML::Key << "pools" << YAML::Value << YAML::BeginSeq;
    for (const auto& pool : config.pools) {
        out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << pool.name;
        out << YAML::Key << "health_path" << YAML::Value << pool.healthPath;
        out << YAML::Key << "connections" << YAML::Value << pool.connections;
        out << YAML::Key << "cold_rate" << YAML::Value << pool.coldRate;
        out << YAML::Key << "targets" << YAML::Value << YAML::BeginSeq;
        for (const auto& target : pool.targets) {
            out << YAML::Flow << YAML::BeginMap;
            out << YAML::Key << "address" << YAML::Value << target.address;
            out << YAML::Key << "zone" << YAML::Value << target.zone;
            out << YAML::Key << "slots" << YAML::Value << target.slots;
            out << YAML::Key << "connections" << YAML::Value << target.connections;
            out << YAML::Key << "draining" << YAML::Value << target.draining << YAML::EndMap;
        }
        out << YAML::EndSeq << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

auto emitTeams(YAML::Emitter& out, const Config& config) -> void
{
    out << YAML::Key << "teams" << YAML::Value << YAML::BeginSeq;
    for (const auto& team : config.teams) {
        out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << team.name;
        out << YAML::Key << "rate" << YAML::Value << team.rate;
        out << YAML::Key << "burst" << YAML::Value << team.burst;
        out << YAML::Key << "weight" << YAML::Value << team.weight;
        out << YAML::Key << "priority" << YAML::Value << team.priority;
        out << YAML::Key << "home_regions" << YAML::Value << YAML::Flow << team.homeRegions;
        out << YAML::Key << "keys" << YAML::Value << YAML::BeginSeq;
        for (const auto& key : team.keys)
            out << toHex(key);
        out << YAML::EndSeq << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

auto emitRoutes(YAML::Emitter& out, const Config& config) -> void
{
    out << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
    for (const auto& route : config.routes) {
        out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << route.name;
        if (!route.host.empty())
            out << YAML::Key << "host" << YAML::Value << route.host;
        out << YAML::Key << "prefix" << YAML::Value << route.prefix;
        out << YAML::Key << "methods" << YAML::Value << YAML::Flow << route.methods;
        if (route.split.empty()) {
            out << YAML::Key << "pool" << YAML::Value << route.pool;
        } else {
            out << YAML::Key << "split" << YAML::Value << YAML::Flow << YAML::BeginMap;
            for (const auto& entry : route.split)
                out << YAML::Key << entry.pool << YAML::Value << entry.weight;
            out << YAML::EndMap;
        }
        out << YAML::Key << "open" << YAML::Value << route.open;
        out << YAML::Key << "idempotent" << YAML::Value << route.idempotent;
        out << YAML::Key << "deadline_ms" << YAML::Value << route.deadline.count();
        if (route.maxConfigAge)
            out << YAML::Key << "max_config_age_ms" << YAML::Value << route.maxConfigAge->count();
        if (route.objective.count() > 0)
            out << YAML::Key << "objective_ms" << YAML::Value << route.objective.count();
        out << YAML::Key << "priority" << YAML::Value << route.priority;
        out << YAML::Key << "attempts" << YAML::Value << route.attempts;
        out << YAML::Key << "sticky" << YAML::Value << route.sticky;
        out << YAML::Key << "home_regions" << YAML::Value << YAML::Flow << route.homeRegions;
        out << YAML::Key << "teams" << YAML::Value << YAML::Flow << route.teams << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

auto emitZonesBlocksAndShifts(YAML::Emitter& out, const Config& config) -> void
{
    out << YAML::Key << "zones" << YAML::Value << YAML::BeginSeq;
    for (const auto& zone : config.zones) {
        out << YAML::Flow << YAML::BeginMap << YAML::Key << "name" << YAML::Value << zone.name;
        out << YAML::Key << "region" << YAML::Value << zone.region;
        out << YAML::Key << "part" << YAML::Value << zone.part;
        out << YAML::Key << "draining" << YAML::Value << zone.draining << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::Key << "blocks" << YAML::Value << YAML::BeginSeq;
    for (const auto& block : config.blocks) {
        out << YAML::Flow << YAML::BeginMap << YAML::Key << "prefix" << YAML::Value << block.prefix;
        out << YAML::Key << "zone" << YAML::Value << block.zone << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::Key << "shifts" << YAML::Value << YAML::BeginSeq;
    for (const auto& shift : config.shifts) {
        out << YAML::Flow << YAML::BeginMap << YAML::Key << "from" << YAML::Value << shift.from;
        out << YAML::Key << "to" << YAML::Value << shift.to << YAML::Key << "rate" << YAML::Value << shift.rate;
        out << YAML::Key << "burst" << YAML::Value << shift.burst;
        out << YAML::Key << "bytes_per_second" << YAML::Value << shift.bytesPerSecond;
        out << YAML::Key << "percent_per_minute" << YAML::Value << shift.percentPerMinute << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

} // namespace

auto writeConfig(const Config& config) -> std::string
{
    auto out = YAML::Emitter {};
    out << YAML::BeginMap << YAML::Key << "settings" << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "lookup_ttl_ms" << YAML::Value << config.settings.lookupTtl.count();
    const auto& callers = config.settings.callers;
    out << YAML::Key << "greatest_header_bytes" << YAML::Value << callers.headerBytes;
    out << YAML::Key << "greatest_body_bytes" << YAML::Value << callers.bodyBytes;
    out << YAML::Key << "header_timeout_ms" << YAML::Value << callers.headerTimeout.count();
    out << YAML::Key << "idle_timeout_ms" << YAML::Value << callers.idleTimeout.count() << YAML::EndMap;
    emitTeams(out, config);
    emitRoutes(out, config);
    emitPools(out, config);
    emitZonesBlocksAndShifts(out, config);
    out << YAML::Key << "draining_hosts" << YAML::Value << YAML::BeginSeq;
    for (const auto& host : config.drainingHosts)
        out << host;
    out << YAML::EndSeq;
    out << YAML::EndMap;
    return std::string { out.c_str() } + "\n";
}

} // namespace citronloft
