/// @file
/// @brief Control traffic and convergence of many hosts in virtual time, and refusals by lending strategy.

#include <chrono>
#include <iomanip>
#include <iostream>

#include <boost/program_options.hpp>

#include "citronloft/base/codec.hpp"
#include "citronloft/check/rate_window.hpp"
#include "fakes/virtual_world.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

auto makeConfig(const std::vector<std::string>& zones, std::size_t teams, double rate, double burst) -> Config
{
    auto config = Config {};
    for (auto i = std::size_t { 0 }; i < teams; ++i)
        config.teams.push_back({ "team-" + std::to_string(i), rate, burst, 1, {} });
    for (const auto& zone : zones)
        config.zones.push_back({ zone, zone.substr(0, 2), 1, false });
    return config;
}

auto makeZones(std::size_t count) -> std::vector<std::string>
{
    auto zones = std::vector<std::string> {};
    for (auto i = std::size_t { 0 }; i < count; ++i)
        zones.push_back("r" + std::to_string(i / 2) + "-" + std::to_string(i));
    return zones;
}

auto isActive(VirtualWorld& world, std::uint64_t version) -> bool
{
    return std::ranges::all_of(
        world.nodes, [&](auto& node) { return !node->versions.empty() && node->versions.back() >= version; });
}

auto bytesSent(VirtualWorld& world) -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (auto& node : world.nodes)
        sum += node->bytesSent;
    return sum;
}

struct ControlRun {
    std::size_t zones = 6;
    std::size_t hostsPerZone = 1;
    std::size_t teams = 8;
};

auto runControl(const ControlRun& run, double loss) -> void
{
    auto option = WorldOption {};
    option.zones = makeZones(run.zones);
    option.hostsPerZone = run.hostsPerZone;
    auto world = VirtualWorld(option);
    auto config = makeConfig(option.zones, run.teams, 100, 20);
    world.apply(config);
    if (!world.runUntil([&] { return isActive(world, 1); }, 60s))
        std::cout << "the first configuration did not reach every host in 60 s\n";
    world.run(10s);
    world.faults.loss = loss;
    const auto hosts = static_cast<double>(world.nodes.size());
    constexpr auto quietSeconds = 20.0;
    const auto idleBytes = bytesSent(world);
    const auto idleCalls = world.storeCalls;
    const auto idleStart = std::chrono::steady_clock::now();
    world.run(20s);
    const auto cpu = std::chrono::duration<double>(std::chrono::steady_clock::now() - idleStart).count();
    const auto idleRate = static_cast<double>(bytesSent(world) - idleBytes) / hosts / quietSeconds;
    const auto callRate = static_cast<double>(world.storeCalls - idleCalls) / quietSeconds;
    auto times = std::vector<double> {};
    const auto changeBytes = bytesSent(world);
    constexpr auto changes = 20;
    for (auto i = 0; i < changes; ++i) {
        config.teams[0].rate += 1;
        const auto result = world.apply(config);
        const auto start = world.events.now();
        const auto isApplied = world.runUntil([&] { return isActive(world, result.version); }, 30s);
        times.push_back(
            isApplied ? std::chrono::duration<double, std::milli>(world.events.now() - start).count() : 30000);
        world.run(start + 1s - world.events.now());
    }
    const auto changeRate = static_cast<double>(bytesSent(world) - changeBytes) / hosts / changes;
    std::ranges::sort(times);
    std::cout << std::setw(6) << world.nodes.size() << std::setw(7) << run.zones << std::setw(8) << run.teams
              << std::setw(12) << idleRate << std::setw(14) << changeRate << std::setw(13) << callRate << std::setw(14)
              << cpu / quietSeconds / hosts * 100 << std::setw(13) << times[times.size() / 2] << std::setw(11)
              << times.back() << "\n";
}

