"""Choose TCP ports for servers that are started, and restarted, later."""

import itertools
import os
import socket

# Below the ports that Linux gives to outgoing connections and to listeners on port 0
# (32768 and up). Such a port would be taken while an instance restarts.
FIRST_PORT = 10_000
N_PORTS = 22_000
# Concurrent test processes have different ids, so they search in different blocks.
BLOCK_SIZE = 200

_offsets = itertools.count()


def find_free_ports(n_ports):
    """Return distinct TCP ports that are free on the loopback interface.

    Later calls in the same process return other ports.

    :param n_ports: number of ports.
    :raises OSError: if too few ports are free.
    """
    ports = []
    for _ in range(N_PORTS):
        if len(ports) == n_ports:
            return ports
        offset = os.getpid() * BLOCK_SIZE + next(_offsets)
        port = FIRST_PORT + offset % N_PORTS
        if _is_free(port):
            ports.append(port)
    raise OSError(f"no {n_ports} free ports from {FIRST_PORT} on")


def _is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
