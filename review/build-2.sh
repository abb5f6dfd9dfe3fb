#!/bin/sh
# Checks that the stand-ins of review/6 to review/9 can be loaded. They are the project's
# own, which need only the libraries that the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
exec python3 -B -c '
import sys
sys.path.insert(0, "review/lib-2")
import harness
print("stand-ins:", harness.FleetPlatform.__module__)
'
