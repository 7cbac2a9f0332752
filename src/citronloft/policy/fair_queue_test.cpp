#include <gtest/gtest.h>

#include "citronloft/policy/request_queue.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto start = TimePoint { 1h };

auto request(std::uint64_t id, std::size_t team, std::uint32_t weight = 1, Duration deadline = 10s) -> QueuedRequest
{
    return { id, team, weight, start + deadline };
}

TEST(FairQueue, BusyTeamDelaysOnlyItsOwnRequests)
{
    auto queue = makeFairQueue();
    for (auto id = 0U; id < 100; ++id)
        EXPECT_EQ(queue->offer(request(id, 1), 1ms, 1, start), Admission::Queued);
    queue->next();
    queue->offer(request(1000, 2), 1ms, 1, start);
    EXPECT_EQ(queue->next()->id, 1000U);
}

TEST(FairQueue, ReturningTeamIsServedFirstOncePerRound)
{
    auto queue = makeFairQueue();
    for (auto team = 1U; team <= 4; ++team) {
        for (auto i = 0U; i < 20; ++i)
            queue->offer(request(team * 100 + i, team), 1ms, 1, start);
    }
    for (auto i = 0; i < 10; ++i)
        queue->next();
    queue->offer(request(1000, 9), 1ms, 1, start);
    EXPECT_EQ(queue->next()->id, 1000U);
    // Its next request in the same round waits for the turns of the other teams.
    queue->offer(request(1001, 9), 1ms, 1, start);
    auto others = 0;
    while (queue->next()->id != 1001)
        ++others;
    EXPECT_EQ(others, 4);
}

TEST(FairQueue, FifoMakesTheOccasionalTeamWait)
{
    auto queue = makeFifoQueue();
    for (auto id = 0U; id < 100; ++id)
        queue->offer(request(id, 1), 1ms, 1, start);
    queue->offer(request(1000, 2), 1ms, 1, start);
    for (auto i = 0; i < 100; ++i)
        EXPECT_NE(queue->next()->id, 1000U);
    EXPECT_EQ(queue->next()->id, 1000U);
}

TEST(FairQueue, WeightsDivideTheTurns)
{
    auto queue = makeFairQueue();
    for (auto id = 0U; id < 60; ++id) {
        queue->offer(request(id, 1, 1), 1ms, 1, start);
        queue->offer(request(100 + id, 2, 3), 1ms, 1, start);
    }
    // The first turn of each team has one request; later turns are divided by weight.
    EXPECT_EQ(queue->next()->team, 1U);
    EXPECT_EQ(queue->next()->team, 2U);
    auto heavy = 0;
    for (auto i = 0; i < 40; ++i)
        heavy += queue->next()->team == 2 ? 1 : 0;
    EXPECT_EQ(heavy, 30);
}

TEST(FairQueue, FullQueueStillAcceptsTheOccasionalTeam)
{
    auto queue = makeFairQueue({ .capacity = 10, .limitPerTeam = true });
    for (auto id = 0U; id < 10; ++id)
        queue->offer(request(id, 1), 1ms, 1, start);
    EXPECT_EQ(queue->offer(request(10, 1), 1ms, 1, start), Admission::QueueFull);
    EXPECT_EQ(queue->offer(request(11, 2), 1ms, 1, start), Admission::Queued);
}

TEST(FairQueue, RefusesRequestsThatCannotBeAnsweredInTime)
{
    auto queue = makeFairQueue();
    for (auto id = 0U; id < 50; ++id)
        queue->offer(request(id, 1), 10ms, 1, start);
    EXPECT_EQ(queue->offer(request(50, 1, 1, 300ms), 10ms, 1, start), Admission::DeadlineTooShort);
    EXPECT_EQ(queue->offer(request(51, 2, 1, 300ms), 10ms, 1, start), Admission::Queued);
}

TEST(FairQueue, RemovesLateRequests)
{
    for (auto& queue : { makeFairQueue(), makeFifoQueue() }) {
        queue->offer(request(1, 1, 1, 100ms), 10ms, 1, start);
        queue->offer(request(2, 1, 1, 10s), 10ms, 1, start);
        const auto late = queue->removeLate(10ms, start + 95ms);
        ASSERT_EQ(late.size(), 1U);
        EXPECT_EQ(late[0].id, 1U);
        EXPECT_EQ(queue->next()->id, 2U);
        EXPECT_FALSE(queue->next());
    }
}

TEST(FairQueue, RemovedRequestIsNeverSent)
{
    auto queue = makeFairQueue();
    queue->offer(request(1, 1), 1ms, 1, start);
    queue->offer(request(2, 1), 1ms, 1, start);
    queue->remove(1);
    EXPECT_EQ(queue->size(), 1U);
    EXPECT_EQ(queue->next()->id, 2U);
}

} // namespace
} // namespace citronloft
