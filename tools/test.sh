#!/usr/bin/env bash
# Installs the dependencies, builds and runs all tests. Ends with
# "N passed, N failed". Failures of tests that KNOWN-RED.txt lists are printed
# but do not fail the run; other failures are repeated before the last line.
set -uo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh || exit 1
tools/build.sh || exit 1
passed=0
failed=0
failures=""
known_failures=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

# Runs all suites of a kind, a few at a time, and keeps the log of each.
run_suites() {
  basename -s .cpp tests/"$1"/*Tests.cpp |
    xargs -P 3 -I{} sh -c "build/quetzal-tests-$1 {} >'$logs/{}' 2>&1"
}

run_suites introspective
run_suites usage
tools/scripts/fuzz.sh >"$logs/fuzz" 2>&1
python3 tests/tools/losses_tests.py >"$logs/losses_tests" 2>&1
python3 tests/tools/deploy_tests.py >"$logs/deploy_tests" 2>&1
python3 tests/tools/soak_tests.py >"$logs/soak_tests" 2>&1
for site in hanbit kierros; do
  python3 tests/soak/fleet_soak.py --binary build/quetzal-gateway \
    --site "$site" --seed 1 --seconds 30 >"$logs/soak-$site" 2>&1
done
for log in "$logs"/*; do
  tail -n 1000 "$log" | grep -vE '^(OK, passed|$|- |Using)' | tail -n 120
  summary=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$log" | tail -n 1)
  if [ -z "$summary" ]; then
    failures+="$(basename "$log") printed no test summary"$'\n'
    failures+="$(tail -n 20 "$log")"$'\n'
    failed=$((failed + 1))
    continue
  fi
  passed=$((passed + $(echo "$summary" | cut -d' ' -f1)))
  for name in $(sed -n 's/^Test name: *//p' "$log" | sort -u); do
    if grep -qxF "$name" <<<"$known_failures"; then
      echo "known red: $name"
    else
      failures+="$(grep -xF -B 2 -A 6 "Test name: $name" "$log")"$'\n'
      failed=$((failed + 1))
    fi
  done
done
# The output may be cut in the middle where it is kept.
[ -z "$failures" ] || printf 'failed:\n%s' "$failures"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
