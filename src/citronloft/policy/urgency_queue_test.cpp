#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "citronloft/policy/request_queue.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;

constexpr auto start = TimePoint { 1h };
constexpr auto serviceTime = Duration { 100ms };

auto request(std::uint64_t id, std::uint32_t rank, Duration useful, Duration deadline = 2s) -> QueuedRequest
{
    return { .id = id, .deadline = start + deadline, .rank = rank, .latestOnTimeStart = start + useful };
}

auto order(RequestQueue& queue) -> std::vector<std::uint64_t>
{
    auto ids = std::vector<std::uint64_t> {};
    while (const auto next = queue.next())
        ids.push_back(next->id);
    return ids;
}

TEST(UrgencyQueue, LowerRankAndEarlierUsefulStartAreServedFirst)
{
    const auto queue = makeUrgencyQueue();
    queue->offer(request(1, 2, 300ms), serviceTime, 10, start);
    queue->offer(request(2, 1, 500ms), serviceTime, 10, start);
    queue->offer(request(3, 1, 200ms), serviceTime, 10, start);
    EXPECT_THAT(order(*queue), ElementsAre(3, 2, 1));
}

TEST(UrgencyQueue, RequestThatCannotMeetItsObjectiveIsServedLast)
{
    const auto queue = makeUrgencyQueue();
    queue->offer(request(1, 1, -10ms), serviceTime, 10, start);
    queue->offer(request(2, 2, 100ms), serviceTime, 10, start);
    EXPECT_THAT(order(*queue), ElementsAre(2, 1));
}

TEST(UrgencyQueue, LateLaneIsShortAndRefusesImmediately)
{
    const auto queue = makeUrgencyQueue();
    EXPECT_EQ(queue->offer(request(1, 1, 0ms), serviceTime, 2, start + 1ms), Admission::Queued);
    EXPECT_EQ(queue->offer(request(2, 1, 0ms), serviceTime, 2, start + 1ms), Admission::Queued);
    EXPECT_EQ(queue->offer(request(3, 1, 0ms), serviceTime, 2, start + 1ms), Admission::QueueFull);
    EXPECT_EQ(queue->offer(request(4, 1, 0ms, 50ms), serviceTime, 2, start + 1ms), Admission::DeadlineTooShort);
}

TEST(UrgencyQueue, LateRequestsAreAbandonedBeforeTheirDeadline)
{
    const auto queue = makeUrgencyQueue();
    queue->offer(request(1, 1, 50ms), serviceTime, 2, start);
    EXPECT_TRUE(queue->removeLate(serviceTime, start + 60ms).empty());
    EXPECT_EQ(queue->size(), 1U);
    EXPECT_EQ(queue->removeLate(serviceTime, start + 300ms).size(), 1U);
}

TEST(UrgencyQueue, RequestWhoseTargetIsBusyDoesNotBlockTheNext)
{
    const auto queue = makeUrgencyQueue();
    queue->offer(request(1, 1, 300ms), serviceTime, 10, start);
    queue->offer(request(2, 1, 400ms), serviceTime, 10, start);
    EXPECT_TRUE(queue->takeFirst([](const QueuedRequest& item) { return item.id == 2; }));
    EXPECT_FALSE(queue->takeFirst([](const QueuedRequest&) { return false; }));
    EXPECT_THAT(order(*queue), ElementsAre(1));
}

/// Simulates ten seconds of twice the load that the slots can serve and returns the number of requests that are
/// answered within their latency objective.
auto answeredInTime(RequestQueue& queue) -> int
{
    constexpr auto slots = 5;
    constexpr auto objective = Duration { 250ms };
    auto random = pcg32 { 20261204 };
    auto busyUntil = std::vector<TimePoint>(slots, start);
    auto arrived = std::map<std::uint64_t, TimePoint> {};
    auto inTime = 0;
    for (auto now = start; now < start + 10s; now += 1ms) {
        if (random(10) == 0) {
            const auto id = static_cast<std::uint64_t>(arrived.size() + 1);
            arrived[id] = now;
            queue.offer(
                { .id = id, .deadline = now + 2s, .rank = 1, .latestOnTimeStart = now + objective - serviceTime },
                serviceTime, slots, now);
        }
        queue.removeLate(serviceTime, now);
        for (auto& slot : busyUntil) {
            if (slot > now)
                continue;
            const auto next = queue.next();
            if (!next)
                break;
            slot = now + serviceTime;
            inTime += slot <= arrived[next->id] + objective ? 1 : 0;
        }
    }
    return inTime;
}

TEST(UrgencyQueue, AnswersInTimeUnderOverloadUnlikeFifo)
{
    const auto urgency = makeUrgencyQueue();
    const auto fifo = makeFifoQueue();
    const auto byUrgency = answeredInTime(*urgency);
    const auto byArrival = answeredInTime(*fifo);
    // The slots can serve 50 requests per second.
    EXPECT_GT(byUrgency, 400);
    EXPECT_LT(byArrival, byUrgency / 4);
}

} // namespace
} // namespace citronloft
