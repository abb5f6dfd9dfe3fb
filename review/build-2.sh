#!/bin/sh
# Checks that the stand-ins of review/6, review/7 and review/8 can be loaded. They are the
# project's own, which need only the libraries that the build of the deploy file installs.
set -e
cd "$(dirname "$0")"
for folder in 6 7 8; do
    python3 -B -c '
import sys
sys.path.insert(0, sys.argv[1])
import harness
print(sys.argv[1], harness.FleetPlatform.__module__)
' "$folder"
done
