/// @file
/// @brief Shows that a team with many queued requests does not delay a team with a single request.

#include <iostream>

#include "citronloft/policy/request_queue.hpp"

auto main() -> int
{
    using namespace citronloft;
    using namespace std::chrono_literals;
    const auto now = TimePoint { 1h };
    auto queue = makeFairQueue({ .capacity = 100, .limitPerTeam = true });
    for (auto id = std::uint64_t { 1 }; id <= 10; ++id)
        queue->offer({ .id = id, .team = 1, .weight = 1, .deadline = now + 10s }, 5ms, 1, now);
    queue->next();
    queue->offer({ .id = 100, .team = 2, .weight = 1, .deadline = now + 10s }, 5ms, 1, now);
    const auto next = queue->next();
    std::cout << "next is request " << next->id << " of team " << next->team << "\n";
    return next->id == 100 ? 0 : 1;
}
