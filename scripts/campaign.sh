#!/usr/bin/env bash
# Runs a randomized fault campaign over many seeds in parallel and prints each seed that fails.
# usage: scripts/campaign.sh FIRST LAST [SUITE]      SUITE: RateBound (leases, default), DemandBound or
#        SharedLimits (retries, cold targets), WithdrawalBound (drains, evacuations, configurations) or
#        AnnouncedLimitBound (limits that targets announce)
set -euo pipefail
cd "$(dirname "$0")/.."
first="${1:-1}"
last="${2:-200}"
suite="${3:-RateBound}"
scripts/build.sh >/dev/null
echo "seeds $first to $last"
seq "$first" 20 "$last" | xargs -P "$(nproc)" -I{} bash -c '
  end=$(( {} + 19 < '"$last"' ? {} + 19 : '"$last"' ))
  CITRONLOFT_SEEDS="{} $end" build/release/fleet_test --gtest_filter="Seeds/'"$suite"'.*" 2>&1 |
    grep -E "^seed|Failure|FAILED.*where|actual" || true' >build/campaign.txt
grep -c '^seed' build/campaign.txt | sed 's/$/ schedules run/'
if grep -q 'FAILED' build/campaign.txt; then
  grep -E 'Failure|FAILED|actual' build/campaign.txt
  exit 1
fi
# The last field is the excess over the bound for RateBound, and the used fraction of the bound, followed by
# "of the bound", for the other suites.
awk '/^seed/ { sub(/ of the bound$/, ""); gsub(":", "", $2); if (!n++ || $NF > worst) { worst = $NF; at = $2 } }
  END { print "none over the bound; nearest: seed " at ", " worst }' build/campaign.txt
