#!/usr/bin/env bash
# Checks formatting and lint. Requires a configured release preset.
set -euo pipefail
cd "$(dirname "$0")/.."
# Wire names of the platform may appear only in platform/.
wire_names='trafficSplit|resourceKind|coldLeftS|seqNo|frontAddresses|ratePerS|apiKeys|X-Citronloft-|X-Api-Key|citronloft/(objects|resolve|ready)'
if git grep -nE "$wire_names" -- src include programs bench tests examples; then
  echo "platform wire names found outside platform/" >&2
  exit 1
fi
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet 2>/dev/null
echo "format and lint are clean"
