/// @file
/// @brief One host's part of a fleet-wide token bucket, with loans between hosts.
///
/// Invariant over the fleet: the sum over hosts of (tokens + loans that lenders keep reserved) never exceeds the sum of
/// the caps, and tokens are minted only at the shares' rate. Hence all hosts together admit at most
/// burst + rate x window in any window (docs/design/rates.md).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "citronloft/base/clock.hpp"
#include "citronloft/policy/shares.hpp"

namespace citronloft {

/// @brief Identity of a loan: the borrower's incarnation and its ask's sequence number.
struct LoanId {
    std::uint64_t borrower = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const LoanId&) const = default;
};

/// @brief A loan that has come to its end at the borrower; the lender may release its reservation.
struct SettledLoan {
    std::uint64_t lender = 0;
    std::uint64_t sequence = 0;
    /// Micro-tokens of the loan that were not spent and that the borrower has given up.
    std::int64_t returned = 0;
};

/// @brief Tokens of one bucket at one host.
class EscrowBucket {
public:
    /// @brief Starts with no share and no tokens.
    explicit EscrowBucket(TimePoint now);

    /// @brief Changes the host's share; a larger share starts with no tokens, a smaller one drops what is over its cap.
    auto setShare(BucketShare share, TimePoint now) -> void;

    /// @return own and borrowed micro-tokens that can be taken now.
    auto available(TimePoint now) -> std::int64_t;

    /// @brief Adds micro-tokens, up to the cap.
    auto grant(std::int64_t amount, TimePoint now) -> void;

    /// @brief Takes `amount` micro-tokens, borrowed ones first.
    /// @return false, with nothing taken, if there are not enough.
    auto take(std::int64_t amount, TimePoint now) -> bool;

    /// @brief Gives up to `amount` of the host's own micro-tokens to a borrower.
    /// @param keep micro-tokens that stay for the host's own callers.
    /// @param reservedUntil until then the lent part of the cap stays unfilled, unless the loan is settled.
    /// @return micro-tokens lent, perhaps 0.
    auto lend(std::int64_t amount, std::int64_t keep, LoanId loan, TimePoint reservedUntil, TimePoint now)
        -> std::int64_t;

    /// @brief Releases a loan's reservation and takes unspent tokens back; a second call for the same loan does
    /// nothing.
    auto settle(LoanId loan, std::int64_t returned, TimePoint now) -> void;

    /// @brief Gives borrowed tokens up that go beyond `keep` micro-tokens in all; takeSettled() reports them.
    auto giveBack(std::int64_t keep, TimePoint now) -> void;

    /// @brief Adds borrowed micro-tokens that lapse at `expiresAt`.
    auto borrow(std::int64_t amount, std::uint64_t lender, std::uint64_t sequence, TimePoint expiresAt) -> void;

    /// @return loans that are spent or have lapsed since the last call.
    auto takeSettled(TimePoint now) -> std::vector<SettledLoan>;

    /// @return time until the host's own minting makes `amount` available; the greatest Duration if never.
    auto timeUntil(std::int64_t amount, TimePoint now) -> Duration;

    /// @return whether a loan is held or has to be reported as settled.
    [[nodiscard]] auto hasBorrowed() const -> bool { return !this->borrowed.empty() || !this->settled.empty(); }

    [[nodiscard]] auto share() const -> const BucketShare& { return this->current; }

    /// @return micro-tokens of the cap that are reserved for loans.
    [[nodiscard]] auto reserved() const -> std::int64_t;

private:
    struct Borrowed {
        std::int64_t left = 0;
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

    BucketShare current;
    std::int64_t tokens = 0;
    /// Fraction of a micro-token, in micro-token nanoseconds per second.
    std::int64_t remainder = 0;
    TimePoint mintedAt;
    std::vector<Borrowed> borrowed;
    std::map<LoanId, Reservation> reservations;
    std::vector<SettledLoan> settled;
};

} // namespace citronloft