auto runControlTable(double loss) -> void
{
    std::cout << "control cost in virtual time, loss " << loss * 100 << " %, one change a second\n";
    std::cout
        << " hosts  zones   teams  idle B/s/h  change B/s/h  store calls/s  cpu %/host  in force p50 ms  max ms\n";
    for (const auto& run :
        { ControlRun { 6, 1, 8 }, ControlRun { 6, 4, 8 }, ControlRun { 6, 16, 8 }, ControlRun { 6, 83, 8 },
            ControlRun { 24, 4, 8 }, ControlRun { 96, 1, 8 }, ControlRun { 6, 4, 100 }, ControlRun { 6, 4, 1000 } })
        runControl(run, loss);
}

struct Workload {
    std::string name;
    double rate = 400;
    double burst = 200;
    double factor = 0.9;
    std::function<std::size_t(VirtualWorld&, double seconds)> chooseHost;
    std::function<bool(double seconds)> isOn = [](double) { return true; };
};

struct LendingResult {
    double refusedPercent = 0;
    /// Time within which 99 % of the requests were decided.
    double waitMs = 0;
};

auto runLending(LendingStrategy strategy, const Workload& workload) -> LendingResult
{
    const auto rate = workload.rate;
    const auto burst = workload.burst;
    auto option = WorldOption {};
    option.seed = 5;
    option.zones = makeZones(6);
    option.host.rates.strategy = strategy;
    auto world = VirtualWorld(option);
    world.apply(makeConfig(option.zones, 1, rate, burst));
    world.run(30s);
    const auto bucket = bucketId(teamBucketName("team-0"));
    auto window = RateWindow(rate * 1.005, burst);
    auto ideal = burst;
    auto idealAdmitted = 0.0;
    auto waits = std::vector<double> {};
    const auto gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (rate * workload.factor)));
    const auto start = world.events.now();
    while (world.events.now() - start < 60s) {
        const auto elapsed = std::chrono::duration<double>(world.events.now() - start).count();
        ideal = std::min(ideal + rate * std::chrono::duration<double>(gap).count(), burst);
        if (workload.isOn(elapsed)) {
            if (ideal >= 1) {
                ideal -= 1;
                idealAdmitted += 1;
            }
            auto& node = *world.nodes[workload.chooseHost(world, elapsed)];
            const auto now = node.clock->now();
            const auto askedAt = world.events.now();
            node.host->rates().acquire(bucket, microTokensPerToken, now + 2s, now, [&, askedAt](RateDecision decision) {
                waits.push_back(std::chrono::duration<double, std::milli>(world.events.now() - askedAt).count());
                if (decision.admitted)
                    window.add(world.events.now());
            });
        }
        world.run(gap);
    }
    world.run(1s);
    if (window.excess() > 1e-6)
        std::cout << "rate bound exceeded, in requests: " << window.excess() << "\n";
    std::ranges::sort(waits);
    const auto tail = waits[static_cast<std::size_t>(0.99 * static_cast<double>(waits.size() - 1))];
    return { std::max(1 - window.total() / idealAdmitted, 0.0) * 100, tail };
}

auto runLendingTable() -> void
{
    const auto anyHost = [](VirtualWorld& world, double) { return world.generator(18); };
    const auto workloads = std::vector<Workload> {
        { "even", 400, 200, 0.9, anyHost },
        { "all on one host", 400, 200, 0.9, [](VirtualWorld&, double) { return 0U; } },
        { "another zone every 10 s", 400, 200, 0.9,
            [](VirtualWorld& world, double seconds) {
                return static_cast<std::size_t>(seconds / 10) % 6 * 3 + world.generator(3);
            } },
        { "on and off every 2 s", 400, 200, 1.5, anyHost,
            [](double seconds) { return static_cast<int>(seconds / 2) % 2 == 0; } },
        { "five times the rate", 400, 200, 5, anyHost },
        { "10/s, half of it, even", 10, 10, 0.5, anyHost },
        { "10/s, 90 %, even", 10, 10, 0.9, anyHost },
        { "2/s, half of it, even", 2, 4, 0.5, anyHost },
    };
    std::cout
        << "\nrefused in % of what one ideal bucket admits (rate 400/s, burst 200 unless named, 18 hosts in 6 zones)\n";
    std::cout << std::left << std::setw(26) << "workload" << std::right << std::setw(14) << "static split"
              << std::setw(14) << "zone loans" << std::setw(14) << "fleet loans"
              << "\n";
    for (const auto& workload : workloads) {
        auto last = LendingResult {};
        std::cout << std::left << std::setw(26) << workload.name << std::right;
        for (const auto strategy : { LendingStrategy::None, LendingStrategy::Zone, LendingStrategy::Fleet }) {
            last = runLending(strategy, workload);
            std::cout << std::setw(14) << last.refusedPercent;
        }
        std::cout << std::setw(14) << last.waitMs;
        std::cout << "\n";
    }
}

