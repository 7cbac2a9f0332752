#!/usr/bin/env bash
# Installs the build dependencies (on Debian, as root) and builds the release preset.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(g++ cmake ninja-build ccache libboost1.81-dev libboost-program-options1.81-dev libboost-context1.81-dev
  libabsl-dev librapidcheck-dev liblog4cplus-dev libcereal-dev libyaml-cpp-dev nlohmann-json3-dev libssl-dev
  libxxhash-dev libpcg-cpp-dev libgtest-dev libgmock-dev libbenchmark-dev libcairo2-dev pkg-config
  curl)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}" >/dev/null
fi
cmake --preset release >/dev/null
cmake --build --preset release
