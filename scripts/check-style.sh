#!/usr/bin/env bash
# Checks format and lint; needs the release preset to be configured.
set -euo pipefail
cd "$(dirname "$0")/.."
# The platform's names are known in platform/ alone.
wire_names='trafficSplit|resourceKind|coldLeftS|seqNo|frontAddresses|ratePerS|apiKeys|X-Citronloft-|X-Api-Key|citronloft/(objects|resolve|ready)'
if git grep -nE "$wire_names" -- src include programs bench tests examples; then
  echo "names of the platform stand outside platform/" >&2
  exit 1
fi
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet 2>/dev/null
echo "format and lint are clean"
