#include <algorithm>
#include <list>

#include "citronloft/policy/fair_queue.hpp"

namespace citronloft {

namespace {

/// Requests of the late lane, in the time that one slot needs for one request: as many as could start in that time.
constexpr auto lateLaneTurns = 1.0;
/// Time that a request may spend in the late lane, in the time that one slot needs for one request.
constexpr auto lateLaneTime = 2;
/// Requests that are offered a free target before the search ends; those behind them are seldom better placed.
constexpr auto greatestScan = 24;

/// The wait of a request behind `ahead` others when `slots` of them run at the same time.
auto waitBehind(std::size_t ahead, Duration serviceTime, std::size_t slots) -> Duration
{
    return serviceTime * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(std::max<std::size_t>(slots, 1));
}

class UrgencyQueue final : public RequestQueue {
public:
    explicit UrgencyQueue(FairQueueOption option)
        : option(option)
    {
    }

    auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission override
    {
        if (this->size() >= this->option.capacity)
            return Admission::QueueFull;
        const auto place = this->placeOf(request);
        const auto ahead = static_cast<std::size_t>(std::distance(this->onTime.begin(), place));
        if (now + waitBehind(ahead, serviceTime, slots) <= request.usefulUntil) {
            this->onTime.insert(place, request);
            return Admission::Queued;
        }
        const auto wait = waitBehind(this->size(), serviceTime, slots);
        if (now + wait + serviceTime > request.deadline)
            return Admission::DeadlineTooShort;
        const auto room = std::max(static_cast<double>(slots) * lateLaneTurns, 1.0);
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
        return takeFrom(this->onTime, tryStart) || takeFrom(this->late, tryStart);
    }

    auto removeLate(Duration serviceTime, TimePoint now) -> std::vector<QueuedRequest> override
    {
        auto removed = std::vector<QueuedRequest> {};
        for (auto item = this->onTime.begin(); item != this->onTime.end();) {
            if (now <= item->usefulUntil) {
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
        const auto isIt = [&](const QueuedRequest& request) { return request.id == id; };
        std::erase_if(this->onTime, isIt);
        std::erase_if(this->late, isIt);
    }

    [[nodiscard]] auto size() const -> std::size_t override { return this->onTime.size() + this->late.size(); }

private:
    using Lane = std::list<QueuedRequest>;

    static auto takeFrom(Lane& lane, const TryStart& tryStart) -> bool
    {
        auto scanned = 0;
        for (auto item = lane.begin(); item != lane.end() && scanned < greatestScan; ++item, ++scanned) {
            if (!tryStart(*item))
                continue;
            lane.erase(item);
            return true;
        }
        return false;
    }

    /// Lower rank first, then the one whose use ends first.
    auto placeOf(const QueuedRequest& request) -> Lane::iterator
    {
        return std::ranges::find_if(this->onTime, [&](const QueuedRequest& other) {
            return other.rank != request.rank ? other.rank > request.rank : other.usefulUntil > request.usefulUntil;
        });
    }

    /// In the late lane the deadline stands for the time at which the request is given up.
    auto pushLate(QueuedRequest request, Duration serviceTime, TimePoint now) -> void
    {
        request.deadline = std::min(request.deadline - serviceTime, now + serviceTime * lateLaneTime);
        const auto place
            = std::ranges::find_if(this->late, [&](const QueuedRequest& other) { return other.rank > request.rank; });
        this->late.insert(place, request);
    }

    FairQueueOption option;
    /// Requests that can still be answered within their objective.
    Lane onTime;
    /// Requests that can't; they run when no other waits.
    Lane late;
};

} // namespace

auto makeUrgencyQueue(FairQueueOption option) -> std::unique_ptr<RequestQueue>
{
    return std::make_unique<UrgencyQueue>(option);
}

} // namespace citronloft
