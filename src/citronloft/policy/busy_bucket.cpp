#include "citronloft/policy/busy_bucket.hpp"

#include <algorithm>

namespace citronloft {

namespace {

/// Loan requests that a small holder (0.07 of a core) answers besides its other work.
constexpr auto minLoanRequestsPerSecond = 100.0;
constexpr auto minTokensPerLoan = 4.0;
/// Half of the validity of a loan, so that few borrowed tokens expire unspent.
constexpr auto busyLoanSeconds = 0.5;
/// While all holders announce an increase by this factor, the fleet mints 1 / 1.25 of the rate.
constexpr auto increaseStep = 1.25;
/// Maximum sum of all announced demands as a multiple of the rate; the even parts sum to 1.
constexpr auto maxTotalFactor = 1.25;

auto toSeconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

auto evenPart(double rate, std::size_t parts) -> double
{
    return rate / static_cast<double>(std::max<std::size_t>(parts, 1));
}

} // namespace

auto isBusyBucket(double rate, const FleetSize& fleet, Duration horizon) -> bool
{
    return evenPart(rate, fleet.zones) >= minLoanRequestsPerSecond
        && evenPart(rate, fleet.hosts) * toSeconds(horizon) < minTokensPerLoan;
}

auto busyLoanTokens(double rate, const FleetSize& fleet, double demand) -> double
{
    return std::min(demand, evenPart(rate, fleet.hosts)) * busyLoanSeconds;
}

auto announcedHolderDemand(double rate, std::size_t zones, const HolderDemand& demand) -> double
{
    const auto even = evenPart(rate, zones);
    if (demand.measured <= demand.minted || demand.confirmed < even)
        return even;
    const auto limit = std::max(even, rate * maxTotalFactor - demand.others);
    return std::max(even, std::min({ demand.measured, demand.confirmed * increaseStep, limit }));
}

} // namespace citronloft
