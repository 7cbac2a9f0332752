#include "citronloft/policy/escrow_bucket.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace citronloft {

namespace {

__extension__ using WideInteger = __int128;

constexpr auto nanosecondsPerSecond = std::int64_t { 1'000'000'000 };

} // namespace

EscrowBucket::EscrowBucket(TimePoint now)
    : mintedAt(now)
{
}

auto EscrowBucket::setShare(BucketShare share, TimePoint now) -> void
{
    this->advance(now);
    this->currentShare = share;
    this->remainder = 0;
    this->capToShare();
}

auto EscrowBucket::available(TimePoint now) -> std::int64_t
{
    this->advance(now);
    return std::accumulate(this->borrowed.begin(), this->borrowed.end(), this->tokens,
        [](std::int64_t sum, const Borrowed& loan) { return sum + loan.remaining; });
}

auto EscrowBucket::grant(std::int64_t amount, TimePoint now) -> void
{
    this->advance(now);
    this->tokens += std::max(amount, std::int64_t { 0 });
    this->capToShare();
}

auto EscrowBucket::take(std::int64_t amount, TimePoint now) -> bool
{
    if (this->available(now) < amount)
        return false;
    for (auto& loan : this->borrowed) {
        const auto taken = std::min(amount, loan.remaining);
        loan.remaining -= taken;
        amount -= taken;
    }
    this->tokens -= amount;
    this->dropLapsedLoans(now);
    return true;
}

auto EscrowBucket::lend(std::int64_t amount, std::int64_t keep, LoanId loan, TimePoint reservedUntil, TimePoint now)
    -> std::int64_t
{
    this->advance(now);
    const auto lent = std::min(amount, this->tokens - keep);
    if (lent <= 0 || this->reservations.contains(loan))
        return 0;
    this->tokens -= lent;
    this->reservations[loan] = { lent, reservedUntil };
    return lent;
}

auto EscrowBucket::settle(LoanId loan, std::int64_t returned, TimePoint now) -> void
{
    this->advance(now);
    const auto found = this->reservations.find(loan);
    if (found == this->reservations.end())
        return;
    this->tokens += std::clamp<std::int64_t>(returned, 0, found->second.amount);
    this->reservations.erase(found);
    this->capToShare();
}

auto EscrowBucket::returnBorrowed(std::int64_t keep, TimePoint now) -> void
{
    auto surplus = this->available(now) - keep;
    while (surplus > 0 && !this->borrowed.empty() && this->borrowed.back().remaining <= surplus) {
        const auto loan = this->borrowed.back();
        this->borrowed.pop_back();
        this->settled.push_back({ loan.lender, loan.sequence, loan.remaining });
        surplus -= loan.remaining;
    }
}

auto EscrowBucket::borrow(std::int64_t amount, std::uint64_t lender, std::uint64_t sequence, TimePoint expiresAt)
    -> void
{
    const auto position = std::ranges::upper_bound(this->borrowed, expiresAt, {}, &Borrowed::expiresAt);
    this->borrowed.insert(position, { amount, lender, sequence, expiresAt });
}

auto EscrowBucket::takeSettledLoans(TimePoint now) -> std::vector<SettledLoan>
{
    this->dropLapsedLoans(now);
    return std::exchange(this->settled, {});
}

auto EscrowBucket::timeUntil(std::int64_t amount, TimePoint now) -> Duration
{
    const auto missing = amount - this->available(now);
    if (missing <= 0)
        return Duration::zero();
    if (this->currentShare.microTokensPerSecond <= 0 || this->currentShare.capMicroTokens < amount)
        return Duration::max();
    return Duration { static_cast<std::int64_t>(
        WideInteger { missing } * nanosecondsPerSecond / this->currentShare.microTokensPerSecond + 1) };
}

auto EscrowBucket::reserved() const -> std::int64_t
{
    return std::accumulate(this->reservations.begin(), this->reservations.end(), std::int64_t { 0 },
        [](std::int64_t sum, const auto& entry) { return sum + entry.second.amount; });
}

/// Mints tokens up to the end of each reservation in turn, since the effective cap grows at that time.
auto EscrowBucket::advance(TimePoint now) -> void
{
    this->dropLapsedLoans(now);
    while (true) {
        const auto next
            = std::ranges::min_element(this->reservations, {}, [](const auto& entry) { return entry.second.until; });
        if (next == this->reservations.end() || next->second.until > now)
            break;
        this->mint(this->mintedAt, std::max(this->mintedAt, next->second.until));
        this->reservations.erase(next);
    }
    this->mint(this->mintedAt, now);
}

auto EscrowBucket::mint(TimePoint from, TimePoint to) -> void
{
    if (to <= from)
        return;
    const auto minted = WideInteger { (to - from).count() } * this->currentShare.microTokensPerSecond + this->remainder;
    const auto wholeTokens
        = std::min<WideInteger>(minted / nanosecondsPerSecond, std::numeric_limits<std::int64_t>::max() / 4);
    this->remainder = static_cast<std::int64_t>(minted % nanosecondsPerSecond);
    this->tokens += static_cast<std::int64_t>(wholeTokens);
    this->mintedAt = to;
    this->capToShare();
}

auto EscrowBucket::dropLapsedLoans(TimePoint now) -> void
{
    std::erase_if(this->borrowed, [&](const Borrowed& loan) {
        if (loan.remaining > 0 && now < loan.expiresAt)
            return false;
        this->settled.push_back({ loan.lender, loan.sequence, 0 });
        return true;
    });
}

auto EscrowBucket::capToShare() -> void
{
    const auto room = std::max<std::int64_t>(this->currentShare.capMicroTokens - this->reserved(), 0);
    if (this->tokens < room)
        return;
    this->tokens = room;
    this->remainder = 0;
}

} // namespace citronloft
