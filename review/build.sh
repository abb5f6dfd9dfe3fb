#!/usr/bin/env bash
# Checks that the stand-ins of the scripts compile. They need nothing but Python's
# standard library; the deploy file builds the instances that a script starts.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py ./*/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
