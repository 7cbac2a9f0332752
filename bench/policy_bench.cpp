/// @file
/// @brief Benchmarks of single policy decisions at the target fleet size.

#include <benchmark/benchmark.h>
#include <pcg_random.hpp>

#include "citronloft/fleet/config_manifest.hpp"
#include "citronloft/fleet/rate_limiter.hpp"
#include "citronloft/policy/block_table.hpp"
#include "citronloft/policy/key_table.hpp"
#include "citronloft/policy/request_queue.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

auto makeEntries(std::size_t count) -> std::vector<BlockEntry>
{
    auto random = pcg32(1);
    auto entries = std::vector<BlockEntry> {};
    entries.reserve(count);
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        auto prefix = Prefix {};
        prefix.bits[10] = prefix.bits[11] = 0xff;
        const auto base = static_cast<std::uint32_t>(i * 7919) << 8U;
        for (auto byte = 0U; byte < 4; ++byte)
            prefix.bits[12 + byte] = static_cast<std::uint8_t>(base >> (24 - 8 * byte));
        prefix.length = static_cast<std::uint8_t>(96 + 20 + random(5));
        entries.push_back({ prefix, static_cast<std::uint16_t>(random(1700)) });
    }
    return entries;
}

void buildBlockTable(benchmark::State& state)
{
    const auto entries = makeEntries(static_cast<std::size_t>(state.range(0)));
    auto bytes = std::size_t { 0 };
    for (auto run : state) {
        (void)run;
        bytes = BlockTable(entries).memoryBytes();
    }
    state.counters["table_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(buildBlockTable)->Arg(1000)->Arg(53'000)->Arg(530'000)->Unit(benchmark::kMillisecond);

void findBlock(benchmark::State& state)
{
    const auto table = BlockTable(makeEntries(static_cast<std::size_t>(state.range(0))));
    auto random = pcg32(2);
    auto ip = *parseIp("10.0.0.1");
    for (auto run : state) {
        (void)run;
        const auto number = random();
        for (auto byte = 0U; byte < 4; ++byte)
            ip[12 + byte] = static_cast<std::uint8_t>(number >> (8 * byte));
        benchmark::DoNotOptimize(table.find(ip));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(findBlock)->Arg(1000)->Arg(53'000)->Arg(530'000);

void findKey(benchmark::State& state)
{
    auto config = Config {};
    for (auto i = 0; i < state.range(0); ++i)
        config.teams.push_back({ "t" + std::to_string(i), 1, 1, 1, { sha256(std::to_string(i)) } });
    const auto keys = KeyTable(config);
    auto random = pcg32(3);
    for (auto run : state) {
        (void)run;
        benchmark::DoNotOptimize(keys.find(std::to_string(random(static_cast<std::uint32_t>(state.range(0))))));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(findKey)->Arg(8)->Arg(1000)->Arg(100'000);

class NoPeers final : public PeerDirectory {
public:
    [[nodiscard]] auto lenders() const -> std::vector<Lender> override { return {}; }
};

class NoTransport final : public PeerTransport {
public:
    auto send(const Address& /*to*/, const PeerMessage& /*message*/) -> void override { }
};

/// A rate limiter with the given number of teams that holds all slots of a single zone.
class LimiterBench {
public:
    explicit LimiterBench(std::int64_t teams, double rate, double burst)
    {
        const auto zoneParts = std::vector<std::uint32_t> { 1 };
        for (auto i = std::int64_t { 0 }; i < teams; ++i)
            this->specs.push_back(makeBucketSpec("team/" + std::to_string(i), rate, burst, zoneParts, 0));
        this->limiter.setBuckets(this->specs, this->now);
        this->limiter.setSlots({ { 1, 0, slotsPerZone } }, this->now);
    }

    NoPeers peers;
    NoTransport transport;
    RateLimiter limiter { {}, {}, 1, peers, transport };
    TimePoint now { 1h };
    std::vector<BucketSpec> specs;
};

void acquireToken(benchmark::State& state)
{
    auto bench = LimiterBench(state.range(0), 1e6, 1e5);
    auto random = pcg32(4);
    for (auto run : state) {
        (void)run;
        bench.now += 1us;
        const auto& spec = bench.specs[random(static_cast<std::uint32_t>(bench.specs.size()))];
        bench.limiter.acquire(spec.id, microTokensPerToken, bench.now + 1s, bench.now, [](RateDecision) {});
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(acquireToken)->Arg(8)->Arg(1000)->Arg(10'000);

void tickLimiter(benchmark::State& state)
{
    auto bench = LimiterBench(state.range(0), 100, 10);
    for (auto run : state) {
        (void)run;
        bench.now += 20ms;
        bench.limiter.tick(bench.now);
    }
}
BENCHMARK(tickLimiter)->Arg(8)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

void passQueue(benchmark::State& state)
{
    auto queue = state.range(0) == 0 ? makeFifoQueue() : makeFairQueue();
    const auto now = TimePoint { 1h };
    auto id = std::uint64_t { 0 };
    for (auto run : state) {
        (void)run;
        queue->offer({ ++id, id % 8, 1, now + 10s }, 1ms, 100, now);
        benchmark::DoNotOptimize(queue->next());
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(passQueue)->Arg(0)->Arg(1);

auto largeConfig(std::int64_t count) -> Config
{
    auto config = Config {};
    for (auto i = 0; i < 97; ++i)
        config.zones.push_back({ "zone-" + std::to_string(i), "region-" + std::to_string(i % 37), 1, false });
    auto blocks = std::vector<ClientBlock> {};
    for (auto i = std::int64_t { 0 }; i < count; ++i) {
        const auto text = std::to_string(i / 65536 + 1) + "." + std::to_string(i / 256 % 256) + "."
            + std::to_string(i % 256) + ".0/24";
        blocks.push_back({ text, "zone-" + std::to_string(i % 97) });
    }
    config.blocks = std::move(blocks);
    return config;
}

auto bytesOf(const ConfigRecords& records) -> double
{
    auto bytes = std::size_t { 0 };
    for (const auto& [name, value] : records)
        bytes += name.size() + value.size();
    return static_cast<double>(bytes);
}

/// Start of a host: computes the digests of all records and decodes them.
void putAllInForce(benchmark::State& state)
{
    const auto records = toRecords(largeConfig(state.range(0)));
    for (auto run : state) {
        (void)run;
        benchmark::DoNotOptimize(computeRecordsDigest(records));
        benchmark::DoNotOptimize(fromRecords(records));
    }
    state.counters["record_bytes"] = bytesOf(records);
}
BENCHMARK(putAllInForce)->Arg(1000)->Arg(53'000)->Arg(530'000)->Unit(benchmark::kMillisecond);

/// Update of one changed team or block on a host that has the previous version.
void putChange(benchmark::State& state, bool isBlock)
{
    const auto before = largeConfig(state.range(0));
    auto after = before;
    if (isBlock)
        after.blocks.mutate([](auto& blocks) { blocks[7].zone = "zone-1"; });
    else
        after.teams.push_back({ "team", 1, 1, 1, {} });
    const auto changes = diffRecords(toRecords(before), toRecords(after));
    const auto start = *fromRecords(toRecords(before));
    auto digest = RecordsDigest {};
    for (auto run : state) {
        (void)run;
        auto config = start;
        benchmark::DoNotOptimize(applyToConfig(config, changes));
        for (const auto& change : changes)
            digest.add(change.name, *change.value);
        benchmark::DoNotOptimize(digest.hex());
    }
    state.counters["delta_bytes"] = static_cast<double>(encode(changes).size());
}

void putTeamInForce(benchmark::State& state) { putChange(state, false); }
BENCHMARK(putTeamInForce)->Arg(1000)->Arg(53'000)->Arg(530'000)->Unit(benchmark::kMillisecond);

void putBlockInForce(benchmark::State& state) { putChange(state, true); }
BENCHMARK(putBlockInForce)->Arg(1000)->Arg(53'000)->Arg(530'000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace citronloft
