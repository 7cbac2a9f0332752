#include "citronloft/fleet/rate_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace citronloft {

namespace {

constexpr auto demandTimeConstant = std::chrono::milliseconds { 200 };
/// Factor on the requested amount, since some lenders have less than their share of it.
constexpr auto askSurplus = 1.5;
/// Demand in micro-tokens per second below which a bucket is idle.
constexpr auto leastDemand = 1000.0;
constexpr auto leastRetryAfter = std::chrono::milliseconds { 100 };
constexpr auto greatestRetryAfter = std::chrono::seconds { 10 };

/// Bridges the gaps between a small tenant's requests, yet follows callers that move to other hosts.
constexpr auto steadyTimeConstant = std::chrono::milliseconds { 1500 };

/// Covers several round trips within a region and one tick of a busy host.
constexpr auto nearAskTimeout = std::chrono::milliseconds { 40 };
/// Covers several rounds of loan requests; callers' latency objectives end most waits earlier.
constexpr auto greatestLoanWait = std::chrono::milliseconds { 300 };
/// Covers a round trip between the two most distant regions (110 ms) and one tick.
constexpr auto remoteAskTimeout = std::chrono::milliseconds { 130 };

/// Time for which a lender that did not answer is skipped; a few requests per second detect its return.
constexpr auto silencePause = std::chrono::seconds { 1 };

auto toTokens(double microTokens) -> double { return microTokens / static_cast<double>(microTokensPerToken); }

/// @param part fraction of the bucket, from 0 to 1.
auto partOfBucket(const BucketSpec& spec, double part) -> BucketShare
{
    return { static_cast<std::int64_t>(static_cast<double>(spec.whole.microTokensPerSecond) * part),
        static_cast<std::int64_t>(static_cast<double>(spec.whole.capMicroTokens) * part) };
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
    option.askTimeout = remoteAskTimeout;
    option.nearAskTimeout = nearAskTimeout;
    option.greatestWait = greatestLoanWait;
    option.horizon = remoteAskTimeout;
    option.leastAsk = microTokensPerToken / 2;
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
                bucket->escrow.setShare(partOfBucket(spec, bucket->part), now);
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

auto RateLimiter::setParts(const std::function<double(std::uint64_t bucket, double rate)>& partOf, TimePoint now)
    -> void
{
    for (auto& [id, bucket] : this->buckets) {
        const auto rate = toTokens(static_cast<double>(bucket->spec.whole.microTokensPerSecond));
        bucket->part = partOf(id, rate);
        bucket->escrow.setShare(partOfBucket(bucket->spec, bucket->part), now);
        if (std::exchange(bucket->isNew, false))
            bucket->escrow.grant(
                static_cast<std::int64_t>(static_cast<double>(bucket->spec.startMicroTokens) * bucket->part), now);
    }
}

auto RateLimiter::assignHolders() -> void
{
    if (!this->option.dividesByDemand)
        return;
    for (auto& [id, bucket] : this->buckets)
        bucket->holder = this->peers.zoneHolder(id);
}

auto RateLimiter::demands(std::size_t zones) const -> std::vector<BucketDemand>
{
    auto list = std::vector<BucketDemand> {};
    const auto idlePart = this->option.holderPart / static_cast<double>(std::max<std::size_t>(zones, 1));
    for (const auto& [id, bucket] : this->buckets) {
        const auto idle = static_cast<double>(bucket->spec.whole.microTokensPerSecond) * idlePart;
        const auto demand = bucket->steadyDemand + (bucket->holder ? 0 : idle);
        if (demand > 0)
            list.push_back({ id, static_cast<float>(toTokens(demand)) });
    }
    return list;
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
        ++this->counts.admittedAtOnce;
        done({ .admitted = true, .waited = false, .retryAfter = {} });
        return 0;
    }
    if (!this->mayWait(*bucket, amount, now)) {
        this->refuse(*bucket, done, amount, false, now);
        return 0;
    }
    const auto id = this->nextId++;
    const auto greatestWait = std::max(this->option.greatestWait, this->option.tokenWait);
    bucket->waiting.push_back({ id, amount, std::min(deadline, now + greatestWait), std::move(done) });
    this->askFor(*bucket, now);
    this->sendAsks(now);
    // The directory can be empty, or no lender may have had tokens.
    this->endHopelessWaits(*bucket, now);
    return id;
}

auto RateLimiter::mayWait(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool
{
    if (this->option.strategy == LendingStrategy::None || bucket.waiting.size() >= this->option.greatestWaiting)
        return false;
    const auto ahead = std::accumulate(bucket.waiting.begin(), bucket.waiting.end(), amount,
        [](std::int64_t sum, const Waiting& item) { return sum + item.amount; });
    if (this->option.dividesByDemand && ahead > this->greatestBacklog(bucket))
        return false;
    return now >= bucket.emptyUntil || this->isMintedSoon(bucket, ahead, now);
}

/// Returns the micro-tokens that the whole fleet mints within the longest wait. Requests beyond this backlog cannot be
/// served in time, so a team far over its rate is refused immediately.
auto RateLimiter::greatestBacklog(const Bucket& bucket) const -> std::int64_t
{
    constexpr auto least = 2 * microTokensPerToken;
    const auto minted
        = static_cast<double>(bucket.spec.whole.microTokensPerSecond) * seconds(this->option.greatestWait);
    return std::max(static_cast<std::int64_t>(minted), least);
}

/// @return whether this host mints `amount` within the maximum wait for its own tokens.
auto RateLimiter::isMintedSoon(Bucket& bucket, std::int64_t amount, TimePoint now) const -> bool
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
        std::erase_if(bucket->waiting, [&](const Waiting& waiting) { return waiting.id == id; });
}

auto RateLimiter::tick(TimePoint now) -> void
{
    const auto elapsed = this->lastTickAt == TimePoint {} ? Duration::zero() : now - this->lastTickAt;
    this->lastTickAt = now;
    this->expireAsks(now);
    for (auto* bucket : this->active) {
        this->updateDemand(*bucket, elapsed);
        this->serveWaiting(*bucket, now);
        this->askFor(*bucket, now);
        this->endHopelessWaits(*bucket, now);
        this->collectSettlements(*bucket, now);
        const auto isIdle = bucket->demand < leastDemand && bucket->steadyDemand < leastDemand
            && bucket->zoneDemand < leastDemand && bucket->waiting.empty() && bucket->openAsks == 0
            && !bucket->escrow.hasBorrowed();
        bucket->isActive = !isIdle;
    }
    std::erase_if(this->active, [](const Bucket* bucket) { return !bucket->isActive; });
    this->sendAsks(now);
}

auto RateLimiter::activate(Bucket& bucket) -> void
{
    if (!std::exchange(bucket.isActive, true))
        this->active.push_back(&bucket);
}

auto RateLimiter::receive(const LoanAsk& ask, const Address& from, TimePoint now) -> void
{
    for (const auto& settlement : ask.settlements) {
        if (auto* bucket = this->find(settlement.bucket)) {
            bucket->escrow.settle({ ask.borrower, settlement.sequence }, settlement.returned, now);
            bucket->zoneDemandSinceTick -= ask.isForHolder ? settlement.returned : 0;
        }
    }
    if (ask.entries.empty())
        return;
    ++this->counts.asksReceived;
    auto& newest = this->newestAskOf[ask.borrower];
    if (ask.sequence <= newest)
        return;
    newest = ask.sequence;
    auto grant = LoanGrant { this->incarnation, ask.sequence, {} };
    for (const auto& entry : ask.entries) {
        auto* bucket = this->find(entry.bucket);
        const auto lent = bucket == nullptr ? 0 : this->lendFor(*bucket, ask, entry.amount, now);
        this->counts.loansGranted += lent > 0 ? 1 : 0;
        grant.entries.push_back({ entry.bucket, lent });
    }
    this->transport.send(from, grant);
}

/// Reserves tokens for the expected demand of the own zone when the borrower is in another zone.
auto RateLimiter::lendFor(Bucket& bucket, const LoanAsk& ask, std::int64_t amount, TimePoint now) const -> std::int64_t
{
    if (ask.isForHolder)
        bucket.zoneDemandSinceTick += amount;
    const auto expected = (bucket.demand + bucket.zoneDemand) * seconds(this->option.horizon);
    const auto keep = ask.isForHolder ? 0 : static_cast<std::int64_t>(expected);
    return bucket.escrow.lend(amount, keep, { ask.borrower, ask.sequence }, now + this->terms.reservation(), now);
}

auto RateLimiter::receive(const LoanGrant& grant, TimePoint now) -> void
{
    const auto found = this->openAsks.find(grant.sequence);
    if (found == this->openAsks.end() || found->second.lender != grant.lender)
        return;
    auto ask = std::move(found->second);
    this->openAsks.erase(found);
    this->closeAsk(ask);
    // A loan that arrives after its validity is discarded; the lender's reservation expires on its own.
    if (now >= ask.expiresAt)
        return;
    for (const auto& entry : grant.entries) {
        auto* bucket = this->find(entry.bucket);
        const auto wasAsked = std::ranges::find(ask.buckets, entry.bucket) != ask.buckets.end();
        if (bucket == nullptr || !wasAsked || entry.amount <= 0)
            continue;
        this->activate(*bucket);
        bucket->escrow.borrow(entry.amount, grant.lender, grant.sequence, ask.expiresAt);
        bucket->hasSweepGrant = true;
        bucket->emptyUntil = TimePoint {};
        this->serveWaiting(*bucket, now);
    }
    for (const auto id : ask.buckets) {
        auto* bucket = this->find(id);
        if (bucket == nullptr)
            continue;
        this->askFor(*bucket, now);
        this->endHopelessWaits(*bucket, now);
    }
    this->sendAsks(now);
}

auto RateLimiter::available(std::uint64_t bucket, TimePoint now) -> std::int64_t
{
    auto* found = this->find(bucket);
    return found == nullptr ? 0 : found->escrow.available(now);
}

auto RateLimiter::state(std::uint64_t bucket, TimePoint now) -> RateState
{
    auto* found = this->find(bucket);
    if (found == nullptr)
        return {};
    return { toTokens(static_cast<double>(found->spec.whole.microTokensPerSecond)),
        toTokens(static_cast<double>(found->escrow.share().microTokensPerSecond)),
        toTokens(static_cast<double>(found->escrow.available(now))) };
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

/// Returns the micro-tokens that are missing for the waiting requests and the demand within the horizon.
auto RateLimiter::missing(Bucket& bucket, TimePoint now) const -> std::int64_t
{
    const auto waiting = std::accumulate(bucket.waiting.begin(), bucket.waiting.end(), std::int64_t { 0 },
        [](std::int64_t sum, const Waiting& item) { return sum + item.amount; });
    const auto horizon = seconds(this->option.horizon);
    const auto minted = static_cast<double>(bucket.escrow.share().microTokensPerSecond) * horizon;
    // No host can serve demand beyond the bucket's fleet-wide rate, so nothing is borrowed for it.
    const auto wanted = std::min(bucket.demand, static_cast<double>(bucket.spec.whole.microTokensPerSecond)) * horizon;
    const auto ahead = std::max(wanted - minted, 0.0);
    // A deficit of less than one token within the horizon is not worth a message; a request that needs it triggers one.
    const auto prefetch = ahead < static_cast<double>(microTokensPerToken) ? 0 : static_cast<std::int64_t>(ahead);
    return waiting + prefetch - bucket.escrow.available(now);
}

auto RateLimiter::askFor(Bucket& bucket, TimePoint now) -> void
{
    const auto need = this->missing(bucket, now);
    if (this->option.strategy == LendingStrategy::None || need <= 0) {
        bucket.isSweeping = false;
        return;
    }
    if (!bucket.isSweeping) {
        const auto isTooSoon = now < bucket.nextAskAt && bucket.waiting.empty();
        if (isTooSoon || now < bucket.emptyUntil)
            return;
        bucket.unasked = this->lendersOf(bucket);
        bucket.isSweeping = true;
        bucket.hasSweepGrant = false;
        bucket.nextAskAt = now + this->option.askInterval;
    }
    if (bucket.openAsks > 0)
        return;
    const auto count = this->nextRound(bucket);
    const auto asksHolder = count > 0 && bucket.holder && bucket.unasked.front() == *bucket.holder;
    const auto surplus = asksHolder ? 1 : askSurplus;
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        const auto part = static_cast<std::int64_t>(static_cast<double>(need) * surplus / static_cast<double>(count));
        auto& [ask, distance] = this->outgoing[bucket.unasked[i].incarnation];
        ask.isForHolder = asksHolder;
        distance = bucket.unasked[i].distance;
        const auto least = std::min(need, this->option.leastAsk);
        ask.entries.push_back({ bucket.spec.id, std::max(part, least) });
        ++bucket.openAsks;
    }
    bucket.unasked.erase(bucket.unasked.begin(), bucket.unasked.begin() + static_cast<std::ptrdiff_t>(count));
}

/// When rates are divided by demand, nearer lenders are asked before farther ones, since traffic between regions costs
/// more.
/// @return the number of remaining lenders that the next round includes.
auto RateLimiter::nextRound(const Bucket& bucket) const -> std::size_t
{
    const auto greatest = std::min(this->option.fanout, bucket.unasked.size());
    if (!this->option.dividesByDemand || greatest == 0)
        return greatest;
    const auto isFarther = [&](const Lender& lender) { return lender.distance != bucket.unasked.front().distance; };
    const auto end = bucket.unasked.begin() + static_cast<std::ptrdiff_t>(greatest);
    return static_cast<std::size_t>(std::find_if(bucket.unasked.begin(), end, isFarther) - bucket.unasked.begin());
}

auto RateLimiter::lendersOf(const Bucket& bucket) const -> std::vector<Lender>
{
    auto list = this->option.dividesByDemand ? this->peers.remoteHolders(bucket.spec.id) : this->peers.lenders();
    if (this->option.strategy == LendingStrategy::Zone)
        std::erase_if(list, [](const Lender& lender) { return lender.distance != Distance::Zone; });
    if (bucket.holder)
        list.insert(list.begin(), *bucket.holder);
    std::erase_if(list, [this](const Lender& lender) { return this->silentUntil.contains(lender.incarnation); });
    return list;
}

auto RateLimiter::sendAsks(TimePoint now) -> void
{
    if (this->outgoing.empty())
        return;
    const auto known = this->peers.lenders();
    for (auto& [lender, message] : std::exchange(this->outgoing, {})) {
        auto& ask = message.ask;
        ask.borrower = this->incarnation;
        ask.sequence = this->nextSequence++;
        const auto isFar = message.distance == Distance::Far;
        const auto timeout = isFar ? this->option.askTimeout : this->option.nearAskTimeout;
        auto open = OpenAsk { lender, {}, now + this->terms.loanValidity, now + timeout, true };
        for (const auto& entry : ask.entries)
            open.buckets.push_back(entry.bucket);
        const auto peer = std::ranges::find(known, lender, &Lender::incarnation);
        if (!open.buckets.empty()) {
            ++this->counts.asksSent;
            this->openAsks[ask.sequence] = std::move(open);
        }
        if (peer != known.end())
            this->transport.send(peer->address, ask);
    }
}

auto RateLimiter::collectSettlements(Bucket& bucket, TimePoint now) -> void
{
    const auto wanted = std::max(this->missing(bucket, now) + bucket.escrow.available(now), std::int64_t { 0 });
    // Up to twice the wanted amount is kept, so that tokens do not move back and forth.
    bucket.escrow.giveBack(wanted * 2, now);
    for (const auto& loan : bucket.escrow.takeSettled(now)) {
        auto& ask = this->outgoing[loan.lender].ask;
        ask.isForHolder |= bucket.holder && bucket.holder->incarnation == loan.lender;
        ask.settlements.push_back({ bucket.spec.id, loan.sequence, loan.returned });
    }
}

auto RateLimiter::expireAsks(TimePoint now) -> void
{
    for (auto& [sequence, ask] : this->openAsks) {
        if (now < ask.countsUntil || !ask.counts)
            continue;
        this->closeAsk(ask);
        this->silentUntil[ask.lender] = now + silencePause;
    }
    std::erase_if(this->silentUntil, [&](const auto& item) { return now >= item.second; });
    std::erase_if(this->openAsks, [&](const auto& item) { return now >= item.second.expiresAt; });
}

/// Marks the request as answered or timed out, so that the sweeps of its buckets stop waiting for it.
auto RateLimiter::closeAsk(OpenAsk& ask) -> void
{
    if (!std::exchange(ask.counts, false))
        return;
    for (const auto id : ask.buckets) {
        auto* bucket = this->find(id);
        if (bucket != nullptr && bucket->openAsks > 0)
            --bucket->openAsks;
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
auto RateLimiter::takeHopeless(Bucket& bucket, TimePoint now) const -> std::deque<Waiting>
{
    auto sum = std::int64_t { 0 };
    auto kept = std::deque<Waiting> {};
    while (!bucket.waiting.empty()) {
        sum += bucket.waiting.front().amount;
        if (!this->isMintedSoon(bucket, sum, now))
            break;
        kept.push_back(std::move(bucket.waiting.front()));
        bucket.waiting.pop_front();
    }
    return std::exchange(bucket.waiting, std::move(kept));
}

/// Refuses waiting requests past their deadline, and those that cannot be served once every lender has been asked, none
/// granted tokens and no answer is pending.
auto RateLimiter::endHopelessWaits(Bucket& bucket, TimePoint now) -> void
{
    const auto isSwept = bucket.isSweeping && bucket.unasked.empty() && bucket.openAsks == 0;
    // A sweep that returned tokens is followed by another one, since requests arrived after its messages were sent.
    const auto isHopeless = isSwept && !bucket.hasSweepGrant;
    if (isSwept)
        bucket.isSweeping = false;
    auto ended = std::deque<Waiting> {};
    if (isHopeless) {
        bucket.emptyUntil = now + this->option.emptyInterval;
        ended = this->takeHopeless(bucket, now);
    }
    while (!bucket.waiting.empty() && now >= bucket.waiting.front().deadline) {
        ended.push_back(std::move(bucket.waiting.front()));
        bucket.waiting.pop_front();
    }
    for (const auto& waiting : ended)
        this->refuse(bucket, waiting.done, waiting.amount, !isHopeless, now);
}

auto RateLimiter::refuse(Bucket& bucket, const Done& done, std::int64_t amount, bool late, TimePoint now) -> void
{
    ++(late ? this->counts.refusedLate : this->counts.refusedEmpty);
    const auto own = bucket.escrow.timeUntil(amount, now);
    const auto wholeRate = std::max(static_cast<double>(bucket.spec.whole.microTokensPerSecond), 1.0);
    const auto fleet = std::chrono::duration<double>(static_cast<double>(amount) / wholeRate);
    const auto fleetTime
        = fleet > greatestRetryAfter ? Duration { greatestRetryAfter } : std::chrono::duration_cast<Duration>(fleet);
    const auto wait = std::clamp<Duration>(std::min(own, fleetTime), leastRetryAfter, greatestRetryAfter);
    done({ .admitted = false, .waited = late, .retryAfter = wait });
}

auto RateLimiter::find(std::uint64_t bucket) -> Bucket*
{
    const auto found = this->buckets.find(bucket);
    return found == this->buckets.end() ? nullptr : found->second.get();
}

} // namespace citronloft
