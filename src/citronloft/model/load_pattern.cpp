#include "citronloft/model/load_pattern.hpp"

#include <algorithm>

namespace citronloft {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Request kinds: run times are long relative to the objectives, and a payment is worth twice a read.
auto planKinds() -> std::vector<RequestKind>
{
    return {
        { "pay", 0.2, 0, milliseconds { 250 }, milliseconds { 600 }, milliseconds { 5000 }, 2, 0.4, 1 },
        { "read", 0.6, 1, milliseconds { 190 }, milliseconds { 500 }, milliseconds { 4000 }, 1, 0.2, 1 },
        { "report", 0.2, 2, milliseconds { 450 }, milliseconds { 1200 }, milliseconds { 8000 }, 1, 0.2, 1 },
    };
}

auto makePattern(std::string_view name, std::string_view about) -> LoadPattern
{
    auto pattern = LoadPattern {};
    pattern.name = name;
    pattern.about = about;
    pattern.kinds = planKinds();
    pattern.faultSpan = { seconds { 6 }, seconds { 16 } };
    pattern.surgeSpan = { seconds { 6 }, seconds { 12 } };
    return pattern;
}

auto makePatterns() -> std::vector<LoadPattern>
{
    auto list = std::vector<LoadPattern> {};
    list.push_back(makePattern("steady", "load of 0.6 of the capacity of warm targets"));
    list.push_back(makePattern("surge", "2.2 times the load for 6 s, above the capacity of the targets"));
    list.back().surge = 2.2;
    list.push_back(makePattern("insistent", "the same surge, with half of the callers retrying immediately"));
    list.back().surge = 2.2;
    list.back().insistentCallers = 0.5;
    list.push_back(makePattern("hot-object", "one object in a fifth of the requests"));
    list.back().hotObject = 0.2;
    list.push_back(makePattern("hot-team", "one team sends eight times its load, above the capacity of the targets"));
    list.back().hotTeam = 8;
    list.push_back(makePattern("uneven-zones", "zones with 11, 5 and 2 targets, callers spread evenly"));
    list.back().targetsByZone = { 11, 5, 2 };
    list.push_back(makePattern("slow-targets", "a fifth of the targets takes four times as long for 10 s"));
    list.back().slowTargets = 0.2;
    list.back().slowdown = 4;
    list.push_back(makePattern("grey-targets", "a sixth of the targets fails half of its requests for 10 s"));
    list.back().greyTargets = 1.0 / 6;
    list.back().greyFailures = 0.5;
    list.push_back(makePattern("lost-targets", "a third of the targets is down for 10 s and restarts without cache"));
    list.back().lostTargets = 1.0 / 3;
    list.push_back(makePattern("cold-start", "empty target caches at the start"));
    list.back().startsWarm = false;
    list.push_back(makePattern("late-reports", "targets' load reports arrive 1 s late"));
    list.back().reportLag = seconds { 1 };
    list.back().utilisation = 0.8;
    return list;
}

} // namespace

auto loadPatterns() -> std::span<const LoadPattern>
{
    static const auto patterns = makePatterns();
    return patterns;
}

auto findLoadPattern(std::string_view name) -> const LoadPattern*
{
    const auto found = std::ranges::find(loadPatterns(), name, &LoadPattern::name);
    return found == loadPatterns().end() ? nullptr : &*found;
}

} // namespace citronloft
