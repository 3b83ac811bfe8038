#!/bin/sh
# Builds the stand-ins of the review cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-2 -j4
