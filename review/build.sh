#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need only Python's standard library; the
# instances that a script starts are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py ./*/case.py
