#include <gtest/gtest.h>
#include <pcg_random.hpp>
#include <random>
#include <rapidcheck/gtest.h>

#include "citronloft/check/rate_window.hpp"
#include "citronloft/policy/escrow_bucket.hpp"

namespace citronloft {
namespace {

using namespace std::chrono_literals;

constexpr auto token = microTokensPerToken;

auto fullShare(double rate, double cap) -> BucketShare
{
    return { static_cast<std::int64_t>(rate * token), static_cast<std::int64_t>(cap * token) };
}

TEST(EscrowBucket, StartsEmptyAndFillsToItsCap)
{
    const auto start = TimePoint { 1h };
    auto bucket = EscrowBucket(start);
    bucket.setShare(fullShare(10, 5), start);
    EXPECT_FALSE(bucket.take(token, start));
    EXPECT_TRUE(bucket.take(token, start + 100ms));
    EXPECT_EQ(bucket.available(start + 1h), 5 * token);
}

TEST(EscrowBucket, KeepsFractionsOfSlowRates)
{
    const auto start = TimePoint { 1h };
    auto bucket = EscrowBucket(start);
    bucket.setShare({ 3, token }, start);
    // Three micro-tokens per second, queried every millisecond, are not lost to rounding.
    for (auto i = 1; i <= 10'000; ++i)
        bucket.available(start + 1ms * i);
    EXPECT_EQ(bucket.available(start + 10s), 30);
}

TEST(EscrowBucket, LentAmountStaysReservedUntilTheLoanEnds)
{
    const auto start = TimePoint { 1h };
    auto bucket = EscrowBucket(start);
    bucket.setShare(fullShare(10, 5), start);
    EXPECT_EQ(bucket.lend(3 * token, 0, { 1, 1 }, start + 11s, start + 10s), 3 * token);
    EXPECT_EQ(bucket.available(start + 10900ms), 2 * token);
    EXPECT_EQ(bucket.available(start + 12s), 5 * token);
}

TEST(EscrowBucket, SettlingTwiceReleasesOnce)
{
    const auto start = TimePoint { 1h };
    auto bucket = EscrowBucket(start);
    bucket.setShare(fullShare(0, 5), start);
    bucket.setShare(fullShare(1000, 5), start);
    bucket.available(start + 1s);
    bucket.setShare(fullShare(0, 5), start + 1s);
    EXPECT_EQ(bucket.lend(3 * token, 0, { 1, 1 }, start + 9s, start + 2s), 3 * token);
    bucket.settle({ 1, 1 }, token, start + 3s);
    bucket.settle({ 1, 1 }, token, start + 3s);
    EXPECT_EQ(bucket.available(start + 3s), 3 * token);
}

TEST(EscrowBucket, BorrowedTokensExpire)
{
    const auto start = TimePoint { 1h };
    auto bucket = EscrowBucket(start);
    bucket.borrow(2 * token, 7, 1, start + 1s);
    EXPECT_TRUE(bucket.take(token, start));
    EXPECT_FALSE(bucket.take(token, start + 1s));
    const auto settled = bucket.takeSettledLoans(start + 1s);
    ASSERT_EQ(settled.size(), 1U);
    EXPECT_EQ(settled[0].returned, 0);
}

/// Faults injected into the loan protocol; the model has to detect each of them.
enum class Mutation { None, LoanCreditedTwice, CapRefilledAtOnce, NewHolderStartsFull, BorrowerIgnoresValidity };

/// Simulates hosts with drifting clocks that take, lend and settle tokens, pause, crash, and move shares over a network
/// that loses, duplicates and delays messages.
class LoanModel {
public:
    LoanModel(std::uint64_t seed, Mutation mutation)
        : random(seed)
        , mutation(mutation)
        , window(rate * (1 + drift), burst)
    {
        const auto count = 2 + this->random(39);
        for (auto i = 0U; i < count; ++i) {
            auto unit = std::uniform_real_distribution<double>(-drift, drift);
            this->hosts.push_back({ EscrowBucket(this->now), unit(this->random) });
        }
        for (auto unit = 0U; unit < units; ++unit)
            ++this->hosts[this->random(count)].units;
        for (auto& host : this->hosts)
            this->updateShare(host);
    }

    auto run(unsigned steps) -> double
    {
        for (auto i = 0U; i < steps; ++i)
            this->step();
        return this->window.excess();
    }

private:
    static constexpr auto rate = 100.0;
    static constexpr auto burst = 40.0;
    static constexpr auto units = 40U;
    static constexpr auto drift = 0.005;
    static constexpr auto validity = Duration { 1s };
    /// Duration of the lender's reservation, and half the wait before a share moves: the validity plus clock drift on
    /// both sides.
    static constexpr auto reservation = Duration { 1020ms };

    struct Host {
        EscrowBucket bucket;
        double drift = 0;
        std::int64_t units = 0;
        bool crashed = false;
        std::uint64_t lastRequest = 0;
        std::map<std::uint64_t, TimePoint> openRequests {};
        std::map<std::uint64_t, std::uint64_t> newestRequestOf {};
    };

    struct Message {
        TimePoint at;
        std::function<void()> deliver;
    };

    auto clockOf(const Host& host) const -> TimePoint
    {
        const auto elapsed = std::chrono::duration<double, Duration::period>(this->now - this->start);
        return this->start + std::chrono::duration_cast<Duration>(elapsed * (1 + host.drift));
    }

    auto updateShare(Host& host) -> void
    {
        const auto unit = fullShare(rate / units, burst / units);
        host.bucket.setShare(
            { unit.microTokensPerSecond * host.units, unit.capMicroTokens * host.units }, this->clockOf(host));
    }

    auto randomHost() -> std::size_t { return this->random(static_cast<std::uint32_t>(this->hosts.size())); }

    auto send(std::function<void()> deliver) -> void
    {
        const auto copies = this->random(10) == 0 ? 0 : 1 + this->random(10) / 8;
        for (auto i = 0U; i < copies; ++i)
            this->messages.push_back(
                { this->now + 1ms * (1 + this->random(this->random(5) == 0 ? 1500 : 50)), deliver });
    }

    auto step() -> void
    {
        this->advance(1ms * this->random(20));
        const auto choice = this->random(24);
        if (choice < 3)
            this->take(this->randomHost());
        else if (choice < 16)
            this->requestLoan(this->randomHost(), this->randomHost());
        else if (choice < 18)
            this->moveUnit(this->randomHost(), this->randomHost());
        else if (choice == 18 && this->random(10) == 0)
            this->crash(this->randomHost());
        else if (choice < 22)
            this->settle(this->randomHost());
        else if (choice == 22)
            this->advance(1ms * this->random(3000));
        else if (this->random(3) == 0)
            this->takeEverywhere();
    }

    /// Takes all tokens on all hosts at the same time, which comes closest to the bound.
    auto takeEverywhere() -> void
    {
        for (auto index = std::size_t { 0 }; index < this->hosts.size(); ++index)
            this->take(index);
    }

    auto advance(Duration step) -> void
    {
        const auto end = this->now + step;
        while (true) {
            const auto next = std::ranges::min_element(this->messages, {}, &Message::at);
            if (next == this->messages.end() || next->at > end)
                break;
            const auto message = *next;
            this->messages.erase(next);
            this->now = std::max(this->now, message.at);
            message.deliver();
        }
        this->now = end;
    }

    auto take(std::size_t index) -> void
    {
        auto& host = this->hosts[index];
        if (host.crashed)
            return;
        while (host.bucket.take(token, this->clockOf(host)))
            this->window.add(this->now);
    }

    auto requestLoan(std::size_t from, std::size_t to) -> void
    {
        auto& borrower = this->hosts[from];
        if (from == to || borrower.crashed)
            return;
        const auto sequence = ++borrower.lastRequest;
        borrower.openRequests[sequence] = this->clockOf(borrower) + validity;
        const auto amount = static_cast<std::int64_t>(1 + this->random(4)) * token;
        this->send([this, from, to, sequence, amount] { this->lend(from, to, sequence, amount); });
    }

    auto lend(std::size_t from, std::size_t to, std::uint64_t sequence, std::int64_t amount) -> void
    {
        auto& lender = this->hosts[to];
        auto& newest = lender.newestRequestOf[from];
        if (lender.crashed || sequence <= newest)
            return;
        newest = sequence;
        const auto time = this->clockOf(lender);
        const auto until = this->mutation == Mutation::CapRefilledAtOnce ? time : time + reservation;
        const auto lent = lender.bucket.lend(amount, 0, { from, sequence }, until, time);
        this->send([this, from, to, sequence, lent] { this->credit(from, to, sequence, lent); });
    }

    auto credit(std::size_t from, std::size_t to, std::uint64_t sequence, std::int64_t lent) -> void
    {
        auto& borrower = this->hosts[from];
        const auto open = borrower.openRequests.find(sequence);
        if (borrower.crashed || lent == 0 || open == borrower.openRequests.end())
            return;
        auto expiresAt = open->second;
        if (this->mutation == Mutation::BorrowerIgnoresValidity)
            expiresAt += 1h;
        if (this->mutation != Mutation::LoanCreditedTwice)
            borrower.openRequests.erase(open);
        if (this->clockOf(borrower) < expiresAt)
            borrower.bucket.borrow(lent, to, sequence, expiresAt);
    }

    auto settle(std::size_t index) -> void
    {
        auto& borrower = this->hosts[index];
        if (borrower.crashed)
            return;
        borrower.bucket.returnBorrowed(static_cast<std::int64_t>(this->random(10)) * token, this->clockOf(borrower));
        for (const auto& loan : borrower.bucket.takeSettledLoans(this->clockOf(borrower))) {
            this->send([this, index, loan] {
                auto& lender = this->hosts[loan.lender];
                lender.bucket.settle({ index, loan.sequence }, loan.returned, this->clockOf(lender));
            });
        }
    }

    auto grantUnits(std::size_t to, std::int64_t count) -> void
    {
        auto& host = this->hosts[to];
        if (host.crashed)
            return;
        host.units += count;
        this->updateShare(host);
        if (this->mutation == Mutation::NewHolderStartsFull)
            host.bucket.borrow(host.bucket.share().capMicroTokens, to, 0, this->clockOf(host) + 1h);
    }

    /// The old holder stops using the unit immediately; the unit moves once all loans made from it must have ended.
    auto moveUnit(std::size_t from, std::size_t to) -> void
    {
        auto& holder = this->hosts[from];
        if (holder.units == 0 || holder.crashed)
            return;
        --holder.units;
        this->updateShare(holder);
        this->messages.push_back({ this->now + reservation * 2, [this, to] { this->grantUnits(to, 1); } });
    }

    auto crash(std::size_t index) -> void
    {
        auto& host = this->hosts[index];
        host.crashed = true;
        const auto count = std::exchange(host.units, 0);
        const auto to = this->randomHost();
        this->messages.push_back({ this->now + 5s, [this, to, count] { this->grantUnits(to, count); } });
    }

    pcg32 random;
    Mutation mutation;
    TimePoint start { 1h };
    TimePoint now = start;
    RateWindow window;
    std::vector<Host> hosts;
    std::vector<Message> messages;
};

constexpr auto modelSteps = 600U;

RC_GTEST_PROP(LoanModel, AdmitsNoMoreThanBurstAndRate, (std::uint64_t seed))
{
    RC_ASSERT(LoanModel(seed, Mutation::None).run(modelSteps) <= 1e-6);
}

class BrokenLoanModel : public testing::TestWithParam<Mutation> { };

/// Verifies that the model detects a broken protocol; otherwise its success would prove nothing.
TEST_P(BrokenLoanModel, IsDetected)
{
    auto detected = 0;
    for (auto seed = std::uint64_t { 1 }; seed <= 100; ++seed)
        detected += LoanModel(seed, GetParam()).run(modelSteps) > 1e-6 ? 1 : 0;
    std::cout << "detected in " << detected << " of 100 schedules\n";
    EXPECT_GT(detected, 0);
}

INSTANTIATE_TEST_SUITE_P(Mutations, BrokenLoanModel,
    testing::Values(Mutation::LoanCreditedTwice, Mutation::CapRefilledAtOnce, Mutation::NewHolderStartsFull,
        Mutation::BorrowerIgnoresValidity));

} // namespace
} // namespace citronloft
