#include <gtest/gtest.h>

#include "citronloft/policy/circuit_breaker.hpp"
#include "citronloft/policy/host_lifecycle.hpp"
#include "citronloft/policy/key_table.hpp"
#include "citronloft/policy/retry.hpp"
#include "citronloft/policy/route_table.hpp"
#include "citronloft/policy/target_health.hpp"
#include "citronloft/policy/withdrawn_keys.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };

TEST(Retry, RetriesNonIdempotentOnlyIfKnownNotToHaveRun)
{
    auto budget = RetryBudget {};
    EXPECT_FALSE(budget.tryRetry({ Outcome::Unknown, false, 1, start + 1s }, start));
    EXPECT_FALSE(budget.tryRetry({ Outcome::Ran, false, 1, start + 1s }, start));
    EXPECT_TRUE(budget.tryRetry({ Outcome::NotRun, false, 1, start + 1s }, start));
    EXPECT_TRUE(budget.tryRetry({ Outcome::Unknown, true, 1, start + 1s }, start));
}

TEST(Retry, StopsAtDeadlineAttemptsAndBudget)
{
    auto budget = RetryBudget({ .budgetRatio = 0.1, .budgetCap = 2 });
    EXPECT_FALSE(budget.tryRetry({ Outcome::NotRun, true, 1, start }, start));
    EXPECT_FALSE(budget.tryRetry({ Outcome::NotRun, true, 3, start + 1s }, start));
    EXPECT_TRUE(budget.tryRetry({ Outcome::NotRun, true, 1, start + 1s }, start));
    EXPECT_TRUE(budget.tryRetry({ Outcome::NotRun, true, 1, start + 1s }, start));
    EXPECT_FALSE(budget.tryRetry({ Outcome::NotRun, true, 1, start + 1s }, start));
    for (auto i = 0; i < 11; ++i)
        budget.recordFirstAttempt();
    EXPECT_TRUE(budget.tryRetry({ Outcome::NotRun, true, 1, start + 1s }, start));
}

TEST(CircuitBreaker, OpensAfterFailuresAndTriesAgainWithBackoff)
{
    auto circuit = CircuitBreaker({}, 1);
    for (auto i = 0; i < 3; ++i) {
        EXPECT_TRUE(circuit.allow(start));
        circuit.record(false, start);
    }
    EXPECT_FALSE(circuit.allow(start));
    EXPECT_TRUE(circuit.allow(start + 1s));
    EXPECT_FALSE(circuit.allow(start + 1s));
    circuit.record(true, start + 1s);
    EXPECT_TRUE(circuit.allow(start + 1s));
}

TEST(RouteTable, LongestPrefixAtSegmentBoundaryAndMethod)
{
    auto config = Config {};
    config.routes.resize(3);
    config.routes[0].name = "all";
    config.routes[0].prefix = "/";
    config.routes[1].name = "plans";
    config.routes[1].prefix = "/plans";
    config.routes[2].name = "pay";
    config.routes[2].prefix = "/plans/pay";
    config.routes[2].methods = { "POST" };
    const auto routes = RouteTable(config);
    EXPECT_EQ(routes.find("GET", "any.example", "/plans/1?x=1")->name, "plans");
    EXPECT_EQ(routes.find("GET", "any.example", "/plansx")->name, "all");
    EXPECT_EQ(routes.find("POST", "any.example", "/plans/pay")->name, "pay");
    EXPECT_EQ(routes.find("GET", "any.example", "/plans/pay")->name, "plans");
}

TEST(RouteTable, RejectsAmbiguousPaths)
{
    for (const auto* path : { "/open/../payments", "/a//b", "/a/%2e%2e/b", "/a%2Fb", "a", "/a/.", "/a\\b", "/x/.." })
        EXPECT_TRUE(isAmbiguousPath(path)) << path;
    for (const auto* path : { "/", "/a/b", "/a.b/c", "/a?x=/../" })
        EXPECT_FALSE(isAmbiguousPath(path)) << path;
}

