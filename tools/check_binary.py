"""Check that the single-file build runs the demo and starts no child process.

Usage: python tools/check_binary.py dist/buckthornshift
"""

import os
import pathlib
import subprocess
import sys
import time

TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.02


def list_children(pid):
    """Return the ids of the child processes that the threads of a process started."""
    child_ids = []
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        try:
            child_ids += path.read_text().split()
        except OSError:
            continue
    return child_ids


def main(binary):
    """Run the demo of a build; return 0 if it succeeds without child processes.

    :param binary: path of the single-file build.
    """
    # The "python3" of the shebang may be a wrapper script, so the interpreter is named.
    command = [sys.executable, binary, "demo"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    child_ids = set()
    deadline_s = time.monotonic() + TIMEOUT_S
    while process.poll() is None and time.monotonic() < deadline_s:
        child_ids.update(list_children(process.pid))
        time.sleep(POLL_INTERVAL_S)
    if process.poll() is None:
        process.kill()
        print("the demo timed out")
        return 1
    output = process.stdout.read()
    print(output.splitlines()[-1])
    print(f"exit code {process.returncode}, child processes seen: {len(child_ids)}")
    size_mb = os.path.getsize(binary) / 1e6
    print(f"size {size_mb:.1f} MB")
    return 1 if process.returncode or child_ids else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
