#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python scripts that need nothing
# but the standard library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/standins.py */case.py; do
  python3 - "$file" <<'PY'
import ast
import sys

with open(sys.argv[1], encoding="utf-8") as file:
    ast.parse(file.read(), sys.argv[1])
PY
done
