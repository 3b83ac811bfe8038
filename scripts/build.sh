#!/usr/bin/env bash
# Usage: scripts/build.sh [DIRECTORY [SANITIZERS]]; builds all targets, or with
# sanitizers the programs and unit tests only.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
fleet=ON
[ -z "${2:-}" ] || fleet=OFF
cmake -S . -B "${1:-build}" -G Ninja -DEELGRASSLOOM_SANITIZE="${2:-}" \
  -DEELGRASSLOOM_FLEET_TESTS=$fleet >/dev/null
cmake --build "${1:-build}" | grep -vE '^\[|^ninja: no work' || true
cmake --build "${1:-build}" >/dev/null
