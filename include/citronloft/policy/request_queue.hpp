/// @file
/// @brief Bounded queues in front of a target pool, which order requests and refuse those that cannot be served in
/// time.
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
    /// Priority rank; requests of rank 0 are served first.
    std::uint32_t rank = 0;
    /// Latest start time at which the request can be answered within its latency objective.
    TimePoint latestOnTimeStart {};
};

/// @brief Result of offering a request to the queue.
enum class Admission : std::uint8_t { Queued, QueueFull, DeadlineTooShort };

/// @brief Limits of a queue.
struct RequestQueueOption {
    /// Maximum number of waiting requests.
    std::size_t capacity = 512;
    /// Whether a team's waiting requests are limited to capacity / (waiting teams + 1) while the queue is full.
    bool limitPerTeam = true;
};

/// @brief Holds waiting requests and determines the order in which they are sent.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    /// @brief Queues a request or refuses it.
    /// @param serviceTime mean service time of one request in one slot.
    /// @param slots number of requests that run concurrently.
    virtual auto offer(const QueuedRequest& request, Duration serviceTime, std::size_t slots, TimePoint now)
        -> Admission = 0;

    /// @brief Tries to start a request and returns whether it was started.
    using TryStart = std::function<bool(const QueuedRequest&)>;

    /// @brief Passes waiting requests to `tryStart` in queue order and removes the first one that it starts.
    ///
    /// A queue with a strict order passes only its first request, and removes it even if it cannot be started.
    /// @return whether a request was removed.
    virtual auto takeFirst(const TryStart& tryStart) -> bool
    {
        const auto first = this->next();
        return first && (tryStart(*first), true);
    }

    /// @brief Removes the next request to send.
    /// @return the request, or nothing if the queue is empty.
    virtual auto next() -> std::optional<QueuedRequest> = 0;

    /// @brief Removes the requests whose deadline has passed or that can no longer be answered in time.
    /// @param serviceTime mean service time of one request in one slot.
    virtual auto removeLate(Duration serviceTime, TimePoint now) -> std::vector<QueuedRequest> = 0;

    /// @brief Removes one request, for example because its caller has disconnected.
    virtual auto remove(std::uint64_t id) -> void = 0;

    [[nodiscard]] virtual auto size() const -> std::size_t = 0;
};

/// @brief Creates a queue with deficit round robin over teams by weight: a team that sends several times its rate
/// delays only its own requests.
auto makeFairQueue(RequestQueueOption option = {}) -> std::unique_ptr<RequestQueue>;

/// @brief Creates a queue that serves requests that can still meet their latency objective first, by rank and urgency.
///
/// The others wait in a short lane for targets that no other request needs, and are abandoned soon.
/// Load pattern: demand exceeds the capacity for seconds; a queue in order of arrival would then answer every request
/// late.
auto makeUrgencyQueue(RequestQueueOption option = {}) -> std::unique_ptr<RequestQueue>;

/// @brief Creates a first-in, first-out queue, the baseline for comparison with the fair queue.
auto makeFifoQueue(RequestQueueOption option = {}) -> std::unique_ptr<RequestQueue>;

} // namespace citronloft
