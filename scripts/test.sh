#!/usr/bin/env bash
# Builds everything and runs all tests. Tests listed in KNOWN-RED.txt run last and do not affect the result.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
known="$(scripts/known-red.sh)"
cases="$(scripts/known-red.sh case)"
GTEST_FILTER="-$known" ctest --preset release ${cases:+--exclude-regex "^($cases)\$"}
if [[ -n $known ]]; then
  echo "known to be red (KNOWN-RED.txt): $known"
  for program in build/release/fleet_test build/release/platform/tests/platform_test \
    build/release/platform/tests/hostile_clients_test; do
    "$program" --gtest_filter="$known" || true
  done
fi
if [[ -n $cases ]]; then
  echo "known to be red (KNOWN-RED.txt): $cases"
  ctest --preset release --tests-regex "^($cases)\$" --output-on-failure || true
fi
