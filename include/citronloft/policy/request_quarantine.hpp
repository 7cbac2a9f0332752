/// @file
/// @brief Finds requests that crash the targets that run them, and keeps them from further targets.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "citronloft/base/clock.hpp"

namespace citronloft {

/// @brief A request was lost when its connection to a target ended, or a target answered it.
struct RequestObservation {
    /// Identity that equal requests share (computeRequestIdentity()).
    std::uint64_t request = 0;
    /// Hash of the key of the target's run; 0 if a target answered the request.
    std::uint64_t target = 0;
    TimePoint observedAt {};
};

/// @brief Limits of a RequestQuarantine.
struct RequestQuarantineOption {
    /// Number of times that a request must have been lost with a target, without an answer since.
    unsigned losses = 3;
    /// Minimum time between two losses that count separately. Targets that fail at the same moment, for whatever
    /// reason, take the same requests with them.
    Duration minSpacing = std::chrono::milliseconds { 100 };
    /// Minimum time between two losses with one target; it must have started again, or serve on.
    Duration restartTime = std::chrono::seconds { 1 };
    /// Time for which a loss counts.
    Duration memory = std::chrono::minutes { 10 };
    /// Time for which a request stays in quarantine. For the same time after it, one loss is enough to return.
    Duration term = std::chrono::minutes { 10 };
    /// Maximum number of requests that are remembered.
    std::size_t maxRequests = 8192;
};

/// @brief Decides which requests no target may run, from the observations of all hosts.
///
/// Load pattern: a request crashes each target that begins to run it, and its caller sends it again and again. Each
/// crash also loses the other requests of the target, and these must not be held responsible: they are answered
/// elsewhere, while the one that crashes targets is never answered.
class RequestQuarantine {
public:
    explicit RequestQuarantine(RequestQuarantineOption option = {});

    /// @brief Adds an observation of any host; observations may arrive in any order.
    /// @return whether the request is in quarantine because of this observation.
    auto record(const RequestObservation& observation, TimePoint now) -> bool;

    /// @brief Puts a request into quarantine because of another host's finding.
    auto quarantine(std::uint64_t request, TimePoint until) -> void;

    /// @brief Ends the quarantine of a request and forgets its losses.
    auto lift(std::uint64_t request) -> void { this->requests.erase(request); }

    [[nodiscard]] auto isQuarantined(std::uint64_t request, TimePoint now) const -> bool;

    /// @return whether losses of the request are known, so that an answer to it is of interest.
    [[nodiscard]] auto isSuspected(std::uint64_t request) const -> bool;

    /// @return whether a lost request can be sent to another target at once. It cannot if one more loss would put it
    /// into quarantine.
    /// @param unreportedLosses losses of the request that record() does not know yet.
    [[nodiscard]] auto allowsRetry(std::uint64_t request, unsigned unreportedLosses = 0) const -> bool;

    /// @return whether no request is suspected or in quarantine.
    [[nodiscard]] auto isEmpty() const -> bool { return this->requests.empty(); }

    /// @return the end of the quarantine of a request that is put into it now.
    [[nodiscard]] auto termEnd(TimePoint now) const -> TimePoint { return now + this->option.term; }

    /// @return the number of requests in quarantine.
    [[nodiscard]] auto quarantinedCount(TimePoint now) const -> std::size_t;

    /// @brief Forgets losses that no longer count; call regularly.
    auto tick(TimePoint now) -> void;

private:
    struct Loss {
        std::uint64_t target = 0;
        TimePoint at;
    };

    struct Request {
        /// Ordered by time.
        std::vector<Loss> losses;
        /// Time of the latest answer; earlier losses do not count.
        std::optional<TimePoint> answeredAt;
        /// End of the present or last quarantine.
        std::optional<TimePoint> quarantinedUntil;
    };

    auto recordAnswer(std::uint64_t request, TimePoint at) -> void;
    auto makeRoom() -> bool;
    [[nodiscard]] auto isRepeated(const Request& request, const RequestObservation& loss) const -> bool;
    [[nodiscard]] auto countLosses(const Request& request) const -> unsigned;
    [[nodiscard]] auto isForgettable(const Request& request, TimePoint now) const -> bool;

    RequestQuarantineOption option;
    std::unordered_map<std::uint64_t, Request> requests;
    TimePoint nextSweepAt {};
};

} // namespace citronloft
