#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, each with its stand-ins of platform, backends and clients, into
# target/review-2/. It needs the compiler and nlohmann-json3-dev of the deploy file, and the build of that file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -pthread "$source" -o "target/review-2/case-$number" &
done
wait
for source in review/{6,7,8,9,10}/case.cc; do
  [ ! -f "$source" ] || [ -x "target/review-2/case-$(basename "$(dirname "$source")")" ]
done
