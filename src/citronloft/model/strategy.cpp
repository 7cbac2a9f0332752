#include "citronloft/model/strategy.hpp"

#include <algorithm>
#include <vector>

namespace citronloft {

namespace {

using std::chrono::milliseconds;

auto makeStrategy(std::string_view name, std::string_view about) -> Strategy
{
    auto strategy = Strategy { .name = name, .about = about };
    strategy.pool = discoveredPoolOption();
    return strategy;
}

auto makeStrategies() -> std::vector<Strategy>
{
    auto list = std::vector<Strategy> {};
    list.push_back(makeStrategy("product", "behavior of the daemon with discovered targets"));
    list.push_back(makeStrategy("fifo", "requests wait in order of arrival"));
    list.back().makeQueue = &makeFifoQueue;
    list.push_back(makeStrategy("fair", "requests wait in deficit round robin over teams"));
    list.back().makeQueue = &makeFairQueue;
    list.push_back(makeStrategy("two-choices", "the less loaded of two random targets, whatever the object"));
    list.back().hasObjectAffinity = false;
    list.push_back(makeStrategy("one-target", "each object has one target"));
    list.back().pool.targetsPerObject = 1;
    list.push_back(makeStrategy("six-targets", "each object has six targets"));
    list.back().pool.targetsPerObject = 6;
    list.push_back(makeStrategy("early-pass", "an object's next target is preferred as soon as the first is full"));
    list.back().pool.primaryMaxLoad = 1;
    list.push_back(makeStrategy("pass-any", "an object's next target is used whenever it is less loaded"));
    list.back().pool.alternativeMaxLoad = list.back().pool.primaryMaxLoad;
    list.push_back(makeStrategy("short-queues", "target queues are kept almost empty"));
    list.back().pool.maxTargetQueueFraction = 0.1;
    list.push_back(makeStrategy("own-zone", "targets of other zones are not used"));
    list.back().sharesZones = false;
    list.push_back(makeStrategy("no-notices", "hosts do not exchange their in-flight counts"));
    list.back().sendsNotices = false;
    list.push_back(makeStrategy("one-second", "refused callers retry after 1 s"));
    list.back().minRetryAfter = milliseconds { 1000 };
    list.back().maxRetryAfter = milliseconds { 1000 };
    list.push_back(makeStrategy("spread-return", "refused callers retry after 0.3 to 3 s"));
    list.back().maxRetryAfter = milliseconds { 3000 };
    return list;
}

} // namespace

auto strategies() -> std::span<const Strategy>
{
    static const auto list = makeStrategies();
    return list;
}

auto findStrategy(std::string_view name) -> const Strategy*
{
    const auto found = std::ranges::find(strategies(), name, &Strategy::name);
    return found == strategies().end() ? nullptr : &*found;
}

} // namespace citronloft
