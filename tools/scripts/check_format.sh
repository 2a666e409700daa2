#!/usr/bin/env bash
# Fails when a source file is not formatted.
set -uo pipefail
cd "$(dirname "$0")/../.."
find src tests -name '*.h' -o -name '*.cpp' | grep -v /generated/ |
  xargs clang-format --dry-run -Werror
