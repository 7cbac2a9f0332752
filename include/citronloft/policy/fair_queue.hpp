/// @file
/// @brief Bounded queue in front of a target pool: who goes next, and who is refused early.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief A request that waits for a slot of the pool.
struct QueuedRequest {
    std::uint64_t id = 0;
    /// Index of the team; open routes share one index.
    std::size_t team = 0;
    std::uint32_t weight = 1;
    TimePoint deadline;
    /// Rank among waiting requests, 0 is served first.
    std::uint32_t rank = 0;
    /// Latest start at which the request is answered within its objective.
    TimePoint usefulUntil {};
};

/// @brief Result of offering a request to the queue.
enum class Admission : std::uint8_t { Queued, QueueFull, DeadlineTooShort };

/// @brief Limits of a queue.
struct FairQueueOption {
    /// Requests that may wait in all.
    std::size_t capacity = 512;
    /// Requests that one team may have waiting while others wait too: capacity / (teams waiting + 1).
    bool limitPerTeam = true;
};

/// @brief Order in which waiting requests are sent.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    /// @param serviceTime mean time that one slot needs for one request.
    /// @param slots requests that run at the same time.
    virtual auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission = 0;

    /// @brief Starts a request and says whether it could be started.
    using TryStart = std::function<bool(const QueuedRequest&)>;

    /// @brief Offers waiting requests to `tryStart` in their order and removes the first that it starts.
    ///
    /// A queue whose order must be kept offers its first request only, and drops it if it can't be started.
    /// @return whether a request was removed.
    virtual auto takeFirst(const TryStart& tryStart) -> bool
    {
        const auto first = this->next();
        return first && (tryStart(*first), true);
    }

    /// @return the next request to send, or nothing if none waits.
    virtual auto next() -> std::optional<QueuedRequest> = 0;

    /// @brief Removes the requests whose deadline has passed or that cannot be answered in time any more.
    /// @param serviceTime mean time that one slot needs for one request.
    virtual auto removeLate(Duration serviceTime, TimePoint now) -> std::vector<QueuedRequest> = 0;

    /// @brief Removes one request, for example when its caller has gone.
    virtual auto remove(std::uint64_t id) -> void = 0;

    [[nodiscard]] virtual auto size() const -> std::size_t = 0;
};

/// @brief Deficit round robin over teams by weight: a team at several times its rate delays only itself.
auto makeFairQueue(FairQueueOption option = {}) -> std::unique_ptr<RequestQueue>;

/// @brief Requests that can still be answered within their objective go first, by rank and urgency; the others wait in
/// a short lane for targets that nobody else needs, and are given up soon.
///
/// Load pattern: demand above capacity for seconds. A queue in order of arrival then answers every request late.
auto makeUrgencyQueue(FairQueueOption option = {}) -> std::unique_ptr<RequestQueue>;

/// @brief First in, first out; the baseline that the fair queue is measured against.
auto makeFifoQueue(FairQueueOption option = {}) -> std::unique_ptr<RequestQueue>;

} // namespace citronloft