TEST(RouteTable, HostNameNarrowsARouteAndLongestPrefixWins)
{
    auto config = Config {};
    const auto add = [&](const std::string& name, const std::string& host, const std::string& prefix) {
        auto route = Route {};
        route.name = name;
        route.host = host;
        route.prefix = prefix;
        config.routes.push_back(route);
    };
    add("any", "", "/a/");
    add("own", "x.example", "/a/");
    add("long", "", "/a/b/");
    const auto routes = RouteTable(config);
    EXPECT_EQ(routes.find("GET", "x.example:80", "/a/1")->name, "own");
    EXPECT_EQ(routes.find("GET", "X.EXAMPLE", "/a/1")->name, "own");
    EXPECT_EQ(routes.find("GET", "y.example", "/a/1")->name, "any");
    EXPECT_EQ(routes.find("GET", "x.example", "/a/b/1")->name, "long");
    EXPECT_EQ(routes.find("GET", "x.example", "/b/"), nullptr);
}

TEST(KeyTable, FindsTeamsByKeyExceptWithdrawnKeys)
{
    auto config = Config {};
    config.teams = { { "a", 1, 1, 1, { sha256("key-a") } }, { "b", 1, 1, 1, { sha256("key-b"), sha256("key-b2") } } };
    EXPECT_EQ(KeyTable(config).find("key-b2"), 1U);
    EXPECT_FALSE(KeyTable(config).find("key-c"));
    EXPECT_FALSE(KeyTable(config).find(""));
    config.teams[1].keys.pop_back();
    EXPECT_FALSE(KeyTable(config).find("key-b2"));
}

TEST(WithdrawnKeys, TellWithdrawnKeysFromUnknownOnes)
{
    auto config = Config {};
    config.teams = { { "a", 1, 1, 1, { sha256("key-a"), sha256("key-a2") } } };
    auto successor = config;
    successor.teams[0].keys.pop_back();
    auto withdrawn = WithdrawnKeys {};
    withdrawn.record(config, 7, KeyTable(successor));
    EXPECT_EQ(withdrawn.lastVersion(sha256("key-a2")), 7U);
    EXPECT_FALSE(withdrawn.lastVersion(sha256("key-a")));
    EXPECT_FALSE(withdrawn.lastVersion(sha256("key-b")));
    withdrawn.record(config, 12, KeyTable(successor));
    EXPECT_EQ(withdrawn.lastVersion(sha256("key-a2")), 12U);
}

TEST(WithdrawnKeys, KeepTheLatestThousand)
{
    constexpr auto count = 1100;
    auto config = Config {};
    config.teams = { { "a", 1, 1, 1, {} } };
    for (auto i = 0; i < count; ++i)
        config.teams[0].keys.push_back(sha256("key-" + std::to_string(i)));
    auto withdrawn = WithdrawnKeys {};
    withdrawn.record(config, 3, KeyTable {});
    EXPECT_FALSE(withdrawn.lastVersion(sha256("key-0")));
    EXPECT_EQ(withdrawn.lastVersion(sha256("key-1099")), 3U);
}

TEST(HostLifecycle, NeverReturnsToAnEarlierState)
{
    auto lifecycle = makeHostLifecycle();
    EXPECT_EQ(lifecycle->state(), HostState::Joining);
    lifecycle->process(HostEvent::Drained);
    EXPECT_EQ(lifecycle->state(), HostState::Joining);
    lifecycle->process(HostEvent::ConfigApplied);
    EXPECT_EQ(lifecycle->state(), HostState::Serving);
    lifecycle->process(HostEvent::StopRequested);
    lifecycle->process(HostEvent::ConfigApplied);
    EXPECT_EQ(lifecycle->state(), HostState::Leaving);
    lifecycle->process(HostEvent::Drained);
    EXPECT_EQ(lifecycle->state(), HostState::Stopped);
    EXPECT_EQ(hostStateName(lifecycle->state()), "stopped");
}

TEST(TargetHealth, StatesMatchTheTransitionTable)
{
    auto health = makeTargetHealth();
    EXPECT_EQ(health->state(), TargetState::Probing);
    health->process(TargetEvent::Answered);
    EXPECT_EQ(health->state(), TargetState::Ramping);
    health->process(TargetEvent::RampDone);
    EXPECT_EQ(health->state(), TargetState::Healthy);
    health->process(TargetEvent::Failed);
    EXPECT_EQ(health->state(), TargetState::Ejected);
    health->process(TargetEvent::ProbeOk);
    EXPECT_EQ(health->state(), TargetState::Ramping);
    health->process(TargetEvent::DrainStart);
    EXPECT_EQ(health->state(), TargetState::Draining);
    health->process(TargetEvent::DrainEnd);
    EXPECT_EQ(health->state(), TargetState::Probing);
}

} // namespace
} // namespace citronloft
