#!/usr/bin/env bash
# Usage: scripts/tidy.sh FILE; runs clang-tidy on one file of build/compile_commands.json.
# A clean result is kept by the hash of the preprocessed file, the checks and the tool, so that
# an unchanged file is not checked again.
set -euo pipefail
cd "$(dirname "$0")/.."
file=$1
cache=${XDG_CACHE_HOME:-$HOME/.cache}/eelgrassloom-tidy
mkdir -p "$cache"
command=$(python3 - "$PWD/$file" <<'PY'
import json, shlex, sys
for entry in json.load(open("build/compile_commands.json")):
    if entry["file"] == sys.argv[1]:
        words = shlex.split(entry["command"])
        words = words[1:] if words[0].endswith("ccache") else words
        out = words.index("-o")
        print(shlex.join(words[:out] + words[out + 2:]))
        break
PY
)
[ -n "$command" ] || exit 0 # Not part of the build.
# -C keeps comments: they hold the suppressions.
hash=$({ cat .clang-tidy; clang-tidy --version; eval "$command -E -C" | sed "s|$PWD/||g"; } | sha256sum | cut -d' ' -f1)
[ ! -e "$cache/$hash" ] || exit 0
# The compiler of the build has warnings that clang does not know.
clang-tidy -p build -quiet --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null
touch "$cache/$hash"
