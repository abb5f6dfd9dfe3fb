"""Faults that the proxy of soak tests injects into connections."""

import asyncio

import pytest

from buckthornshift.contracts import ConnectionLostError
from buckthornshift.proving.soak._proxy import FaultyProxy, LinkState
from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.serving._http_server import HttpServer


async def call_with_fault(inject_fault):
    received_paths = []

    def answer(exchange):
        received_paths.append(exchange.request.path)
        exchange.respond(200, b"hello")

    server = HttpServer(handler=answer)
    proxy = FaultyProxy(port=await server.start("127.0.0.1", 0))
    await proxy.start()
    pool = HttpConnectionPool(port=proxy.bound_port)
    try:
        assert await pool.call("GET", "/first") == (200, b"hello")
        inject_fault(proxy)
        return await pool.call("GET", "/second", timeout_s=1.0), received_paths
    except ConnectionLostError:
        return None, received_paths
    finally:
        pool.close()
        proxy.close()
        server.close()


def make_state_setter(state):
    return lambda proxy: setattr(proxy, "state", state)


@pytest.mark.parametrize(
    ("inject_fault", "is_answered", "is_received"),
    [
        (make_state_setter(LinkState.OPEN), True, True),
        (make_state_setter(LinkState.SLOW), True, True),
        (make_state_setter(LinkState.SILENT), False, False),
        (make_state_setter(LinkState.ONE_WAY), False, True),
        (lambda proxy: proxy.reset_all(), False, False),
    ],
    ids=["open", "slow", "silent", "one way", "reset"],
)
def test_fault_affects_open_connection(inject_fault, is_answered, is_received):
    answer, received_paths = asyncio.run(call_with_fault(inject_fault))
    assert (answer is not None) == is_answered
    assert ("/second" in received_paths) == is_received
