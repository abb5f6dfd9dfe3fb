"""Calls over kept connections: what was certainly not sent, what may have arrived."""

import asyncio

import pytest

from buckthornshift.contracts import ConnectionLostError, NotSentError
from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.serving._http_server import HttpServer


async def call_server(handler, n_calls=1, timeout_s=0.2):
    server = HttpServer(handler=handler)
    port = await server.start("127.0.0.1", 0)
    pool = HttpConnectionPool(port=port)
    try:
        return [
            await pool.call("POST", "/", b"x", timeout_s=timeout_s)
            for _ in range(n_calls)
        ]
    finally:
        pool.close()
        server.close()


def test_a_closed_port_proves_that_nothing_was_sent():
    with pytest.raises(NotSentError):
        asyncio.run(HttpConnectionPool(port=1).call("GET", "/"))


def test_no_answer_in_time_leaves_the_outcome_open():
    with pytest.raises(ConnectionLostError):
        asyncio.run(call_server(lambda exchange: None))


def test_a_connection_is_kept():
    seen = set()

    def answer(exchange):
        seen.add(exchange.connection)
        exchange.respond(200)

    asyncio.run(call_server(answer, n_calls=3))
    assert len(seen) == 1


def test_a_broken_connection_leaves_the_outcome_open():
    with pytest.raises(ConnectionLostError):
        asyncio.run(call_server(lambda exchange: exchange.connection.close()))


def test_a_late_answer_is_not_taken_for_the_next_call():
    async def run():
        held = []

        def answer(exchange):
            if exchange.request.path == "/slow":
                held.append(exchange)
                return
            exchange.respond(200, b"quick")

        server = HttpServer(handler=answer)
        port = await server.start("127.0.0.1", 0)
        pool = HttpConnectionPool(port=port)
        with pytest.raises(ConnectionLostError):
            await pool.call("GET", "/slow", timeout_s=0.05)
        held[0].respond(200, b"slow")
        result = await pool.call("GET", "/quick")
        pool.close()
        server.close()
        return result

    assert asyncio.run(run()) == (200, b"quick")


def count_connections(n_warm, is_closed=False):
    """Open connections ahead, make one call, and count what the server accepted."""

    async def run():
        accepted = []
        listener = await asyncio.get_running_loop().create_server(
            lambda: NotedConnection(accepted), "127.0.0.1", 0
        )
        pool = HttpConnectionPool(port=listener.sockets[0].getsockname()[1])
        if is_closed:
            pool.close()
        await pool.preconnect(n_warm)
        if not is_closed:
            await pool.call("GET", "/")
        pool.close()
        listener.close()
        return len(accepted)

    return asyncio.run(run())


class NotedConnection(asyncio.Protocol):
    """One that answers whatever comes."""

    def __init__(self, accepted, lost=None):
        self.accepted = accepted
        self.lost = [] if lost is None else lost
        self.transport = None

    def connection_made(self, transport):
        self.accepted.append(self)
        self.transport = transport

    def connection_lost(self, error):
        self.lost.append(self)

    def data_received(self, data):
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def test_a_call_uses_a_connection_that_was_opened_ahead():
    assert count_connections(n_warm=2) == 2


def test_a_closed_pool_opens_no_connections():
    assert count_connections(n_warm=2, is_closed=True) == 0


def test_a_pool_that_is_closed_meanwhile_keeps_no_connection():
    """The server was forgotten while a connection to it was being opened."""

    async def run():
        lost = []
        listener = await asyncio.get_running_loop().create_server(
            lambda: NotedConnection([], lost), "127.0.0.1", 0
        )
        pool = HttpConnectionPool(port=listener.sockets[0].getsockname()[1])
        warming = asyncio.ensure_future(pool.preconnect(1))
        await asyncio.sleep(0)
        pool.close()
        await warming
        await asyncio.sleep(0.05)
        listener.close()
        return len(lost)

    assert asyncio.run(run()) == 1


def test_connections_cannot_be_opened_ahead_to_a_closed_port():
    with pytest.raises(NotSentError):
        asyncio.run(HttpConnectionPool(port=1).preconnect(1))
