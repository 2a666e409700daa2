#!/usr/bin/env bash
# Fails if a source file is not formatted with clang-format.
set -uo pipefail
cd "$(dirname "$0")/../.."
find src tests -name '*.h' -o -name '*.cpp' | grep -v /generated/ |
  xargs clang-format --dry-run -Werror
