#!/usr/bin/env bash
# Builds quetzal-gateway of an earlier commit of this repository, as a
# deployment does, and prints the path of the binary. Usage: build_landing.sh
# COMMIT. Exits with 3 if this clone does not have the commit, with 1 if it
# cannot be built.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ $# -eq 1 ] || { echo "usage: $0 COMMIT" >&2; exit 2; }
if ! commit=$(git rev-parse --quiet --verify "$1^{commit}" 2> /dev/null); then
  echo "commit $1 is not in this clone (shallow or of another history)" >&2
  exit 3
fi
folder=$PWD/build/landings/$(git rev-parse --short=7 "$commit")
binary=$folder/quetzal-gateway
mkdir -p "$folder"
# Two tests that need the same build wait for each other.
exec 9> "$folder/lock"
flock 9
if [ ! -x "$binary" ]; then
  rm -rf "$folder/source" "$folder/target"
  mkdir "$folder/source"
  {
    git archive "$commit" | tar -x -C "$folder/source" &&
      cmake -S "$folder/source" -B "$folder/target" -G Ninja \
        -DQUETZALQUAY_GATEWAY_ONLY=ON &&
      cmake --build "$folder/target" -j4 --target quetzal-gateway
  } > "$folder/build.log" 2>&1 9>&- || {
    tail -n 20 "$folder/build.log" >&2
    echo "quetzal-gateway of $1 cannot be built" >&2
    exit 1
  }
  # Last, so that an interrupted build is not taken for a finished one.
  mv "$folder/target/quetzal-gateway" "$binary"
  rm -rf "$folder/source" "$folder/target"
fi
echo "$binary"
