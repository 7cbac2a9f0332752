#!/usr/bin/env bash
# Checks format and lint; needs the release preset to be configured.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet 2>/dev/null
echo "format and lint are clean"
