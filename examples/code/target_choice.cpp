/// @file
/// @brief Shows that a target that fails requests is ejected although it reports no load or drain.

#include <iostream>

#include "citronloft/policy/target_pool.hpp"

auto main() -> int
{
    using namespace citronloft;
    using namespace std::chrono_literals;
    auto pool = TargetPool({}, 1);
    auto now = TimePoint { 1h };
    pool.setTargets({ { "10.0.0.1:80", "a", 10, 100, false }, { "10.0.0.2:80", "a", 10, 100, false } }, now);
    for (auto i = 0; i < 50; ++i) {
        now += 10ms;
        pool.report("10.0.0.1:80", { .inFlight = 0, .draining = false }, now);
        const auto target = pool.acquire({}, now);
        const auto isGood = target == "10.0.0.2:80";
        if (target)
            pool.release(*target, isGood ? TargetResult::Answered : TargetResult::Failed, 5ms, now);
    }
    auto ejected = 0;
    for (const auto& view : pool.views(now)) {
        std::cout << view.address << " is " << targetStateName(view.state) << "\n";
        ejected += view.state == TargetState::Ejected ? 1 : 0;
    }
    return ejected == 1 ? 0 : 1;
}
