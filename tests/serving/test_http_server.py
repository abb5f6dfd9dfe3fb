"""Bad input on a port: a clear error for its sender, nothing for the others."""

import asyncio

import pytest

from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.serving._http_server import HttpServer, RequestLimits

LIMITS = RequestLimits(
    max_head_bytes=2_000, max_body_bytes=5_000, head_timeout_s=0.2, idle_timeout_s=0.2
)


def echo(exchange):
    exchange.respond(200, exchange.request.body or exchange.request.path.encode())


async def talk(data, handler=echo, n_reads=1):
    """Send bytes and return what comes back until the connection ends."""
    server = HttpServer(handler=handler, limits=lambda: LIMITS)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    server.close()
    return answer


def read_status(answer):
    return int(answer.split()[1])


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01 not http at all\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 4_000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 200_000, 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nHost: half a head", 408),
        (b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400),
    ],
    ids=["not http", "long head", "endless head", "long body", "slow", "bad length"],
)
def test_bad_requests(data, status):
    assert read_status(asyncio.run(talk(data))) == status


def test_chunked_body_above_the_limit():
    chunk = b"1000\r\n" + b"a" * 4_096 + b"\r\n"
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert read_status(asyncio.run(talk(head + chunk * 3))) == 413


def test_pipelined_requests_are_answered_in_order():
    data = b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n"
    answer = asyncio.run(talk(data))
    assert answer.index(b"/a") < answer.index(b"/b")


def test_an_idle_connection_is_closed():
    answer = asyncio.run(talk(b"GET /a HTTP/1.1\r\n\r\n"))
    assert answer.endswith(b"/a")


def test_a_caller_that_leaves_is_told_to_the_handler():
    gone = []

    def wait_for_nothing(exchange):
        exchange.on_disconnect = lambda: gone.append(exchange.request.path)

    async def leave():
        server = HttpServer(handler=wait_for_nothing)
        port = await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /slow HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        server.close()

    asyncio.run(leave())
    assert gone == ["/slow"]


def test_connections_end_after_the_response_while_the_server_closes():
    def close_and_answer(exchange):
        exchange.connection.server.begin_graceful_close()
        exchange.respond(200, b"last")

    answer = asyncio.run(talk(b"GET / HTTP/1.1\r\n\r\n", handler=close_and_answer))
    assert b"Connection: close" in answer


def test_one_bad_connection_does_not_disturb_another():
    async def run():
        server = HttpServer(handler=echo, limits=lambda: LIMITS)
        port = await server.start("127.0.0.1", 0)
        pool = HttpConnectionPool(port=port)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"\x00" * 100)
        result = await pool.call("POST", "/", b"hello")
        writer.close()
        pool.close()
        server.close()
        return result

    assert asyncio.run(run()) == (200, b"hello")
