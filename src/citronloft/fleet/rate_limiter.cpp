#include "citronloft/fleet/rate_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace citronloft {

namespace {

constexpr auto demandTimeConstant = std::chrono::milliseconds { 200 };
/// Factor on the requested amount, since some lenders have less than their share of it.
constexpr auto requestSurplus = 1.5;
/// Demand in micro-tokens per second below which a bucket is idle.
constexpr auto minActiveDemand = 1000.0;
constexpr auto minRetryAfter = std::chrono::milliseconds { 100 };
constexpr auto maxRetryAfter = std::chrono::seconds { 10 };

/// Bridges the gaps between a small tenant's requests, yet follows callers that move to other hosts.
constexpr auto steadyTimeConstant = std::chrono::milliseconds { 1500 };

/// Covers several round trips within a region and one tick of a busy host.
constexpr auto regionRequestTimeout = std::chrono::milliseconds { 40 };
/// Covers several rounds of loan requests; callers' latency objectives end most waits earlier.
constexpr auto maxLoanWait = std::chrono::milliseconds { 300 };
/// Covers a round trip between the two most distant regions (110 ms) and one tick.
constexpr auto interRegionRequestTimeout = std::chrono::milliseconds { 130 };

/// Time for which a lender that did not answer is skipped; a few requests per second detect its return.
constexpr auto unresponsiveLenderPause = std::chrono::seconds { 1 };

/// Time after a sweep without tokens for which nothing is borrowed ahead for a busy bucket: with tokens for half a
/// second in the hands of some hosts, others had none for 0.4 s after a surge.
constexpr auto scarcityPause = std::chrono::seconds { 1 };

auto toTokens(double microTokens) -> double { return microTokens / static_cast<double>(microTokensPerToken); }

/// @param fraction of the bucket, from 0 to 1.
auto shareOfBucket(const BucketSpec& spec, double fraction) -> BucketShare
{
    return { static_cast<std::int64_t>(static_cast<double>(spec.fleetShare.microTokensPerSecond) * fraction),
        static_cast<std::int64_t>(static_cast<double>(spec.fleetShare.capMicroTokens) * fraction) };
}

auto seconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

/// Updates an exponentially smoothed rate with the rate observed during `elapsed`.
auto smooth(double& value, double perSecond, Duration elapsed, Duration timeConstant) -> void
{
    const auto weight = 1 - std::exp(-seconds(elapsed) / seconds(timeConstant));
    value = std::max(value + (perSecond - value) * weight, 0.0);
}

} // namespace

auto demandRateOption() -> RateLimiterOption
{
    auto option = RateLimiterOption {};
    option.dividesByDemand = true;
    option.remoteRequestTimeout = interRegionRequestTimeout;
    option.regionRequestTimeout = regionRequestTimeout;
    option.maxWait = maxLoanWait;
    option.demandHorizon = interRegionRequestTimeout;
    option.minLoanRequest = microTokensPerToken / 2;
    return option;
}

RateLimiter::RateLimiter(RateLimiterOption option, LeaseTerms terms, std::uint64_t incarnation,
    const PeerDirectory& peers, PeerTransport& transport)
    : option(option)
    , terms(terms)
    , incarnation(incarnation)
    , peers(peers)
    , transport(transport)
{
}

auto RateLimiter::setBuckets(const std::vector<BucketSpec>& specs, TimePoint now) -> void
{
    auto kept = decltype(this->buckets) {};
    for (const auto& spec : specs) {
        auto old = this->buckets.find(spec.id);
        auto bucket = old == this->buckets.end() ? std::make_unique<Bucket>(now) : std::move(old->second);
        if (bucket->spec != spec) {
            bucket->spec = spec;
            if (this->option.dividesByDemand)
                bucket->escrow.setShare(shareOfBucket(spec, bucket->fraction), now);
            else
                bucket->escrow.setShare(shareOfSlots(spec, this->slots), now);
        }
        kept.insert_or_assign(spec.id, std::move(bucket));
    }
    std::swap(this->buckets, kept);
    this->active.clear();
    for (auto& [id, bucket] : this->buckets) {
        bucket->isActive = false;
        this->activate(*bucket);
    }
    this->assignHolders();
    for (auto& [id, removed] : kept) {
        if (!removed)
            continue;
        for (auto& waiting : std::exchange(removed->waiting, {}))
            waiting.done({});
    }
}

