#!/usr/bin/env bash
# Builds dist/buckthornshift: a single executable file that needs only Python 3.11.
# It starts no other process. It unpacks itself into a folder of its own under
# $SHIV_ROOT (default: below /tmp), which may be deleted between starts.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v shiv >/dev/null || PATH="$PWD/.venv/bin:$PATH"
mkdir -p dist
shiv --quiet --compressed --console-script buckthornshift --output-file dist/buckthornshift --root /tmp/buckthornshift --constraint constraints.txt .
test -s dist/buckthornshift
echo "dist/buckthornshift"
