#!/usr/bin/env bash
# Installs the dependencies, builds, and demonstrates long generations that
# continue after their engine is killed or paused and after their router is
# killed. Uses loopback addresses only.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh | tail -n 1
run=$(mktemp -d)
trap 'python3 tools/scripts/deployment.py stop "$run"; rm -rf "$run"' EXIT
python3 tools/scripts/deployment.py start examples/demo "$run"
python3 tools/scripts/demo.py examples/demo "$run"
