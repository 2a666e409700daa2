#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail
PACKAGES=(
  g++ cmake ninja-build pkg-config python3 curl clang-format clang-tidy
  libjsonrpccpp-dev libjsonrpccpp-tools prometheus-cpp-dev libcpp-httplib-dev libboost-dev
  libboost-program-options-dev liblog4cplus-dev libcppunit-dev
  librapidcheck-dev liburcu-dev libprotobuf-dev protobuf-compiler libssl-dev
  libxxhash-dev rapidjson-dev
)
missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q >/dev/null
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
    --no-install-recommends "${missing[@]}" >/dev/null
fi
