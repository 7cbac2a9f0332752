/// @file
/// @brief Two hosts share a bucket of 10 tokens per second, and one lends tokens to the other.

#include <iostream>

#include "citronloft/policy/escrow_bucket.hpp"

auto main() -> int
{
    using namespace citronloft;
    using namespace std::chrono_literals;
    const auto start = TimePoint { 1h };
    auto lender = EscrowBucket(start);
    auto borrower = EscrowBucket(start);
    const auto half = BucketShare { 5 * microTokensPerToken, 5 * microTokensPerToken };
    lender.setShare(half, start);
    borrower.setShare(half, start);

    const auto now = start + 1s;
    auto taken = 0;
    while (borrower.take(microTokensPerToken, now))
        ++taken;
    std::cout << "the borrower's own share admitted " << taken << "\n";

    const auto asked = 3 * microTokensPerToken;
    const auto lent = lender.lend(asked, 0, { .borrower = 2, .sequence = 1 }, now + 1020ms, now);
    borrower.borrow(lent, 1, 1, now + 1s);
    while (borrower.take(microTokensPerToken, now))
        ++taken;
    std::cout << "with a loan it admitted " << taken << "\n";
    std::cout << "the lender has " << lender.available(now) / microTokensPerToken << " tokens left and keeps "
              << lender.reserved() / microTokensPerToken << " of its cap unfilled\n";
    return taken == 8 ? 0 : 1;
}
