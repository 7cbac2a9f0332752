/// @file
/// @brief Fixture and simulated callers for fleet tests in virtual time.
#pragma once

#include <cstdlib>
#include <numeric>
#include <sstream>

#include <gtest/gtest.h>

#include "citronloft/check/rate_window.hpp"
#include "citronloft/fleet/slot_map.hpp"
#include "fakes/virtual_world.hpp"

namespace citronloft {

using namespace std::chrono_literals;

/// CITRONLOFT_SEEDS="first last" overrides the range of seeds, for manual campaigns.
inline auto campaignSeeds() -> std::vector<int>
{
    auto first = 1;
    auto last = 12;
    if (const auto* text = std::getenv("CITRONLOFT_SEEDS"))
        std::istringstream(text) >> first >> last;
    auto list = std::vector<int>(static_cast<std::size_t>(last - first + 1));
    std::iota(list.begin(), list.end(), first);
    return list;
}

inline auto smallConfig(const std::vector<std::string>& zones, double rate, double burst) -> Config
{
    auto config = Config {};
    config.teams.push_back({ "team", rate, burst, 1, {} });
    config.pools.push_back({ "pool", {} });
    for (const auto& zone : zones)
        config.zones.push_back({ zone, zone.substr(0, 1), 1, false });
    return config;
}

inline auto slotsOf(VirtualWorld::Node& node) -> std::size_t
{
    return countSlots(node.host->shares().usableSlots(node.clock->now()));
}

inline auto zoneSlots(VirtualWorld& world, const std::string& zone) -> std::size_t
{
    auto sum = std::size_t { 0 };
    for (auto& node : world.nodes) {
        if (node->zone == zone && node->alive)
            sum += slotsOf(*node);
    }
    return sum;
}

inline auto allZonesFull(VirtualWorld& world, const std::vector<std::string>& zones) -> bool
{
    return std::ranges::all_of(zones, [&](const auto& zone) { return zoneSlots(world, zone) == slotsPerZone; });
}

/// @return a description of the first slot that two running hosts can use at the same time, or an empty string.
inline auto findSharedSlot(VirtualWorld& world) -> std::string
{
    auto users = std::map<std::pair<std::string, std::uint32_t>, std::size_t> {};
    for (auto index = std::size_t { 0 }; index < world.nodes.size(); ++index) {
        auto& node = *world.nodes[index];
        if (!node.alive || node.paused)
            continue;
        for (const auto& range : node.host->shares().usableSlots(node.clock->now())) {
            for (auto slot = std::uint32_t { range.first }; slot < std::uint32_t { range.first } + range.count;
                 ++slot) {
                const auto [place, isNew] = users.try_emplace({ node.zone, slot }, index);
                if (!isNew)
                    return "slot " + std::to_string(slot) + " of " + node.zone + " is used by hosts "
                        + std::to_string(place->second) + " and " + std::to_string(index);
            }
        }
    }
    return {};
}

/// Offers requests to hosts and records their admission times.
class Callers {
public:
    Callers(VirtualWorld& world, double rate, double burst)
        : world(world)
        , bucket(bucketId(teamBucketName("team")))
        , window(rate * 1.005, burst)
        , ideal(burst)
        , idealRate(rate)
    {
    }

    /// Offers one request to a running host.
    auto offer(std::size_t index) -> void
    {
        auto& node = *this->world.nodes[index];
        if (!node.alive || node.paused)
            return;
        ++this->offered;
        this->offerIdeal();
        const auto now = node.clock->now();
        node.host->rates().acquire(this->bucket, microTokensPerToken, now + 2s, now, [this](RateDecision decision) {
            if (decision.admitted)
                this->window.add(this->world.events.now());
            this->admitted += decision.admitted ? 1 : 0;
        });
    }

    /// Offers `perSecond` requests for `duration`, each to the host that `choose` returns.
    auto load(double perSecond, Duration duration, const std::function<std::size_t()>& choose) -> void
    {
        const auto gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
        const auto end = this->world.events.now() + duration;
        while (this->world.events.now() < end) {
            this->offer(choose());
            this->world.run(gap);
            this->checkForSharedSlot();
        }
    }

    /// First slot that two hosts could use at the same time.
    std::string sharedSlot;

    /// Fraction by which the admitted requests fall short of what one ideal bucket would have admitted.
    [[nodiscard]] auto shortfallFraction() const -> double
    {
        return this->idealAdmitted == 0
            ? 0
            : 1 - static_cast<double>(this->admitted) / static_cast<double>(this->idealAdmitted);
    }

    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t idealAdmitted = 0;
    [[nodiscard]] auto excess() const -> double { return this->window.excess(); }

private:
    auto checkForSharedSlot() -> void
    {
        constexpr auto interval = std::chrono::milliseconds { 200 };
        if (this->world.events.now() < this->nextCheckAt || !this->sharedSlot.empty())
            return;
        this->nextCheckAt = this->world.events.now() + interval;
        this->sharedSlot = findSharedSlot(this->world);
    }

    auto offerIdeal() -> void
    {
        const auto now = this->world.events.now();
        if (this->lastAt != TimePoint {})
            this->ideal += std::chrono::duration<double>(now - this->lastAt).count() * this->idealRate;
        this->ideal = std::min(this->ideal, this->burst);
        this->lastAt = now;
        if (this->ideal < 1)
            return;
        this->ideal -= 1;
        ++this->idealAdmitted;
    }

    VirtualWorld& world;
    std::uint64_t bucket;
    RateWindow window;
    double ideal;
    double burst = ideal;
    double idealRate;
    TimePoint lastAt {};
    TimePoint nextCheckAt {};
};

class FleetHostTest : public testing::Test {
protected:
    auto start(WorldOption option, double rate, double burst) -> void
    {
        this->zones = option.zones;
        this->world = std::make_unique<VirtualWorld>(option);
        ASSERT_EQ(this->world->apply(smallConfig(this->zones, rate, burst)).outcome, ApplyOutcome::Accepted);
        ASSERT_TRUE(this->world->runUntil([&] { return this->isReady(); }, 30s));
    }

    auto isReady() -> bool
    {
        return allZonesFull(*this->world, this->zones) && std::ranges::all_of(this->world->nodes, [](auto& node) {
            return !node->versions.empty() && slotsOf(*node) >= slotsPerZone / 3 - 2;
        });
    }

    auto randomHost() -> std::size_t
    {
        return this->world->generator(static_cast<std::uint32_t>(this->world->nodes.size()));
    }

    std::vector<std::string> zones;
    std::unique_ptr<VirtualWorld> world;
};

} // namespace citronloft
