"""Ports for servers that are started later."""

import socket

from buckthornshift.proving.soak._ports import FIRST_PORT, N_PORTS, find_free_ports


def test_ports_are_distinct_and_outside_of_those_for_outgoing_connections():
    """An outgoing connection took the port of an instance that was restarting."""
    ports = find_free_ports(5) + find_free_ports(5)
    assert len(set(ports)) == 10
    assert all(FIRST_PORT <= port < FIRST_PORT + N_PORTS <= 32_768 for port in ports)


def test_port_in_use_is_not_returned():
    (port,) = find_free_ports(1)
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", port + 1))
        sock.listen()
        assert port + 1 not in find_free_ports(3)
