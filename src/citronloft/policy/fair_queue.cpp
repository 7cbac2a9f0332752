#include "citronloft/policy/fair_queue.hpp"

#include <algorithm>
#include <list>

namespace citronloft {

namespace {

auto moveLate(std::deque<QueuedRequest>& queue, TimePoint cutoff, std::vector<QueuedRequest>& late) -> void
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

/// Time until a request behind `ahead` others is answered.
auto timeToAnswer(std::size_t ahead, Duration serviceTime, std::size_t slots) -> Duration
{
    const auto turns = ahead / std::max<std::size_t>(slots, 1) + 1;
    return serviceTime * static_cast<std::int64_t>(turns);
}

class FifoQueue final : public RequestQueue {
public:
    explicit FifoQueue(FairQueueOption option)
        : option(option)
    {
    }

    auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission override
    {
        if (this->queue.size() >= this->option.capacity)
            return Admission::QueueFull;
        if (request.deadline < now + timeToAnswer(this->queue.size(), serviceTime, slots))
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
        moveLate(this->queue, now + serviceTime, late);
        return late;
    }

    auto remove(std::uint64_t id) -> void override { removeById(this->queue, id); }

    [[nodiscard]] auto size() const -> std::size_t override { return this->queue.size(); }

private:
    FairQueueOption option;
    std::deque<QueuedRequest> queue;
};

class FairQueue final : public RequestQueue {
public:
    explicit FairQueue(FairQueueOption option)
        : option(option)
    {
    }

    auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission override
    {
        auto& line = this->lines[request.team];
        if (this->size() >= this->option.capacity && !this->makeRoom(line))
            return Admission::QueueFull;
        if (request.deadline < now + timeToAnswer(this->requestsAhead(line, request.weight), serviceTime, slots))
            return Admission::DeadlineTooShort;
        line.weight = std::max<std::uint32_t>(request.weight, 1);
        line.requests.push_back(request);
        ++this->count;
        if (line.turn == Turn::None) {
            line.turn = Turn::First;
            this->firstTurns.push_back(request.team);
        }
        return Admission::Queued;
    }

    auto next() -> std::optional<QueuedRequest> override
    {
        if (auto request = this->nextOfFirstTurns())
            return request;
        while (!this->rotation.empty()) {
            auto& line = this->lines[this->rotation.front()];
            if (line.requests.empty()) {
                this->endTurn(line, false);
                continue;
            }
            if (line.deficit == 0)
                line.deficit = line.weight;
            const auto request = this->pop(line);
            --line.deficit;
            if (line.deficit == 0)
                this->endTurn(line, true);
            return request;
        }
        return std::nullopt;
    }

    auto removeLate(Duration serviceTime, TimePoint now) -> std::vector<QueuedRequest> override
    {
        auto late = std::vector<QueuedRequest> {};
        for (auto& [team, line] : this->lines)
            moveLate(line.requests, now + serviceTime, late);
        this->count -= late.size();
        return late;
    }

    auto remove(std::uint64_t id) -> void override
    {
        this->count = 0;
        for (auto& [team, line] : this->lines) {
            removeById(line.requests, id);
            this->count += line.requests.size();
        }
    }

    [[nodiscard]] auto size() const -> std::size_t override { return this->count; }

private:
    /// Where a team stands. A team that comes back after a pause has its first turn before the rotation, with one
    /// request; it gets the next such turn only after the rotation has found it without requests.
    enum class Turn : std::uint8_t { None, First, Rotating };

    struct Line {
        std::deque<QueuedRequest> requests;
        std::uint32_t weight = 1;
        std::uint32_t deficit = 0;
        Turn turn = Turn::None;
    };

    auto pop(Line& line) -> QueuedRequest
    {
        auto request = line.requests.front();
        line.requests.pop_front();
        --this->count;
        return request;
    }

    auto nextOfFirstTurns() -> std::optional<QueuedRequest>
    {
        while (!this->firstTurns.empty()) {
            const auto team = this->firstTurns.front();
            this->firstTurns.pop_front();
            auto& line = this->lines[team];
            line.turn = Turn::Rotating;
            this->rotation.push_back(team);
            if (!line.requests.empty())
                return this->pop(line);
        }
        return std::nullopt;
    }

    /// A full queue still takes a request of a team that holds less than an even part; the newest of the longest line
    /// would have to be dropped for it, so that part is kept free instead.
    [[nodiscard]] auto makeRoom(const Line& line) const -> bool
    {
        if (!this->option.limitPerTeam)
            return false;
        const auto evenPart = this->option.capacity / (this->rotation.size() + this->firstTurns.size() + 1);
        return line.requests.size() < evenPart && this->size() < this->option.capacity * 2;
    }

    /// Requests that are sent before a new one of `line`: first turns, its own line, and each other line's part of the
    /// rounds that its own line needs.
    [[nodiscard]] auto requestsAhead(const Line& line, std::uint32_t weight) const -> std::size_t
    {
        auto ahead = this->firstTurns.size();
        if (line.turn == Turn::None)
            return ahead;
        const auto own = line.requests.size();
        const auto rounds = own / std::max<std::uint32_t>(weight, 1) + 1;
        ahead += own;
        for (const auto team : this->rotation) {
            const auto& other = this->lines.at(team);
            if (&other != &line)
                ahead += std::min<std::size_t>(other.requests.size(), rounds * other.weight);
        }
        return ahead;
    }

    auto endTurn(Line& line, bool keep) -> void
    {
        const auto team = this->rotation.front();
        this->rotation.pop_front();
        line.deficit = 0;
        line.turn = keep ? Turn::Rotating : Turn::None;
        if (keep)
            this->rotation.push_back(team);
    }

    FairQueueOption option;
    std::map<std::size_t, Line> lines;
    std::deque<std::size_t> firstTurns;
    std::deque<std::size_t> rotation;
    std::size_t count = 0;
};

} // namespace

auto makeFairQueue(FairQueueOption option) -> std::unique_ptr<RequestQueue>
{
    return std::make_unique<FairQueue>(option);
}

auto makeFifoQueue(FairQueueOption option) -> std::unique_ptr<RequestQueue>
{
    return std::make_unique<FifoQueue>(option);
}

} // namespace citronloft
