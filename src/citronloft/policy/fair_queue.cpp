#include "citronloft/policy/request_queue.hpp"

#include <algorithm>
#include <list>

namespace citronloft {

namespace {

auto moveExpired(std::deque<QueuedRequest>& queue, TimePoint cutoff, std::vector<QueuedRequest>& late) -> void
{
    std::erase_if(queue, [&](const QueuedRequest& request) {
        if (request.deadline > cutoff)
            return false;
        late.push_back(request);
        return true;
    });
}

auto removeById(std::deque<QueuedRequest>& queue, std::uint64_t id) -> void
{
    std::erase_if(queue, [&](const QueuedRequest& request) { return request.id == id; });
}

/// Estimates the time until a request behind `ahead` others is answered.
auto estimatedTimeToAnswer(std::size_t ahead, Duration serviceTime, std::size_t slots) -> Duration
{
    const auto turns = ahead / std::max<std::size_t>(slots, 1) + 1;
    return serviceTime * static_cast<std::int64_t>(turns);
}

class FifoQueue final : public RequestQueue {
public:
    explicit FifoQueue(RequestQueueOption option)
        : option(option)
    {
    }

    auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission override
    {
        if (this->queue.size() >= this->option.capacity)
            return Admission::QueueFull;
        if (request.deadline < now + estimatedTimeToAnswer(this->queue.size(), serviceTime, slots))
            return Admission::DeadlineTooShort;
        this->queue.push_back(request);
        return Admission::Queued;
    }

    auto next() -> std::optional<QueuedRequest> override
    {
        if (this->queue.empty())
            return std::nullopt;
        auto request = this->queue.front();
        this->queue.pop_front();
        return request;
    }

    auto removeLate(Duration serviceTime, TimePoint now) -> std::vector<QueuedRequest> override
    {
        auto late = std::vector<QueuedRequest> {};
        moveExpired(this->queue, now + serviceTime, late);
        return late;
    }

    auto remove(std::uint64_t id) -> void override { removeById(this->queue, id); }

    [[nodiscard]] auto size() const -> std::size_t override { return this->queue.size(); }

private:
    RequestQueueOption option;
    std::deque<QueuedRequest> queue;
};

class FairQueue final : public RequestQueue {
public:
    explicit FairQueue(RequestQueueOption option)
        : option(option)
    {
    }

    auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission override
    {
        auto& teamQueue = this->teamQueues[request.team];
        if (this->size() >= this->option.capacity && !this->canExceedCapacity(teamQueue))
            return Admission::QueueFull;
        if (request.deadline
            < now + estimatedTimeToAnswer(this->requestsAhead(teamQueue, request.weight), serviceTime, slots))
            return Admission::DeadlineTooShort;
        teamQueue.weight = std::max<std::uint32_t>(request.weight, 1);
        teamQueue.requests.push_back(request);
        ++this->count;
        if (teamQueue.turn == Turn::None) {
            teamQueue.turn = Turn::First;
            this->firstTurns.push_back(request.team);
        }
        return Admission::Queued;
    }

    auto next() -> std::optional<QueuedRequest> override
    {
        if (auto request = this->popFirstTurn())
            return request;
        while (!this->rotation.empty()) {
            auto& teamQueue = this->teamQueues[this->rotation.front()];
            if (teamQueue.requests.empty()) {
                this->endTurn(teamQueue, false);
                continue;
            }
            if (teamQueue.deficit == 0)
                teamQueue.deficit = teamQueue.weight;
            const auto request = this->pop(teamQueue);
            --teamQueue.deficit;
            if (teamQueue.deficit == 0)
                this->endTurn(teamQueue, true);
            return request;
        }
        return std::nullopt;
    }

    auto removeLate(Duration serviceTime, TimePoint now) -> std::vector<QueuedRequest> override
    {
        auto late = std::vector<QueuedRequest> {};
        for (auto& [team, teamQueue] : this->teamQueues)
            moveExpired(teamQueue.requests, now + serviceTime, late);
        this->count -= late.size();
        return late;
    }

    auto remove(std::uint64_t id) -> void override
    {
        this->count = 0;
        for (auto& [team, teamQueue] : this->teamQueues) {
            removeById(teamQueue.requests, id);
            this->count += teamQueue.requests.size();
        }
    }

    [[nodiscard]] auto size() const -> std::size_t override { return this->count; }

private:
    /// Scheduling state of a team. A team that returns after a pause gets its first turn, with one request, ahead of
    /// the rotation; it gets another such turn only after the rotation has found it without requests.
    enum class Turn : std::uint8_t { None, First, Rotating };

    struct TeamQueue {
        std::deque<QueuedRequest> requests;
        std::uint32_t weight = 1;
        std::uint32_t deficit = 0;
        Turn turn = Turn::None;
    };

    auto pop(TeamQueue& teamQueue) -> QueuedRequest
    {
        auto request = teamQueue.requests.front();
        teamQueue.requests.pop_front();
        --this->count;
        return request;
    }

    auto popFirstTurn() -> std::optional<QueuedRequest>
    {
        while (!this->firstTurns.empty()) {
            const auto team = this->firstTurns.front();
            this->firstTurns.pop_front();
            auto& teamQueue = this->teamQueues[team];
            teamQueue.turn = Turn::Rotating;
            this->rotation.push_back(team);
            if (!teamQueue.requests.empty())
                return this->pop(teamQueue);
        }
        return std::nullopt;
    }

    /// Returns whether a full queue accepts a request of a team that holds less than an even share of the capacity. The
    /// queue exceeds its capacity for it, since otherwise the latest request of the longest team queue would have to be
    /// dropped.
    [[nodiscard]] auto canExceedCapacity(const TeamQueue& teamQueue) const -> bool
    {
        if (!this->option.limitPerTeam)
            return false;
        const auto evenShare = this->option.capacity / (this->rotation.size() + this->firstTurns.size() + 1);
        return teamQueue.requests.size() < evenShare && this->size() < this->option.capacity * 2;
    }

    /// Returns the number of requests that are sent before a new request of a team: first turns, the team's own
    /// requests, and the other teams' requests in the rounds that these take.
    [[nodiscard]] auto requestsAhead(const TeamQueue& teamQueue, std::uint32_t weight) const -> std::size_t
    {
        auto ahead = this->firstTurns.size();
        if (teamQueue.turn == Turn::None)
            return ahead;
        const auto own = teamQueue.requests.size();
        const auto rounds = own / std::max<std::uint32_t>(weight, 1) + 1;
        ahead += own;
        for (const auto team : this->rotation) {
            const auto& other = this->teamQueues.at(team);
            if (&other != &teamQueue)
                ahead += std::min<std::size_t>(other.requests.size(), rounds * other.weight);
        }
        return ahead;
    }

    auto endTurn(TeamQueue& teamQueue, bool keep) -> void
    {
        const auto team = this->rotation.front();
        this->rotation.pop_front();
        teamQueue.deficit = 0;
        teamQueue.turn = keep ? Turn::Rotating : Turn::None;
        if (keep)
            this->rotation.push_back(team);
    }

    RequestQueueOption option;
    std::map<std::size_t, TeamQueue> teamQueues;
    std::deque<std::size_t> firstTurns;
    std::deque<std::size_t> rotation;
    std::size_t count = 0;
};

} // namespace

auto makeFairQueue(RequestQueueOption option) -> std::unique_ptr<RequestQueue>
{
    return std::make_unique<FairQueue>(option);
}

auto makeFifoQueue(RequestQueueOption option) -> std::unique_ptr<RequestQueue>
{
    return std::make_unique<FifoQueue>(option);
}

} // namespace citronloft
