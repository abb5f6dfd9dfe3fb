"""Command line entry point: ``python3 -m buckthornshift.serving [SETTINGS]``."""

import sys

from ._run import run

if __name__ == "__main__":
    sys.exit(run(sys.argv[1] if len(sys.argv) > 1 else None))
