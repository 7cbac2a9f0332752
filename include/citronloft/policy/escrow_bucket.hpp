/// @file
/// @brief One host's share of a fleet-wide token bucket, with loans between hosts.
///
/// Fleet-wide invariant: the sum over all hosts of tokens and of reservations for loans never exceeds the sum of the
/// caps, and tokens are minted only at the rate of the shares. Hence all hosts together admit at most
/// burst + rate x window requests in any window (docs/design/rates.md).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/shares.hpp"

namespace citronloft {

/// @brief Identity of a loan: incarnation of the borrower and sequence number of its loan request.
struct LoanId {
    std::uint64_t borrower = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const LoanId&) const = default;
};

/// @brief A loan that has ended at the borrower, so that the lender can release its reservation.
struct SettledLoan {
    std::uint64_t lender = 0;
    std::uint64_t sequence = 0;
    /// Unspent micro-tokens that the borrower returns.
    std::int64_t returned = 0;
};

/// @brief One host's tokens of one bucket.
class EscrowBucket {
public:
    /// @brief Creates a bucket without a share or tokens.
    explicit EscrowBucket(TimePoint now);

    /// @brief Sets the host's share. A larger share adds no tokens immediately; a smaller one discards the tokens above
    /// its cap.
    auto setShare(BucketShare share, TimePoint now) -> void;

    /// @return own and borrowed micro-tokens that are available now.
    auto available(TimePoint now) -> std::int64_t;

    /// @brief Adds micro-tokens, up to the cap.
    auto grant(std::int64_t amount, TimePoint now) -> void;

    /// @brief Takes `amount` micro-tokens, borrowed ones first.
    /// @return false, without taking any, if fewer are available.
    auto take(std::int64_t amount, TimePoint now) -> bool;

    /// @brief Lends up to `amount` of the host's own micro-tokens.
    /// @param keep micro-tokens that are retained for the host's own callers.
    /// @param reservedUntil time until which the lent amount stays deducted from the cap, unless the loan is settled
    /// before.
    /// @return micro-tokens lent, possibly 0.
    auto lend(std::int64_t amount, std::int64_t keep, LoanId loan, TimePoint reservedUntil, TimePoint now)
        -> std::int64_t;

    /// @brief Releases the reservation of a loan and adds the returned tokens; a second call for the same loan has no
    /// effect.
    auto settle(LoanId loan, std::int64_t returned, TimePoint now) -> void;

    /// @brief Ends loans that are not needed to keep `keep` micro-tokens available; takeSettledLoans() reports them.
    auto returnBorrowed(std::int64_t keep, TimePoint now) -> void;

    /// @brief Adds borrowed micro-tokens, which expire at `expiresAt`.
    auto borrow(std::int64_t amount, std::uint64_t lender, std::uint64_t sequence, TimePoint expiresAt) -> void;

    /// @return loans that were spent, expired or were returned since the last call.
    auto takeSettledLoans(TimePoint now) -> std::vector<SettledLoan>;

    /// @return time until the host's own minting makes `amount` available; Duration::max() if it never does.
    auto timeUntil(std::int64_t amount, TimePoint now) -> Duration;

    /// @return whether a loan is held or remains to be reported as settled.
    [[nodiscard]] auto hasBorrowed() const -> bool { return !this->borrowed.empty() || !this->settled.empty(); }

    [[nodiscard]] auto share() const -> const BucketShare& { return this->currentShare; }

    /// @return micro-tokens of the cap that are reserved for loans to other hosts.
    [[nodiscard]] auto reserved() const -> std::int64_t;

private:
    struct Borrowed {
        std::int64_t remaining = 0;
        std::uint64_t lender = 0;
        std::uint64_t sequence = 0;
        TimePoint expiresAt;
    };

    struct Reservation {
        std::int64_t amount = 0;
        TimePoint until;
    };

    auto advance(TimePoint now) -> void;
    auto mint(TimePoint from, TimePoint to) -> void;
    auto dropLapsedLoans(TimePoint now) -> void;
    auto capToShare() -> void;

    BucketShare currentShare;
    std::int64_t tokens = 0;
    /// Fraction of a micro-token, in micro-token nanoseconds per second.
    std::int64_t remainder = 0;
    TimePoint mintedAt;
    std::vector<Borrowed> borrowed;
    std::map<LoanId, Reservation> reservations;
    std::vector<SettledLoan> settled;
};

} // namespace citronloft
