/// @file
/// @brief Rate limiter: admits requests under fleet-wide rates from the host's own share and from loans of peers.
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
#include "citronloft/policy/busy_bucket.hpp"
#include "citronloft/policy/demand_shares.hpp"
#include "citronloft/policy/escrow_bucket.hpp"

namespace citronloft {

/// @brief Peers that a host borrows from. `None` and `Zone` serve as baselines in benchmarks.
enum class LendingStrategy : std::uint8_t { None, Zone, Fleet };

/// @brief Limits and timeouts of borrowing.
struct RateLimiterOption {
    LendingStrategy strategy = LendingStrategy::Fleet;
    /// Length of future demand that a host keeps tokens for.
    Duration demandHorizon = std::chrono::milliseconds { 250 };
    /// Minimum time between two sweeps of loan requests for one bucket.
    Duration minSweepInterval = std::chrono::milliseconds { 40 };
    /// Maximum time that a request waits for loans.
    Duration maxWait = std::chrono::milliseconds { 400 };
    /// Maximum time that a request waits for tokens minted by its own host when no peer has any. Shorter than a
    /// caller's retry interval and than most latency objectives.
    Duration tokenWait = std::chrono::milliseconds { 150 };
    /// Time after which an unanswered loan request counts as refused, for lenders in other regions.
    Duration remoteRequestTimeout = std::chrono::milliseconds { 250 };
    /// Time for which new requests are refused immediately after a sweep over all lenders returned no tokens.
    Duration exhaustedInterval = std::chrono::milliseconds { 100 };
    std::size_t fanout = 8;
    std::size_t maxWaitingRequests = 256;
    /// Minimum amount in micro-tokens requested from one lender. Small requests need more rounds; large ones leave
    /// nothing for other borrowers while they are pending.
    std::int64_t minLoanRequest = microTokensPerToken;
    /// If true, the host's fractions are set by setRateFractions(), and a bucket whose specification changes keeps its
    /// fraction. One host of each zone holds the zone's tokens of a bucket, and the others borrow from it. If false,
    /// shares follow the slots.
    bool dividesByDemand = false;
    /// Time after which an unanswered loan request counts as refused, for lenders in this region.
    Duration regionRequestTimeout = std::chrono::milliseconds { 250 };
    /// Fraction of a rate that its holders announce together in addition to the measured demand, so that the first
    /// requests find tokens and small changes of demand move no tokens between zones.
    double holderFraction = 0.5;
};

/// @return options for rates that are divided by demand and held by one host of each zone.
auto demandRateOption() -> RateLimiterOption;

/// @brief Result of an acquisition.
struct RateDecision {
    bool admitted = false;
    /// True if the request was admitted after a wait for tokens, or its wait timed out.
    bool waited = false;
    /// Suggested delay before a refused request is retried.
    Duration retryAfter {};
};

/// @brief State of a bucket on one host, for logs; in tokens, one token per request.
struct RateState {
    double fleetPerSecond = 0;
    double hostPerSecond = 0;
    double tokens = 0;
};

/// @brief Counters of a rate limiter, by reason.
struct RateLimiterStats {
    std::uint64_t admittedImmediately = 0;
    std::uint64_t admittedAfterLoan = 0;
    std::uint64_t refusedWithoutTokens = 0;
    std::uint64_t refusedOnTimeout = 0;
    std::uint64_t loanRequestsSent = 0;
    std::uint64_t loanRequestsReceived = 0;
    std::uint64_t loansGranted = 0;
};

/// @brief Rate limiter of one host, with all its buckets.
class RateLimiter {
public:
    using Done = std::function<void(RateDecision)>;

    RateLimiter(RateLimiterOption option, LeaseTerms terms, std::uint64_t incarnation, const PeerDirectory& peers,
        PeerTransport& transport);

    /// @brief Applies the buckets of a configuration. Buckets that remain keep their tokens; requests waiting for a
    /// removed bucket are refused.
    auto setBuckets(const std::vector<BucketSpec>& specs, TimePoint now) -> void;

    /// @brief Sets the slots whose tokens this host can use.
    auto setSlots(std::vector<SlotRange> slots, TimePoint now) -> void;

    /// @brief Sets this host's fraction of each bucket by demand instead of by slots.
    /// @param fractionOf returns the fraction, from 0 to 1, for a bucket and its rate in tokens per second.
    auto setRateFractions(const std::function<double(std::uint64_t bucket, double rate)>& fractionOf, TimePoint now)
        -> void;

    /// @brief Recomputes the holder of each bucket; must be called when the zone's hosts have changed.
    auto assignHolders() -> void;

    /// @brief Sets the number of zones and hosts that share the rates.
    auto setFleetSize(const FleetSize& fleet) -> void;

    /// @param shares division of the rates among the hosts.
    /// @return the demand that this host announces for each bucket, in tokens per second. Demand that it directs to
    /// another holder of the zone is announced by that holder.
    [[nodiscard]] auto demands(const DemandShares& shares) const -> std::vector<BucketDemand>;

    /// @brief Takes `amount` micro-tokens, or waits for loans until `deadline` at most.
    /// @param done called exactly once, possibly before acquire() returns.
    /// @return id for cancel(); 0 if `done` has already been called.
    auto acquire(std::uint64_t bucket, std::int64_t amount, TimePoint deadline, TimePoint now, Done done)
        -> std::uint64_t;

