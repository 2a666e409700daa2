#!/usr/bin/env bash
# Installs, builds, and shows a long generation that survives the death and the
# pause of its engine and the death of its router. Uses loopback only.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh | tail -n 1
run=$(mktemp -d)
trap 'python3 tools/scripts/deployment.py stop "$run"; rm -rf "$run"' EXIT
python3 tools/scripts/deployment.py start examples/demo "$run"
python3 tools/scripts/demo.py examples/demo "$run"
