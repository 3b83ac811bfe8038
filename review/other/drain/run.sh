#!/usr/bin/env bash
# DRAIN: reads reach a replica long after it reported that it is draining.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out. Exit status: 1 rule broken, 0 rule held, 2 could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.."
if [ ! -x target/platform/eelgrassloom-platform ] || [ ! -x target/review/standin ]; then
  echo "build the deploy file's programs and review/build.sh first"
  exit 2
fi
exec target/review/standin poller-lost "$here/record.txt"
