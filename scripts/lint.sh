#!/usr/bin/env bash
# Checks the format and runs clang-tidy on all hand-written code.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.h' '*.cpp' | grep -v /generated/)
clang-format --dry-run --Werror "${sources[@]}"
[ -f build/compile_commands.json ] || scripts/build.sh build
mapfile -t units < <(git ls-files 'packages/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp' \
  'demo/*.cpp' | grep -v /generated/)
if ! printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 scripts/tidy.sh >build/tidy.log; then
  sort -u build/tidy.log
  exit 1
fi
echo "lint: clean"