    /// @brief Takes `amount` micro-tokens if they are available without waiting.
    auto tryAcquire(std::uint64_t bucket, std::int64_t amount, TimePoint now) -> bool;

    /// @brief Removes a waiting acquisition without calling `done`.
    auto cancel(std::uint64_t id) -> void;

    /// @brief Borrows for expected demand, settles loans and ends waits; must be called about every 20 ms.
    auto tick(TimePoint now) -> void;

    /// @brief Processes a loan request of a peer and answers it.
    auto receive(const LoanRequest& request, const Address& from, TimePoint now) -> void;

    /// @brief Processes a peer's answer to a loan request.
    auto receive(const LoanGrant& grant, TimePoint now) -> void;

    [[nodiscard]] auto stats() const -> const RateLimiterStats& { return this->counts; }

    /// @return micro-tokens of a bucket that are available now.
    auto available(std::uint64_t bucket, TimePoint now) -> std::int64_t;

    /// @return the state of a bucket, which is not changed; all zero if the bucket does not exist.
    [[nodiscard]] auto state(std::uint64_t bucket, TimePoint now) const -> RateState;

private:
    struct WaitingRequest {
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
        /// Host that holds the zone's tokens of the bucket; empty if it is this host.
        std::optional<Lender> holder;
        /// Smoothed demand of this host's callers, in micro-tokens per second.
        double demand = 0;
        std::int64_t demandSinceTick = 0;
        /// Smoothed demand of the zone's other hosts on this host as holder, less the tokens they return, in
        /// micro-tokens per second.
        double zoneDemand = 0;
        std::int64_t zoneDemandSinceTick = 0;
        /// Demand that this host announces for the division among hosts, smoothed over a longer time, in micro-tokens
        /// per second.
        double steadyDemand = 0;
        double fraction = 0;
        /// True until a fraction has been set.
        bool isNew = true;
        /// Whether many hosts with few requests each borrow from the bucket's holders; see isBusyBucket().
        bool isBusy = false;
        std::deque<WaitingRequest> waiting;
        /// Lenders of the current sweep that no request has been sent to.
        std::vector<Lender> remainingLenders;
        bool isSweeping = false;
        bool hasSweepGrant = false;
        std::size_t pendingRequests = 0;
        TimePoint nextSweepAt {};
        TimePoint exhaustedUntil {};
        /// Time until which nothing is borrowed ahead for a busy bucket.
        TimePoint scarceUntil {};
        /// True if tick() has to process the bucket.
        bool isActive = false;
    };

    /// Loan request and settlements to be sent to one lender.
    struct OutgoingRequest {
        LoanRequest request;
        LenderDistance distance = LenderDistance::OtherRegion;
    };

    struct PendingRequest {
        std::uint64_t lender = 0;
        std::vector<std::uint64_t> buckets;
        TimePoint expiresAt;
        TimePoint awaitedUntil;
        bool isAwaited = true;
    };

    auto updateDemand(Bucket& bucket, Duration elapsed) const -> void;
    [[nodiscard]] auto announcedDemand(std::uint64_t id, const Bucket& bucket, const DemandShares& shares) const
        -> double;
    [[nodiscard]] auto prefetchedTokens(const Bucket& bucket, TimePoint now) const -> std::int64_t;
    [[nodiscard]] auto wantedTokens(const Bucket& bucket, TimePoint now) const -> std::int64_t;
    [[nodiscard]] auto tokenDeficit(Bucket& bucket, TimePoint now) const -> std::int64_t;
    auto requestLoans(Bucket& bucket, TimePoint now) -> void;
    auto sendRequests(TimePoint now) -> void;
    auto collectSettlements(Bucket& bucket, TimePoint now) -> void;
    [[nodiscard]] auto nextRoundSize(const Bucket& bucket) const -> std::size_t;
    [[nodiscard]] auto lendersOf(const Bucket& bucket) const -> std::vector<Lender>;
    [[nodiscard]] auto lendFor(Bucket& bucket, const LoanRequest& request, std::int64_t amount, TimePoint now) const
        -> std::int64_t;
    auto expireRequests(TimePoint now) -> void;
    auto stopAwaiting(PendingRequest& request) -> void;
    auto serveWaiting(Bucket& bucket, TimePoint now) -> void;
    [[nodiscard]] auto canWait(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool;
    [[nodiscard]] auto isMintedInTime(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool;
    [[nodiscard]] auto maxBacklog(const Bucket& bucket) const -> std::int64_t;
    auto takeUnservable(Bucket& bucket, TimePoint now) const -> std::deque<WaitingRequest>;
    auto refuseUnservable(Bucket& bucket, TimePoint now) -> void;
    auto refuse(Bucket& bucket, const Done& done, std::int64_t amount, bool hasTimedOut, TimePoint now) -> void;
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
    std::map<std::uint64_t, PendingRequest> pendingRequests;
    /// Messages collected for each lender and not sent yet, by its incarnation.
    std::map<std::uint64_t, OutgoingRequest> outgoing;
    std::unordered_map<std::uint64_t, std::uint64_t> newestSequenceOf;
    /// Lenders that did not answer a loan request, with the time until which none is sent to them.
    std::map<std::uint64_t, TimePoint> unresponsiveUntil;
    FleetSize fleet;
    std::uint64_t nextSequence = 1;
    std::uint64_t nextId = 1;
    TimePoint lastTickAt {};
    RateLimiterStats counts;
};

} // namespace citronloft
