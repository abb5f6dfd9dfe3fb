"""The proxy's faults are there when they are asked for."""

import asyncio

import pytest

from buckthornshift.contracts import ConnectionLostError
from buckthornshift.proving.soak._proxy import FaultyProxy, LinkState
from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.serving._http_server import HttpServer


async def call_through(prepare):
    seen = []

    def answer(exchange):
        seen.append(exchange.request.path)
        exchange.respond(200, b"hello")

    server = HttpServer(handler=answer)
    proxy = FaultyProxy(port=await server.start("127.0.0.1", 0))
    await proxy.start()
    pool = HttpConnectionPool(port=proxy.bound_port)
    try:
        assert await pool.call("GET", "/first") == (200, b"hello")
        prepare(proxy)
        return await pool.call("GET", "/second", timeout_s=0.3), seen
    except ConnectionLostError:
        return None, seen
    finally:
        pool.close()
        proxy.close()
        server.close()


def set_state(state):
    return lambda proxy: setattr(proxy, "state", state)


@pytest.mark.parametrize(
    ("prepare", "is_answered", "is_seen"),
    [
        (set_state(LinkState.OPEN), True, True),
        (set_state(LinkState.SLOW), True, True),
        (set_state(LinkState.SILENT), False, False),
        (set_state(LinkState.ONE_WAY), False, True),
        (lambda proxy: proxy.reset_all(), False, False),
    ],
    ids=["open", "slow", "silent", "one way", "reset"],
)
def test_faults(prepare, is_answered, is_seen):
    answer, seen = asyncio.run(call_through(prepare))
    assert (answer is not None) == is_answered
    assert ("/second" in seen) == is_seen