auto RateLimiter::setSlots(std::vector<SlotRange> slots, TimePoint now) -> void
{
    if (slots == this->slots)
        return;
    this->slots = std::move(slots);
    for (auto& [id, bucket] : this->buckets)
        bucket->escrow.setShare(shareOfSlots(bucket->spec, this->slots), now);
}

auto RateLimiter::setRateFractions(
    const std::function<double(std::uint64_t bucket, double rate)>& fractionOf, TimePoint now) -> void
{
    for (auto& [id, bucket] : this->buckets) {
        const auto rate = toTokens(static_cast<double>(bucket->spec.fleetShare.microTokensPerSecond));
        bucket->fraction = fractionOf(id, rate);
        bucket->escrow.setShare(shareOfBucket(bucket->spec, bucket->fraction), now);
        if (std::exchange(bucket->isNew, false))
            bucket->escrow.grant(
                static_cast<std::int64_t>(static_cast<double>(bucket->spec.startMicroTokens) * bucket->fraction), now);
    }
}

auto RateLimiter::assignHolders() -> void
{
    if (!this->option.dividesByDemand)
        return;
    for (auto& [id, bucket] : this->buckets)
        bucket->holder = this->peers.zoneHolder(id);
}

auto RateLimiter::setFleetSize(const FleetSize& fleet) -> void
{
    this->fleet = fleet;
    for (auto& [id, bucket] : this->buckets) {
        const auto rate = toTokens(static_cast<double>(bucket->spec.fleetShare.microTokensPerSecond));
        bucket->isBusy = this->option.dividesByDemand && isBusyBucket(rate, fleet, this->option.demandHorizon);
    }
}

auto RateLimiter::demands(const DemandShares& shares) const -> std::vector<BucketDemand>
{
    auto list = std::vector<BucketDemand> {};
    for (const auto& [id, bucket] : this->buckets) {
        const auto demand = this->announcedDemand(id, *bucket, shares);
        if (demand > 0)
            list.push_back({ id, static_cast<float>(demand) });
    }
    return list;
}

auto RateLimiter::announcedDemand(std::uint64_t id, const Bucket& bucket, const DemandShares& shares) const -> double
{
    const auto measured = toTokens(bucket.steadyDemand);
    if (bucket.holder)
        return measured;
    const auto rate = toTokens(static_cast<double>(bucket.spec.fleetShare.microTokensPerSecond));
    if (!bucket.isBusy)
        return measured
            + rate * this->option.holderFraction / static_cast<double>(std::max<std::size_t>(this->fleet.zones, 1));
    const auto minted = toTokens(static_cast<double>(bucket.escrow.share().microTokensPerSecond));
    return announcedHolderDemand(
        rate, this->fleet.zones, { measured, minted, shares.confirmedDemand(id), shares.othersDemand(id) });
}

auto RateLimiter::acquire(std::uint64_t bucketId, std::int64_t amount, TimePoint deadline, TimePoint now, Done done)
    -> std::uint64_t
{
    auto* bucket = this->find(bucketId);
    if (bucket == nullptr) {
        done({});
        return 0;
    }
    bucket->demandSinceTick += amount;
    this->activate(*bucket);
    if (bucket->waiting.empty() && bucket->escrow.take(amount, now)) {
        ++this->counts.admittedImmediately;
        done({ .admitted = true, .waited = false, .retryAfter = {} });
        return 0;
    }
    if (!this->canWait(*bucket, amount, now)) {
        this->refuse(*bucket, done, amount, false, now);
        return 0;
    }
    const auto id = this->nextId++;
    const auto maxWait = std::max(this->option.maxWait, this->option.tokenWait);
    bucket->waiting.push_back({ id, amount, std::min(deadline, now + maxWait), std::move(done) });
    this->requestLoans(*bucket, now);
    this->sendRequests(now);
    // The directory can be empty, or no lender may have had tokens.
    this->refuseUnservable(*bucket, now);
    return id;
}

