#!/usr/bin/env bash
# Installs, builds, runs the demo fleet and stops it.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
exec build/demo/demo
