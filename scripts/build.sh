#!/usr/bin/env bash
# Usage: scripts/build.sh [DIRECTORY [SANITIZERS]]; builds all targets, or with
# sanitizers the unit tests only.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
fleet=ON
targets=()
flags=()
if [ -n "${2:-}" ]; then
  fleet=OFF
  # Line numbers are all that a report needs of the debug information.
  flags=(-DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1 -DNDEBUG")
  targets=(--target unit-tests)
fi
cmake -S . -B "${1:-build}" -G Ninja -DEELGRASSLOOM_SANITIZE="${2:-}" \
  -DEELGRASSLOOM_FLEET_TESTS=$fleet "${flags[@]}" >/dev/null
cmake --build "${1:-build}" "${targets[@]}" | grep -vE '^\[|^ninja: no work' || true
cmake --build "${1:-build}" "${targets[@]}" >/dev/null
