/// @file
/// @brief Admits requests under fleet-wide rates: own shares first, then loans from peers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "citronloft/fleet/lease_terms.hpp"
#include "citronloft/fleet/messages.hpp"
#include "citronloft/fleet/peer_directory.hpp"
#include "citronloft/policy/demand_shares.hpp"
#include "citronloft/policy/escrow_bucket.hpp"

namespace citronloft {

/// @brief Which peers a host borrows from; the first two are the baselines of the measurements.
enum class LendingStrategy : std::uint8_t { None, Zone, Fleet };

/// @brief Limits of borrowing.
struct RateLimiterOption {
    LendingStrategy strategy = LendingStrategy::Fleet;
    /// Demand that a host tries to have tokens for.
    Duration horizon = std::chrono::milliseconds { 250 };
    /// Least time between two rounds of asks for one bucket.
    Duration askInterval = std::chrono::milliseconds { 40 };
    /// Greatest time that a request waits for loans.
    Duration greatestWait = std::chrono::milliseconds { 400 };
    /// A request waits so long for the next tokens of its own host when no peer has any: less than a caller's retry
    /// takes, and less than most latency objectives.
    Duration tokenWait = std::chrono::milliseconds { 150 };
    /// After this an unanswered ask counts as refused.
    Duration askTimeout = std::chrono::milliseconds { 250 };
    /// Time in which new requests are refused at once after every peer has been asked in vain.
    Duration emptyInterval = std::chrono::milliseconds { 100 };
    std::size_t fanout = 8;
    std::size_t greatestWaiting = 256;
    /// Least amount in micro-tokens that one lender is asked for. Small asks need more rounds, large ones leave
    /// nothing for others while they are under way.
    std::int64_t leastAsk = microTokensPerToken;
    /// True: parts are set by setParts(), and a bucket that changes keeps its part. One host of each zone holds the
    /// zone's tokens of a bucket, and the others borrow from it.
    bool dividesByDemand = false;
    /// The same for lenders of this region.
    Duration nearAskTimeout = std::chrono::milliseconds { 250 };
    /// Part of a rate that its holders announce together beside what is asked of them, so that the first requests find
    /// tokens and a few requests more or less move none between zones.
    double holderPart = 0.5;
};

/// @return limits for rates that are divided by demand and held by one host of each zone.
auto demandRateOption() -> RateLimiterOption;

/// @brief Answer to an acquisition.
struct RateDecision {
    bool admitted = false;
    /// True if loans had to be waited for.
    bool waited = false;
    /// Suggested time before the next try of a refused request.
    Duration retryAfter {};
};

/// @brief A bucket as one host sees it, for logs; tokens are requests.
struct RateState {
    double fleetPerSecond = 0;
    double hostPerSecond = 0;
    double tokens = 0;
};

/// @brief Counts of a limiter, by reason.
struct RateLimiterStats {
    std::uint64_t admittedAtOnce = 0;
    std::uint64_t admittedAfterLoan = 0;
    std::uint64_t refusedEmpty = 0;
    std::uint64_t refusedLate = 0;
    std::uint64_t asksSent = 0;
    std::uint64_t asksReceived = 0;
    std::uint64_t loansGranted = 0;
};

/// @brief All buckets of one host.
class RateLimiter {
public:
    using Done = std::function<void(RateDecision)>;

    RateLimiter(RateLimiterOption option, LeaseTerms terms, std::uint64_t incarnation, const PeerDirectory& peers,
        PeerTransport& transport);

    /// @brief Puts the buckets of a configuration in force; buckets that stay keep their tokens.
    auto setBuckets(const std::vector<BucketSpec>& specs, TimePoint now) -> void;

    /// @brief Sets the slots that may be used from now on.
    auto setSlots(std::vector<SlotRange> slots, TimePoint now) -> void;

    /// @brief Sets this host's part of each bucket by the demand that hosts see, instead of by slots.
    /// @param partOf gives the part for a bucket and its rate per second.
    auto setParts(const std::function<double(std::uint64_t bucket, double rate)>& partOf, TimePoint now) -> void;

    /// @brief Finds the holder of each bucket anew; to be called when the zone's hosts have changed.
    auto assignHolders() -> void;

    /// @param zones zones that divide the rates.
    /// @return the zone's demand for the buckets that this host holds.
    [[nodiscard]] auto demands(std::size_t zones) const -> std::vector<BucketDemand>;

    /// @brief Takes one token, or waits for loans until `deadline` at most.
    /// @param done called once, perhaps before acquire() returns.
    /// @return id for cancel(); 0 if `done` has been called already.
    auto acquire(std::uint64_t bucket, std::int64_t amount, TimePoint deadline, TimePoint now, Done done)
        -> std::uint64_t;

    /// @brief Takes tokens only if they are here now.
    auto tryAcquire(std::uint64_t bucket, std::int64_t amount, TimePoint now) -> bool;

    /// @brief Forgets a waiting acquisition without calling `done`.
    auto cancel(std::uint64_t id) -> void;

