#!/usr/bin/env bash
# Builds dist/buckthornshift: one file that needs Python 3.11 and nothing else.
# It runs in the process that starts it and unpacks into a folder of its own under
# $SHIV_ROOT (default: the temporary folder), which may vanish between starts.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v shiv >/dev/null || PATH="$PWD/.venv/bin:$PATH"
mkdir -p dist
shiv --quiet --compressed --console-script buckthornshift --output-file dist/buckthornshift --root /tmp/buckthornshift --constraint constraints.txt .
test -s dist/buckthornshift
echo "dist/buckthornshift"