template <typename Message> auto printSize(const std::string& name, const Message& message) -> void
{
    constexpr auto sealAndHeaders = std::size_t { 62 };
    std::cout << std::left << std::setw(44) << name << std::right << std::setw(7)
              << encode(message).size() + sealAndHeaders << "\n";
}

/// Prints the size of each message type in bytes, including seal, UDP and IP headers.
auto runSizeTable() -> void
{
    auto host = HostEntry {};
    host.ip = "10.100.100.100";
    host.headroom.resize(2);
    auto renewal = RenewRequest {};
    renewal.held.resize(2);
    renewal.headroom.resize(2);
    auto grant = RenewGrant {};
    grant.slots.resize(2);
    auto heartbeat = GossipMessage {};
    heartbeat.zone = "christchurch-a";
    heartbeat.sender = host;
    heartbeat.zoneLeader.address.ip = host.ip;
    std::cout << "message sizes in bytes\n";
    printSize("renewal, 2 runs of slots, 2 pools", renewal);
    printSize("its confirmation", grant);
    printSize("loan ask, 1 bucket, 1 settlement", LoanRequest { 1, 1, { { 1, 1 } }, { { 1, 1, 0 } } });
    printSize("loan grant, 1 bucket", LoanGrant { 1, 1, { { 1, 1 } } });
    auto limits = LimitNotice { 1, 1, "christchurch-a", false, {} };
    limits.reports.resize(1, { 1, 2.5, 1 });
    printSize("limit notice, 1 target", limits);
    limits.reports.resize(256, { 1, 2.5, 1 });
    printSize("limit notice, 256 targets", limits);
    auto losses = LossNotice { 1, 1, "christchurch-a", false, {} };
    losses.reports.resize(1, { UINT64_MAX, UINT64_MAX, 1 });
    printSize("loss notice, 1 request", losses);
    losses.reports.resize(256, { UINT64_MAX, UINT64_MAX, 1 });
    printSize("loss notice, 256 requests", losses);
    printSize("heartbeat without digests", heartbeat);
    heartbeat.zones.resize(97);
    printSize("heartbeat, 97 zone digests", heartbeat);
    heartbeat.zones.resize(24);
    heartbeat.members.resize(32);
    printSize("heartbeat, 32 member and 24 zone digests", heartbeat);
    std::cout << "a host's entry alone " << encode(host).size() << "\n";
}

} // namespace
} // namespace citronloft

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    auto options = po::options_description("fleet_bench");
    auto loss = 0.0;
    options.add_options()("loss", po::value(&loss), "fraction of messages lost, 0 to 1")(
        "control", "control cost only")("lending", "lending strategies only")("sizes", "sizes of messages only");
    auto values = po::variables_map {};
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    std::cout << std::fixed << std::setprecision(2);
    const auto isWanted = [&](const std::string& part) {
        return values.contains(part)
            || !(values.contains("control") || values.contains("lending") || values.contains("sizes"));
    };
    if (isWanted("control"))
        citronloft::runControlTable(loss);
    if (isWanted("lending"))
        citronloft::runLendingTable();
    if (isWanted("sizes"))
        citronloft::runSizeTable();
    return 0;
}
