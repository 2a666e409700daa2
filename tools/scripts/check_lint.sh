#!/usr/bin/env bash
# Fails if clang-tidy reports a finding in the sources.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -f build/compile_commands.json ] || tools/build.sh || exit 1
log=$(mktemp)
find src -name '*.cpp' | grep -v /generated/ |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet >"$log" 2>/dev/null
status=$?
grep -E 'warning:|error:' "$log" | sort -u | head -n 60
rm -f "$log"
exit "$status"