    /// @brief Borrows ahead, settles loans and ends waits; to be called every 20 ms or so.
    auto tick(TimePoint now) -> void;

    /// @brief Lends to a peer.
    auto receive(const LoanAsk& ask, const Address& from, TimePoint now) -> void;

    /// @brief Takes a loan in.
    auto receive(const LoanGrant& grant, TimePoint now) -> void;

    [[nodiscard]] auto stats() const -> const RateLimiterStats& { return this->counts; }

    /// @return micro-tokens of a bucket that can be taken now.
    auto available(std::uint64_t bucket, TimePoint now) -> std::int64_t;

    /// @return the state of a bucket; all zero if there is none with that id.
    auto state(std::uint64_t bucket, TimePoint now) -> RateState;

private:
    struct Waiting {
        std::uint64_t id = 0;
        std::int64_t amount = 0;
        TimePoint deadline;
        Done done;
    };

    struct Bucket {
        explicit Bucket(TimePoint now)
            : escrow(now)
        {
        }

        BucketSpec spec;
        EscrowBucket escrow;
        /// The zone's holder of the bucket; nothing if it is this host.
        std::optional<Lender> holder;
        /// Micro-tokens per second that this host's callers ask for, smoothed.
        double demand = 0;
        std::int64_t demandSinceTick = 0;
        /// Micro-tokens per second that the zone's other hosts ask of their holder, without what they give back.
        double zoneDemand = 0;
        std::int64_t zoneDemandSinceTick = 0;
        /// Micro-tokens per second that this host answers for, smoothed over a longer time, for the division among
        /// hosts.
        double steadyDemand = 0;
        double part = 0;
        /// No part has been set yet.
        bool isNew = true;
        std::deque<Waiting> waiting;
        /// Lenders of the present sweep that have not been asked yet.
        std::vector<Lender> unasked;
        bool isSweeping = false;
        bool hasSweepGrant = false;
        std::size_t openAsks = 0;
        TimePoint nextAskAt {};
        TimePoint emptyUntil {};
        /// Whether tick() has something to do for the bucket.
        bool isActive = false;
    };

    /// A message to one lender.
    struct Outgoing {
        LoanAsk ask;
        Distance distance = Distance::Far;
    };

    struct OpenAsk {
        std::uint64_t lender = 0;
        std::vector<std::uint64_t> buckets;
        TimePoint expiresAt;
        TimePoint countsUntil;
        bool counts = true;
    };

    auto updateDemand(Bucket& bucket, Duration elapsed) const -> void;
    [[nodiscard]] auto missing(Bucket& bucket, TimePoint now) const -> std::int64_t;
    auto askFor(Bucket& bucket, TimePoint now) -> void;
    auto sendAsks(TimePoint now) -> void;
    auto collectSettlements(Bucket& bucket, TimePoint now) -> void;
    [[nodiscard]] auto nextRound(const Bucket& bucket) const -> std::size_t;
    [[nodiscard]] auto lendersOf(const Bucket& bucket) const -> std::vector<Lender>;
    [[nodiscard]] auto lendFor(Bucket& bucket, const LoanAsk& ask, std::int64_t amount, TimePoint now) const
        -> std::int64_t;
    auto expireAsks(TimePoint now) -> void;
    auto closeAsk(OpenAsk& ask) -> void;
    auto serveWaiting(Bucket& bucket, TimePoint now) -> void;
    [[nodiscard]] auto mayWait(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool;
    [[nodiscard]] auto isMintedSoon(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool;
    [[nodiscard]] auto greatestBacklog(const Bucket& bucket) const -> std::int64_t;
    auto takeHopeless(Bucket& bucket, TimePoint now) const -> std::deque<Waiting>;
    auto endHopelessWaits(Bucket& bucket, TimePoint now) -> void;
    auto refuse(Bucket& bucket, const Done& done, std::int64_t amount, bool late, TimePoint now) -> void;
    auto find(std::uint64_t bucket) -> Bucket*;
    auto activate(Bucket& bucket) -> void;

    RateLimiterOption option;
    LeaseTerms terms;
    std::uint64_t incarnation;
    const PeerDirectory& peers;
    PeerTransport& transport;
    std::unordered_map<std::uint64_t, std::unique_ptr<Bucket>> buckets;
    std::vector<Bucket*> active;
    std::vector<SlotRange> slots;
    std::map<std::uint64_t, OpenAsk> openAsks;
    /// Messages under way to each lender in this tick.
    std::map<std::uint64_t, Outgoing> outgoing;
    std::unordered_map<std::uint64_t, std::uint64_t> newestAskOf;
    /// Lenders that have left an ask unanswered.
    std::map<std::uint64_t, TimePoint> silentUntil;
    std::uint64_t nextSequence = 1;
    std::uint64_t nextId = 1;
    TimePoint lastTickAt {};
    RateLimiterStats counts;
};

} // namespace citronloft
