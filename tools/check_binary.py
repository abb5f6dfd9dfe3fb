"""Check that the one-file build runs the demo and starts no other process.

Usage: python tools/check_binary.py dist/buckthornshift
"""

import os
import pathlib
import subprocess
import sys
import time

LIMIT_S = 90.0
POLL_S = 0.02


def list_children(pid):
    """Return the identifiers of a process's children, over all its threads."""
    children = []
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        try:
            children += path.read_text().split()
        except OSError:
            continue
    return children


def main(binary):
    """Run the demo and return an exit code."""
    # The "python3" of the shebang may be a wrapper script: name the interpreter.
    command = [sys.executable, binary, "demo"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    children = set()
    end_s = time.monotonic() + LIMIT_S
    while process.poll() is None and time.monotonic() < end_s:
        children.update(list_children(process.pid))
        time.sleep(POLL_S)
    if process.poll() is None:
        process.kill()
        print("the demo did not end in time")
        return 1
    output = process.stdout.read()
    print(output.splitlines()[-1])
    print(f"exit code {process.returncode}, child processes seen: {len(children)}")
    size_mb = os.path.getsize(binary) / 1e6
    print(f"size {size_mb:.1f} MB")
    return 1 if process.returncode or children else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
