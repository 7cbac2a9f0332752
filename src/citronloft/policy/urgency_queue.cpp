#include <algorithm>
#include <list>

#include "citronloft/policy/request_queue.hpp"

namespace citronloft {

namespace {

/// Capacity of the late lane as a multiple of the slots: the number of requests that can start within one service time.
constexpr auto lateLaneSlotRatio = 1.0;
/// Maximum time in the late lane, as a multiple of the service time.
constexpr auto lateLaneServiceTimes = 2;
/// Maximum number of requests that are tried for a free target; requests further back are rarely easier to place.
constexpr auto maxScannedRequests = 24;

/// Estimates the wait of a request behind `ahead` others when `slots` requests run concurrently.
auto estimatedWait(std::size_t ahead, Duration serviceTime, std::size_t slots) -> Duration
{
    return serviceTime * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(std::max<std::size_t>(slots, 1));
}

class UrgencyQueue final : public RequestQueue {
public:
    explicit UrgencyQueue(RequestQueueOption option)
        : option(option)
    {
    }

    auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission override
    {
        if (this->size() >= this->option.capacity)
            return Admission::QueueFull;
        const auto position = this->insertPosition(request);
        const auto ahead = static_cast<std::size_t>(std::distance(this->onTime.begin(), position));
        if (now + estimatedWait(ahead, serviceTime, slots) <= request.latestOnTimeStart) {
            this->onTime.insert(position, request);
            return Admission::Queued;
        }
        const auto wait = estimatedWait(this->size(), serviceTime, slots);
        if (now + wait + serviceTime > request.deadline)
            return Admission::DeadlineTooShort;
        const auto room = std::max(static_cast<double>(slots) * lateLaneSlotRatio, 1.0);
        if (static_cast<double>(this->late.size()) >= room)
            return Admission::QueueFull;
        this->pushLate(request, serviceTime, now);
        return Admission::Queued;
    }

    auto next() -> std::optional<QueuedRequest> override
    {
        auto taken = std::optional<QueuedRequest> {};
        this->takeFirst([&](const QueuedRequest& request) {
            taken = request;
            return true;
        });
        return taken;
    }

    auto takeFirst(const TryStart& tryStart) -> bool override
    {
        return startFirstOf(this->onTime, tryStart) || startFirstOf(this->late, tryStart);
    }

    auto removeLate(Duration serviceTime, TimePoint now) -> std::vector<QueuedRequest> override
    {
        auto removed = std::vector<QueuedRequest> {};
        for (auto item = this->onTime.begin(); item != this->onTime.end();) {
            if (now <= item->latestOnTimeStart) {
                ++item;
                continue;
            }
            this->pushLate(*item, serviceTime, now);
            item = this->onTime.erase(item);
        }
        std::erase_if(this->late, [&](const QueuedRequest& request) {
            if (now < request.deadline)
                return false;
            removed.push_back(request);
            return true;
        });
        return removed;
    }

    auto remove(std::uint64_t id) -> void override
    {
        const auto hasId = [&](const QueuedRequest& request) { return request.id == id; };
        std::erase_if(this->onTime, hasId);
        std::erase_if(this->late, hasId);
    }

    [[nodiscard]] auto size() const -> std::size_t override { return this->onTime.size() + this->late.size(); }

private:
    using Lane = std::list<QueuedRequest>;

    static auto startFirstOf(Lane& lane, const TryStart& tryStart) -> bool
    {
        auto scanned = 0;
        for (auto item = lane.begin(); item != lane.end() && scanned < maxScannedRequests; ++item, ++scanned) {
            if (!tryStart(*item))
                continue;
            lane.erase(item);
            return true;
        }
        return false;
    }

    /// Returns the insertion position: ordered by rank, then by the latest useful start time.
    auto insertPosition(const QueuedRequest& request) -> Lane::iterator
    {
        return std::ranges::find_if(this->onTime, [&](const QueuedRequest& other) {
            return other.rank != request.rank ? other.rank > request.rank
                                              : other.latestOnTimeStart > request.latestOnTimeStart;
        });
    }

    /// Adds a request to the late lane, where its deadline is the time at which it is abandoned.
    auto pushLate(QueuedRequest request, Duration serviceTime, TimePoint now) -> void
    {
        request.deadline = std::min(request.deadline - serviceTime, now + serviceTime * lateLaneServiceTimes);
        const auto position
            = std::ranges::find_if(this->late, [&](const QueuedRequest& other) { return other.rank > request.rank; });
        this->late.insert(position, request);
    }

    RequestQueueOption option;
    /// Requests that can still be answered within their latency objective.
    Lane onTime;
    /// Requests that cannot; they run only if no others wait.
    Lane late;
};

} // namespace

auto makeUrgencyQueue(RequestQueueOption option) -> std::unique_ptr<RequestQueue>
{
    return std::make_unique<UrgencyQueue>(option);
}

} // namespace citronloft
