#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "citronloft/base/config_edit.hpp"
#include "citronloft/base/config_file.hpp"
#include "citronloft/base/config_records.hpp"
#include "citronloft/base/host_settings.hpp"
#include "citronloft/base/result_code.hpp"

namespace citronloft {
namespace {

auto readSource(const std::string& path) -> std::string
{
    auto file = std::ifstream(std::string { CITRONLOFT_SOURCE_DIR } + "/" + path);
    auto text = std::ostringstream {};
    text << file.rdbuf();
    return text.str();
}

constexpr auto smallConfig = R"(# comment
teams:
  - name: a      # the first
    rate: 5
    burst: 2
    keys: []
  - name: b
    rate: 5
    burst: 2
routes:
  - { name: r, prefix: /r, pool: p }
pools:
  - name: p
    targets:
      - { address: "10.0.0.1:80", zone: z }
      - address: "10.0.0.2:80"
        zone: z
zones:
  - { name: z, region: one }
)";

TEST(ConfigFile, RoundTripPreservesAllFields)
{
    const auto reading = readConfig(R"(
settings: { lookup_ttl_ms: 2000, greatest_header_bytes: 9000, greatest_body_bytes: 70000, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
teams:
  - { name: a, rate: 10, burst: 10, priority: 2, home_regions: [north] }
  - { name: free, rate: 0 }
zones:
  - { name: n1, region: north }
pools:
  - { name: p, health_path: /health, connections: 50, cold_rate: 16 }
  - { name: q }
routes:
  - { name: r, host: x.example, prefix: /r/, split: { p: 90, q: 10 }, objective_ms: 250, priority: 1, attempts: 2, sticky: true, home_regions: [north] }
)");
    ASSERT_TRUE(reading.config) << formatFault("f", reading.faults.at(0));
    EXPECT_EQ(reading.config->routes.at(0).split.size(), 2U);
    EXPECT_EQ(reading.config->settings.callers.bodyBytes, 70000U);
    EXPECT_EQ(readConfig(writeConfig(*reading.config)).config, reading.config);
    EXPECT_EQ(*fromRecords(toRecords(*reading.config)), *reading.config);
}

TEST(ConfigFile, RouteRequiresEitherPoolOrSplit)
{
    const auto pools = std::string { "pools: [{ name: p }]\nroutes:\n  - { name: r, prefix: /, " };
    EXPECT_TRUE(readConfig(pools + "pool: p }\n").config);
    EXPECT_FALSE(readConfig(pools + "pool: p, split: { p: 1 } }\n").config);
    EXPECT_FALSE(readConfig(pools + "priority: 1 }\n").config);
    EXPECT_FALSE(readConfig(pools + "split: { p: 0 } }\n").config);
    EXPECT_FALSE(readConfig(pools + "split: { z: 1 } }\n").config);
}

TEST(ConfigFile, ExamplesAreValidAndRoundTrip)
{
    for (const auto* path : { "examples/waitaha.yaml", "examples/fascia.yaml" }) {
        const auto reading = readConfig(readSource(path));
        ASSERT_TRUE(reading.config) << path << ": " << formatFault(path, reading.faults.at(0));
        EXPECT_EQ(reading.config->zones.size(), 6U);
        EXPECT_EQ(reading.config->teams.size(), 8U);
        EXPECT_EQ(readConfig(writeConfig(*reading.config)).config, reading.config);
        const auto records = fromRecords(toRecords(*reading.config));
        ASSERT_TRUE(records.ok()) << records.status();
        EXPECT_EQ(toRecords(*records), toRecords(*reading.config));
    }
}

TEST(ConfigFile, ReportsAllFaultsWithLineAndField)
{
    const auto reading = readConfig(R"(teams:
  - name: a
    rate: -1
    burst: 0
    wieght: 2
  - name: a
    rate: many
    burst: 1
routes:
  - { name: r, prefix: r, pool: nowhere }
pools:
  - name: p
    targets:
      - { address: "example.org:80", zone: z }
)");
    EXPECT_FALSE(reading.config);
    auto text = std::string {};
    for (const auto& fault : reading.faults)
        text += formatFault("f", fault) + "\n";
    for (const auto* expected : { "f:3: teams[0].rate: must be from 0", "f:4: teams[0].burst: must be at least 1",
             "f:5: teams[0].wieght: is not a known field; the nearest is 'weight'",
             "f:7: teams[1].rate: has the wrong type", "'a' is defined more than once",
             "f:10: routes[0].prefix: must start with '/'", "'nowhere' is not defined",
             "f:14: pools[0].targets[0].address: must be an IP address and a port, such as 10.2.0.1:8080",
             "'z' is not defined" })
        EXPECT_NE(text.find(expected), std::string::npos) << expected << "\nin\n" << text;
}

TEST(ConfigFile, MalformedYamlIsAFault)
{
    for (const auto* text : { "teams: [", "- a\n- b\n", "teams: 5", "just text", "" })
        EXPECT_FALSE(readConfig(text).config) << text;
}

TEST(ConfigRecords, AppliedDeltaYieldsTheNewConfig)
{
    auto from = *readConfig(smallConfig).config;
    auto to = from;
    to.teams.erase(to.teams.begin());
    to.pools[0].targets[0].draining = true;
    to.pools.push_back({ "p-2", {} });
    auto records = toRecords(from);
    const auto changes = diffRecords(records, toRecords(to));
    EXPECT_EQ(changes.size(), 3U);
    applyChanges(records, changes);
    EXPECT_EQ(*fromRecords(records), to);
}

TEST(ConfigRecords, ChangesInPlaceEqualAFullDecode)
{
    const auto from = *readConfig(readSource("examples/waitaha.yaml")).config;
    auto to = from;
    to.settings.lookupTtl = std::chrono::milliseconds { 77 };
    to.teams[3].rate = 9;
    to.teams.push_back({ "new", 1, 1, 1, {} });
    to.routes.pop_back();
    to.pools[0].targets[2].draining = true;
    to.pools[1].targets.pop_back();
    to.pools.push_back({ "ledger-2", { { "10.0.0.9:1", to.zones[0].name, 1, 1, false } } });
    to.shifts.pop_back();
    to.blocks.push_back({ "10.2.1.0/24", to.zones[3].name });
    to.blocks.mutate([](auto& blocks) { blocks.erase(blocks.begin()); });
    const auto changes = diffRecords(toRecords(from), toRecords(to));
    auto config = *fromRecords(toRecords(from));
    ASSERT_TRUE(applyToConfig(config, changes).ok());
    EXPECT_EQ(toRecords(config), toRecords(to));
    auto digest = RecordsDigest {};
    auto expected = RecordsDigest {};
    for (const auto& [name, value] : toRecords(from))
        digest.add(name, value);
    for (const auto& change : changes) {
        if (toRecords(from).contains(change.name))
            digest.remove(change.name, toRecords(from).at(change.name));
        if (change.value)
            digest.add(change.name, *change.value);
    }
    for (const auto& [name, value] : toRecords(to))
        expected.add(name, value);
    EXPECT_EQ(digest.hex(), expected.hex());
    EXPECT_FALSE(applyToConfig(config, { { "team/x", "rubbish" } }).ok());
    EXPECT_FALSE(applyToConfig(config, { { "block/x", "rubbish" } }).ok());
}

TEST(ConfigRecords, MalformedRecordsAreRejected)
{
    auto records = toRecords(*readConfig(smallConfig).config);
    records["team/x"] = "rubbish";
    EXPECT_FALSE(fromRecords(records).ok());
    records.erase("team/x");
    records["unknown/x"] = "";
    EXPECT_FALSE(fromRecords(records).ok());
}

TEST(ConfigEdit, AddsAndRemovesKeysWithoutOtherChanges)
{
    const auto first = sha256("one");
    const auto second = sha256("two");
    for (const auto* team : { "a", "b" }) {
        const auto one = addTeamKey(smallConfig, team, first);
        ASSERT_TRUE(one.ok());
        const auto two = addTeamKey(*one, team, second);
        ASSERT_TRUE(two.ok());
        const auto config = readConfig(*two).config;
        ASSERT_TRUE(config) << *two;
        EXPECT_EQ(config->teams[team[0] - 'a'].keys.size(), 2U);
        EXPECT_NE(two->find("# the first"), std::string::npos);
        const auto removed = removeTeamKey(*removeTeamKey(*two, first), second);
        ASSERT_TRUE(removed.ok());
        EXPECT_EQ(readConfig(*removed).config, readConfig(smallConfig).config) << *removed;
    }
    EXPECT_FALSE(addTeamKey(smallConfig, "nobody", first).ok());
    EXPECT_FALSE(removeTeamKey(smallConfig, first).ok());
}

TEST(ConfigEdit, DrainsTargetsAndZones)
{
    for (const auto* name : { "10.0.0.1:80", "10.0.0.2:80", "z" }) {
        const auto drained = setDraining(smallConfig, name, true);
        ASSERT_TRUE(drained.ok()) << name;
        EXPECT_NE(readConfig(*drained).config, readConfig(smallConfig).config) << *drained;
        EXPECT_EQ(readConfig(*setDraining(*drained, name, false)).config, readConfig(smallConfig).config);
    }
    EXPECT_FALSE(setDraining(smallConfig, "nothing", true).ok());
}

TEST(ConfigEdit, DrainsAndRestoresHosts)
{
    const auto one = *setHostDraining(smallConfig, "10.0.0.1:8080", true);
    const auto two = *setHostDraining(one, "10.0.0.2:8080", true);
    const auto config = readConfig(two).config;
    ASSERT_TRUE(config) << two;
    EXPECT_EQ(config->drainingHosts.size(), 2U);
    EXPECT_EQ(toRecords(*fromRecords(toRecords(*config))), toRecords(*config));
    EXPECT_EQ(readConfig(writeConfig(*config)).config, config);
    const auto back = *setHostDraining(*setHostDraining(two, "10.0.0.1:8080", false), "10.0.0.2:8080", false);
    EXPECT_EQ(readConfig(back).config, readConfig(smallConfig).config) << back;
    const auto block = std::string { smallConfig } + "draining_hosts:\n  - 10.0.0.3:8080\n";
    EXPECT_EQ(readConfig(*setHostDraining(block, "10.0.0.1:8080", true)).config->drainingHosts.size(), 2U);
    EXPECT_EQ(readConfig(*setHostDraining(block, "10.0.0.3:8080", false)).config, readConfig(smallConfig).config);
    EXPECT_FALSE(setHostDraining(smallConfig, "10.0.0.9:8080", false).ok());
    EXPECT_FALSE(readConfig(std::string { smallConfig } + "draining_hosts: [here]\n").config);
}

TEST(HostSettings, AcceptsValidAndRejectsInvalidFiles)
{
    const auto good = std::string { "ip: 10.0.0.1\nzone: z\nplatform: 10.0.0.9:1\nfleet_secret: sixteen-characters\n" };
    EXPECT_TRUE(readHostSettings(good).settings);
    for (const auto* bad : { "servce_port: 1\n", "service_port: 70000\n", "seeds: [x]\n", "log: { level: loud }\n",
             "queue: lifo\n", "log: 5\n", "max_fds: 5\n", "max_fds: -1\n" })
        EXPECT_FALSE(readHostSettings(good + bad).settings) << bad;
    EXPECT_EQ(readHostSettings("zone: z\n").faults.size(), 4U);
    EXPECT_EQ(readHostSettings(good).settings->maxFds, 0U);
    EXPECT_EQ(readHostSettings(good + "max_fds: 2870\n").settings->maxFds, 2870U);
}

TEST(ResultCodes, AreNumberedInOrderAndDocumented)
{
    const auto page = readSource("docs/RESULT-CODES.md");
    auto rows = std::size_t { 0 };
    auto last = 0;
    for (const auto& info : resultTable()) {
        const auto number = static_cast<int>(info.code);
        EXPECT_GT(number, last);
        last = number;
        const auto row = "| " + std::to_string(number) + " | " + std::string { info.name } + " | "
            + std::to_string(info.httpStatus) + " | " + std::string { outcomeName(info.outcome) } + " | "
            + std::string { info.summary } + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
        ++rows;
    }
    auto documented = std::size_t { 0 };
    for (auto at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1))
        documented += std::isdigit(static_cast<unsigned char>(page[at + 3])) != 0 ? 1 : 0;
    EXPECT_EQ(documented, rows);
}

} // namespace
} // namespace citronloft
