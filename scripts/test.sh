#!/usr/bin/env bash
# Builds and runs all tests: plain, then the unit tests under
# AddressSanitizer+UBSan and ThreadSanitizer. Tests that KNOWN-RED.txt lists
# are printed and left out of the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
exclude=()
if [ -n "$known" ]; then
  exclude=(-E "^($known)\$")
fi
export TSAN_OPTIONS="suppressions=$PWD/scripts/tsan.supp halt_on_error=1"
export ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=halt_on_error=1
for sanitizer in "" address,undefined thread; do
  dir=build${sanitizer:+-${sanitizer%%,*}}
  scripts/build.sh "$dir" "$sanitizer"
  label=${sanitizer:+-L unit}
  echo "== tests ${sanitizer:-plain}"
  # shellcheck disable=SC2086
  ctest --test-dir "$dir" --output-on-failure -j4 $label "${exclude[@]}"
done
if [ -f KNOWN-RED.txt ]; then
  echo "known red, not part of the verdict:"
  cat KNOWN-RED.txt
fi
