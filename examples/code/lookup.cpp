/// @file
/// @brief Shows that callers are moved out of a drained region no faster than the configured limit.

#include <iostream>

#include "citronloft/policy/lookup_planner.hpp"

auto main() -> int
{
    using namespace citronloft;
    using namespace std::chrono_literals;
    auto config = Config {};
    config.zones = { { "north-a", "north", 1, true }, { "south-a", "south", 1, false } };
    config.blocks = std::vector<ClientBlock> { { "10.0.0.0/8", "north-a" } };
    config.shifts = { { .from = "north", .to = "south", .percentPerMinute = 25 } };

    auto planner = LookupPlanner {};
    planner.setConfig(config, "north-a");
    const auto isUp = [](const std::string&) { return true; };
    auto now = TimePoint { 1h };
    for (auto minute = 0; minute <= 4; ++minute) {
        planner.tick(isUp, now);
        std::cout << "after " << minute << " min " << planner.movedFraction("north-a") * 100
                  << " % have moved; 10.1.2.3 uses " << planner.zoneFor("10.1.2.3", isUp).value_or("none") << "\n";
        now += 1min;
    }
    return planner.zoneFor("10.1.2.3", isUp) == "south-a" ? 0 : 1;
}
