#!/usr/bin/env bash
# Regenerates the committed schema code from proto/.
set -euo pipefail
cd "$(dirname "$0")/../.."
protoc --proto_path=proto --cpp_out=src/quetzalquay/generated proto/*.proto
