#!/usr/bin/env bash
# Builds the fuzzer of readers under the address and undefined-behaviour
# sanitizers into build-fuzz/ and runs it, or one suite or test given as an
# argument. JOBS sets the number of compilers, all cores without it.
set -euo pipefail
cd "$(dirname "$0")/../.."
cmake -S . -B build-fuzz -G Ninja \
  -DCMAKE_CXX_FLAGS="-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer" \
  >/dev/null
ninja -C build-fuzz -j "${JOBS:-$(nproc)}" quetzal-tests-fuzz >&2
exec build-fuzz/quetzal-tests-fuzz "$@"
