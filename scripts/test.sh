#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --preset release