auto RateLimiter::canWait(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool
{
    if (this->option.strategy == LendingStrategy::None || bucket.waiting.size() >= this->option.maxWaitingRequests)
        return false;
    const auto ahead = std::accumulate(bucket.waiting.begin(), bucket.waiting.end(), amount,
        [](std::int64_t sum, const WaitingRequest& item) { return sum + item.amount; });
    if (this->option.dividesByDemand && ahead > this->maxBacklog(bucket))
        return false;
    return bucket.isBusy || now >= bucket.exhaustedUntil || this->isMintedInTime(bucket, ahead, now);
}

/// Returns the micro-tokens that the whole fleet mints within the longest wait. Requests beyond this backlog cannot be
/// served in time, so a team far over its rate is refused immediately.
auto RateLimiter::maxBacklog(const Bucket& bucket) const -> std::int64_t
{
    constexpr auto minAmount = 2 * microTokensPerToken;
    const auto minted
        = static_cast<double>(bucket.spec.fleetShare.microTokensPerSecond) * seconds(this->option.maxWait);
    return std::max(static_cast<std::int64_t>(minted), minAmount);
}

/// @return whether this host mints `amount` within the maximum wait for its own tokens.
auto RateLimiter::isMintedInTime(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool
{
    return bucket.escrow.timeUntil(amount, now) <= this->option.tokenWait;
}

auto RateLimiter::tryAcquire(std::uint64_t bucketId, std::int64_t amount, TimePoint now) -> bool
{
    auto* bucket = this->find(bucketId);
    if (bucket == nullptr)
        return false;
    bucket->demandSinceTick += amount;
    this->activate(*bucket);
    return bucket->escrow.take(amount, now);
}

auto RateLimiter::cancel(std::uint64_t id) -> void
{
    for (auto* bucket : this->active)
        std::erase_if(bucket->waiting, [&](const WaitingRequest& waiting) { return waiting.id == id; });
}

auto RateLimiter::tick(TimePoint now) -> void
{
    const auto elapsed = this->lastTickAt == TimePoint {} ? Duration::zero() : now - this->lastTickAt;
    this->lastTickAt = now;
    this->expireRequests(now);
    for (auto* bucket : this->active) {
        this->updateDemand(*bucket, elapsed);
        this->serveWaiting(*bucket, now);
        this->requestLoans(*bucket, now);
        this->refuseUnservable(*bucket, now);
        this->collectSettlements(*bucket, now);
        const auto isIdle = bucket->demand < minActiveDemand && bucket->steadyDemand < minActiveDemand
            && bucket->zoneDemand < minActiveDemand && bucket->waiting.empty() && bucket->pendingRequests == 0
            && !bucket->escrow.hasBorrowed();
        bucket->isActive = !isIdle;
    }
    std::erase_if(this->active, [](const Bucket* bucket) { return !bucket->isActive; });
    this->sendRequests(now);
}

auto RateLimiter::activate(Bucket& bucket) -> void
{
    if (!std::exchange(bucket.isActive, true))
        this->active.push_back(&bucket);
}

auto RateLimiter::receive(const LoanRequest& request, const Address& from, TimePoint now) -> void
{
    for (const auto& settlement : request.settlements) {
        if (auto* bucket = this->find(settlement.bucket)) {
            bucket->escrow.settle({ request.borrower, settlement.sequence }, settlement.returned, now);
            bucket->zoneDemandSinceTick -= request.isForHolder ? settlement.returned : 0;
        }
    }
    if (request.entries.empty())
        return;
    ++this->counts.loanRequestsReceived;
    auto& newest = this->newestSequenceOf[request.borrower];
    if (request.sequence <= newest)
        return;
    newest = request.sequence;
    auto grant = LoanGrant { this->incarnation, request.sequence, {} };
    for (const auto& entry : request.entries) {
        auto* bucket = this->find(entry.bucket);
        const auto lent = bucket == nullptr ? 0 : this->lendFor(*bucket, request, entry.amount, now);
        this->counts.loansGranted += lent > 0 ? 1 : 0;
        grant.entries.push_back({ entry.bucket, lent });
    }
    this->transport.send(from, grant);
}

/// Reserves tokens for the expected demand of the own zone when the borrower is in another zone.
auto RateLimiter::lendFor(Bucket& bucket, const LoanRequest& request, std::int64_t amount, TimePoint now) const
    -> std::int64_t
{
    if (request.isForHolder)
        bucket.zoneDemandSinceTick += amount;
    // The holder of a busy bucket serves its zone's demand from what it mints; it keeps tokens for the rest.
    const auto minted = bucket.isBusy ? static_cast<double>(bucket.escrow.share().microTokensPerSecond) : 0;
    const auto expected
        = std::max(bucket.demand + bucket.zoneDemand - minted, 0.0) * seconds(this->option.demandHorizon);
    const auto keep = request.isForHolder ? 0 : static_cast<std::int64_t>(expected);
    return bucket.escrow.lend(
        amount, keep, { request.borrower, request.sequence }, now + this->terms.loanReservationTime(), now);
}

auto RateLimiter::receive(const LoanGrant& grant, TimePoint now) -> void
{
    const auto found = this->pendingRequests.find(grant.sequence);
    if (found == this->pendingRequests.end() || found->second.lender != grant.lender)
        return;
    auto request = std::move(found->second);
    this->pendingRequests.erase(found);
    this->stopAwaiting(request);
    // A loan that arrives after its validity is discarded; the lender's reservation expires on its own.
    if (now >= request.expiresAt)
        return;
    for (const auto& entry : grant.entries) {
        auto* bucket = this->find(entry.bucket);
        const auto wasAsked = std::ranges::find(request.buckets, entry.bucket) != request.buckets.end();
        if (bucket == nullptr || !wasAsked || entry.amount <= 0)
            continue;
        this->activate(*bucket);
        bucket->escrow.borrow(entry.amount, grant.lender, grant.sequence, request.expiresAt);
        bucket->hasSweepGrant = true;
        bucket->exhaustedUntil = TimePoint {};
        this->serveWaiting(*bucket, now);
    }
    for (const auto id : request.buckets) {
        auto* bucket = this->find(id);
        if (bucket == nullptr)
            continue;
        this->requestLoans(*bucket, now);
        this->refuseUnservable(*bucket, now);
    }
    this->sendRequests(now);
}

auto RateLimiter::available(std::uint64_t bucket, TimePoint now) -> std::int64_t
{
    auto* found = this->find(bucket);
    return found == nullptr ? 0 : found->escrow.available(now);
}

auto RateLimiter::state(std::uint64_t bucket, TimePoint now) const -> RateState
{
    const auto found = this->buckets.find(bucket);
    if (found == this->buckets.end())
        return {};
    // Reading the tokens of a bucket mints those that are due and ends loans, so that a copy is read.
    auto escrow = found->second->escrow;
    return { toTokens(static_cast<double>(found->second->spec.fleetShare.microTokensPerSecond)),
        toTokens(static_cast<double>(escrow.share().microTokensPerSecond)),
        toTokens(static_cast<double>(escrow.available(now))) };
}

auto RateLimiter::updateDemand(Bucket& bucket, Duration elapsed) const -> void
{
    if (elapsed <= Duration::zero())
        return;
    const auto own = static_cast<double>(std::exchange(bucket.demandSinceTick, 0)) / seconds(elapsed);
    const auto zone = static_cast<double>(std::exchange(bucket.zoneDemandSinceTick, 0)) / seconds(elapsed);
    smooth(bucket.demand, own, elapsed, demandTimeConstant);
    smooth(bucket.zoneDemand, zone, elapsed, demandTimeConstant);
    // Demand that this host directs to its holder is announced by the holder.
    smooth(bucket.steadyDemand, bucket.holder ? zone : own + zone, elapsed, steadyTimeConstant);
}

/// @return the micro-tokens that are kept for demand within the horizon.
auto RateLimiter::prefetchedTokens(const Bucket& bucket, TimePoint now) const -> std::int64_t
{
    if (bucket.isBusy && bucket.holder) {
        if (now < bucket.scarceUntil)
            return 0;
        const auto rate = static_cast<double>(bucket.spec.fleetShare.microTokensPerSecond);
        return static_cast<std::int64_t>(busyLoanTokens(rate, this->fleet, bucket.demand));
    }
    const auto demandHorizon = seconds(this->option.demandHorizon);
    const auto minted = static_cast<double>(bucket.escrow.share().microTokensPerSecond) * demandHorizon;
    // No host can serve demand beyond the bucket's fleet-wide rate, so nothing is borrowed for it.
    const auto wanted
        = std::min(bucket.demand, static_cast<double>(bucket.spec.fleetShare.microTokensPerSecond)) * demandHorizon;
    const auto ahead = std::max(wanted - minted, 0.0);
    // A deficit of less than one token within the horizon is not worth a message; a request that needs it triggers one.
    return ahead < static_cast<double>(microTokensPerToken) ? 0 : static_cast<std::int64_t>(ahead);
}

/// @return the micro-tokens for the waiting requests and the demand within the horizon.
auto RateLimiter::wantedTokens(const Bucket& bucket, TimePoint now) const -> std::int64_t
{
    return std::accumulate(bucket.waiting.begin(), bucket.waiting.end(), this->prefetchedTokens(bucket, now),
        [](std::int64_t sum, const WaitingRequest& item) { return sum + item.amount; });
}

/// Returns the micro-tokens that are missing for the waiting requests and the demand within the horizon.
auto RateLimiter::tokenDeficit(Bucket& bucket, TimePoint now) const -> std::int64_t
{
    const auto wanted = this->wantedTokens(bucket, now);
    const auto available = bucket.escrow.available(now);
    // One loan request of a busy bucket covers several requests.
    if (bucket.isBusy && bucket.holder && bucket.waiting.empty() && available >= wanted / 2)
        return 0;
    return wanted - available;
}

auto RateLimiter::requestLoans(Bucket& bucket, TimePoint now) -> void
{
    const auto need = this->tokenDeficit(bucket, now);
    if (this->option.strategy == LendingStrategy::None || need <= 0) {
        bucket.isSweeping = false;
        return;
    }
    if (!bucket.isSweeping) {
        const auto isTooSoon = now < bucket.nextSweepAt && bucket.waiting.empty();
        if (isTooSoon || now < bucket.exhaustedUntil)
            return;
        bucket.remainingLenders = this->lendersOf(bucket);
        bucket.isSweeping = true;
        bucket.hasSweepGrant = false;
        bucket.nextSweepAt = now + this->option.minSweepInterval;
    }
    if (bucket.pendingRequests > 0)
        return;
    const auto count = this->nextRoundSize(bucket);
    const auto isHolderRound = count > 0 && bucket.holder && bucket.remainingLenders.front() == *bucket.holder;
    const auto surplus = isHolderRound ? 1 : requestSurplus;
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        const auto requestedAmount
            = static_cast<std::int64_t>(static_cast<double>(need) * surplus / static_cast<double>(count));
        auto& [request, distance] = this->outgoing[bucket.remainingLenders[i].incarnation];
        request.isForHolder = isHolderRound;
        distance = bucket.remainingLenders[i].distance;
        const auto minAmount = std::min(need, this->option.minLoanRequest);
        request.entries.push_back({ bucket.spec.id, std::max(requestedAmount, minAmount) });
        ++bucket.pendingRequests;
    }
    bucket.remainingLenders.erase(
        bucket.remainingLenders.begin(), bucket.remainingLenders.begin() + static_cast<std::ptrdiff_t>(count));
}

/// When rates are divided by demand, nearer lenders are asked before farther ones, since traffic between regions costs
/// more.
/// @return the number of remaining lenders that the next round includes.
auto RateLimiter::nextRoundSize(const Bucket& bucket) const -> std::size_t
{
    const auto maxLenders = std::min(this->option.fanout, bucket.remainingLenders.size());
    if (!this->option.dividesByDemand || maxLenders == 0)
        return maxLenders;
    const auto isFarther
        = [&](const Lender& lender) { return lender.distance != bucket.remainingLenders.front().distance; };
    const auto end = bucket.remainingLenders.begin() + static_cast<std::ptrdiff_t>(maxLenders);
    return static_cast<std::size_t>(
        std::find_if(bucket.remainingLenders.begin(), end, isFarther) - bucket.remainingLenders.begin());
}

auto RateLimiter::lendersOf(const Bucket& bucket) const -> std::vector<Lender>
{
    auto list = this->option.dividesByDemand ? this->peers.remoteHolders(bucket.spec.id) : this->peers.lenders();
    if (this->option.strategy == LendingStrategy::Zone)
        std::erase_if(list, [](const Lender& lender) { return lender.distance != LenderDistance::Zone; });
    if (bucket.holder)
        list.insert(list.begin(), *bucket.holder);
    std::erase_if(list, [this](const Lender& lender) { return this->unresponsiveUntil.contains(lender.incarnation); });
    return list;
}

auto RateLimiter::sendRequests(TimePoint now) -> void
{
    if (this->outgoing.empty())
        return;
    const auto known = this->peers.lenders();
    for (auto& [lender, message] : std::exchange(this->outgoing, {})) {
        auto& request = message.request;
        request.borrower = this->incarnation;
        request.sequence = this->nextSequence++;
        const auto isFar = message.distance == LenderDistance::OtherRegion;
        const auto timeout = isFar ? this->option.remoteRequestTimeout : this->option.regionRequestTimeout;
        auto open = PendingRequest { lender, {}, now + this->terms.loanValidity, now + timeout, true };
        for (const auto& entry : request.entries)
            open.buckets.push_back(entry.bucket);
        const auto peer = std::ranges::find(known, lender, &Lender::incarnation);
        if (!open.buckets.empty()) {
            ++this->counts.loanRequestsSent;
            this->pendingRequests[request.sequence] = std::move(open);
        }
        if (peer != known.end())
            this->transport.send(peer->address, request);
    }
}

auto RateLimiter::collectSettlements(Bucket& bucket, TimePoint now) -> void
{
    const auto wanted = this->wantedTokens(bucket, now);
    // Up to twice the wanted amount is kept, so that tokens do not move back and forth.
    bucket.escrow.returnBorrowed(wanted * 2, now);
    for (const auto& loan : bucket.escrow.takeSettledLoans(now)) {
        auto& request = this->outgoing[loan.lender].request;
        request.isForHolder |= bucket.holder && bucket.holder->incarnation == loan.lender;
        request.settlements.push_back({ bucket.spec.id, loan.sequence, loan.returned });
    }
}

auto RateLimiter::expireRequests(TimePoint now) -> void
{
    for (auto& [sequence, request] : this->pendingRequests) {
        if (now < request.awaitedUntil || !request.isAwaited)
            continue;
        this->stopAwaiting(request);
        this->unresponsiveUntil[request.lender] = now + unresponsiveLenderPause;
    }
    std::erase_if(this->unresponsiveUntil, [&](const auto& item) { return now >= item.second; });
    std::erase_if(this->pendingRequests, [&](const auto& item) { return now >= item.second.expiresAt; });
}

/// Marks the request as answered or timed out, so that the sweeps of its buckets stop waiting for it.
auto RateLimiter::stopAwaiting(PendingRequest& request) -> void
{
    if (!std::exchange(request.isAwaited, false))
        return;
    for (const auto id : request.buckets) {
        auto* bucket = this->find(id);
        if (bucket != nullptr && bucket->pendingRequests > 0)
            --bucket->pendingRequests;
    }
}

auto RateLimiter::serveWaiting(Bucket& bucket, TimePoint now) -> void
{
    while (!bucket.waiting.empty() && bucket.escrow.take(bucket.waiting.front().amount, now)) {
        const auto waiting = std::move(bucket.waiting.front());
        bucket.waiting.pop_front();
        ++this->counts.admittedAfterLoan;
        waiting.done({ .admitted = true, .waited = true, .retryAfter = {} });
    }
}

/// @return the waiting requests that the tokens minted by this host cannot serve in time.
auto RateLimiter::takeUnservable(Bucket& bucket, TimePoint now) const -> std::deque<WaitingRequest>
{
    auto sum = std::int64_t { 0 };
    auto kept = std::deque<WaitingRequest> {};
    while (!bucket.waiting.empty()) {
        sum += bucket.waiting.front().amount;
        if (!this->isMintedInTime(bucket, sum, now))
            break;
        kept.push_back(std::move(bucket.waiting.front()));
        bucket.waiting.pop_front();
    }
    return std::exchange(bucket.waiting, std::move(kept));
}

/// Refuses waiting requests past their deadline, and those that cannot be served once every lender has been asked, none
/// granted tokens and no answer is pending; those for a busy bucket wait for another sweep until their deadline.
auto RateLimiter::refuseUnservable(Bucket& bucket, TimePoint now) -> void
{
    const auto isSwept = bucket.isSweeping && bucket.remainingLenders.empty() && bucket.pendingRequests == 0;
    // A sweep that returned tokens is followed by another one, since requests arrived after its messages were sent.
    const auto isUnservable = isSwept && !bucket.hasSweepGrant;
    if (isSwept)
        bucket.isSweeping = false;
    auto ended = std::deque<WaitingRequest> {};
    if (isUnservable) {
        bucket.exhaustedUntil = now + this->option.exhaustedInterval;
        bucket.scarceUntil = now + scarcityPause;
        // Lenders of a busy bucket run out of tokens for moments, between the loans of many hosts, or answer late.
        if (!bucket.isBusy)
            ended = this->takeUnservable(bucket, now);
    }
    while (!bucket.waiting.empty() && now >= bucket.waiting.front().deadline) {
        ended.push_back(std::move(bucket.waiting.front()));
        bucket.waiting.pop_front();
    }
    for (const auto& waiting : ended)
        this->refuse(bucket, waiting.done, waiting.amount, !isUnservable || bucket.isBusy, now);
}

auto RateLimiter::refuse(Bucket& bucket, const Done& done, std::int64_t amount, bool hasTimedOut, TimePoint now) -> void
{
    ++(hasTimedOut ? this->counts.refusedOnTimeout : this->counts.refusedWithoutTokens);
    const auto own = bucket.escrow.timeUntil(amount, now);
    const auto fleetRate = std::max(static_cast<double>(bucket.spec.fleetShare.microTokensPerSecond), 1.0);
    const auto fleet = std::chrono::duration<double>(static_cast<double>(amount) / fleetRate);
    const auto fleetTime
        = fleet > maxRetryAfter ? Duration { maxRetryAfter } : std::chrono::duration_cast<Duration>(fleet);
    const auto wait = std::clamp<Duration>(std::min(own, fleetTime), minRetryAfter, maxRetryAfter);
    done({ .admitted = false, .waited = hasTimedOut, .retryAfter = wait });
}

auto RateLimiter::find(std::uint64_t bucket) -> Bucket*
{
    const auto found = this->buckets.find(bucket);
    return found == this->buckets.end() ? nullptr : found->second.get();
}

} // namespace citronloft
