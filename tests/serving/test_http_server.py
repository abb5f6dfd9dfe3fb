"""Bad HTTP input gets an error response and does not affect other connections."""

import asyncio

import pytest
from waiting import TIMEOUT_S, wait_until

from buckthornshift.serving._http_client import HttpConnectionPool
from buckthornshift.serving._http_server import HttpServer, RequestLimits

LIMITS = RequestLimits(
    max_head_bytes=2_000, max_body_bytes=5_000, head_timeout_s=0.5, idle_timeout_s=0.5
)


def echo(exchange):
    exchange.respond(200, exchange.request.body or exchange.request.path.encode())


async def send_raw(data, handler=echo, n_reads=1):
    """Send bytes and return everything received until the server closes."""
    server = HttpServer(handler=handler, limits=lambda: LIMITS)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    response = await asyncio.wait_for(reader.read(), TIMEOUT_S)
    writer.close()
    server.close()
    return response


def read_status(response):
    return int(response.split()[1])


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
def test_a_bad_request_gets_an_error_status(data, status):
    assert read_status(asyncio.run(send_raw(data))) == status


def test_a_chunked_body_above_the_limit_is_rejected():
    chunk = b"1000\r\n" + b"a" * 4_096 + b"\r\n"
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert read_status(asyncio.run(send_raw(head + chunk * 3))) == 413


def test_pipelined_requests_are_answered_in_order():
    data = b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n"
    response = asyncio.run(send_raw(data))
    assert response.index(b"/a") < response.index(b"/b")


def test_an_idle_connection_is_closed():
    response = asyncio.run(send_raw(b"GET /a HTTP/1.1\r\n\r\n"))
    assert response.endswith(b"/a")


def test_the_handler_is_notified_of_a_disconnect():
    disconnected_paths = []

    requested_paths = []

    def never_respond(exchange):
        requested_paths.append(exchange.request.path)
        exchange.on_disconnect = lambda: disconnected_paths.append(
            exchange.request.path
        )

    async def disconnect():
        server = HttpServer(handler=never_respond)
        port = await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /slow HTTP/1.1\r\n\r\n")
        await wait_until(lambda: requested_paths)
        writer.transport.abort()
        await wait_until(lambda: disconnected_paths)
        server.close()

    asyncio.run(disconnect())
    assert disconnected_paths == ["/slow"]


def test_a_closed_server_has_no_timer_left():
    async def close_gracefully():
        server = HttpServer(handler=echo)
        await server.start("127.0.0.1", 0)
        server.begin_graceful_close()
        server._close_idle()
        server.close()
        return server._idle_timer

    assert asyncio.run(close_gracefully()).cancelled()


def test_a_graceful_close_ends_connections_after_their_response():
    def close_and_respond(exchange):
        exchange.connection.server.begin_graceful_close()
        exchange.respond(200, b"last")

    response = asyncio.run(
        send_raw(b"GET / HTTP/1.1\r\n\r\n", handler=close_and_respond)
    )
    assert b"Connection: close" in response


def test_a_bad_connection_does_not_affect_another():
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


async def stop_between_requests(data, late_data=b""):
    """Begin a graceful close before the first response; return what was received."""
    exchanges = []
    server = HttpServer(handler=exchanges.append, limits=lambda: LIMITS)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    reading = asyncio.ensure_future(reader.read())
    writer.write(data)
    await wait_until(lambda: exchanges)
    server.begin_graceful_close()
    echo(exchanges[0])
    writer.write(late_data)
    await wait_until(lambda: len(exchanges) == 2 or reading.done())
    for exchange in exchanges[1:]:
        echo(exchange)
    response = await asyncio.wait_for(reading, TIMEOUT_S)
    writer.close()
    server.close()
    return response


FIRST = b"GET /a HTTP/1.1\r\n\r\n"
SECOND = b"POST /b HTTP/1.1\r\nContent-Length: 6\r\n\r\nsecond"


# Guards against a request without an answer: the instance stops while an earlier
# request on the same connection is open.
@pytest.mark.parametrize("n_late_bytes", [0, 1, 6])
def test_a_graceful_close_answers_pipelined_requests(n_late_bytes):
    requests = FIRST + SECOND
    cut = len(requests) - n_late_bytes
    response = asyncio.run(stop_between_requests(requests[:cut], requests[cut:]))
    assert response.count(b"HTTP/1.1 200 OK") == 2
    assert response.endswith(b"second")
    assert response.count(b"Connection: close") == 1


# Guards against a connection that stays open, as the rest of a request never arrives.
def test_a_graceful_close_ends_a_connection_with_half_a_request():
    response = asyncio.run(stop_between_requests(FIRST + SECOND[:-1]))
    assert b"408 Request Timeout" in response


# Guards against a caller that waits without an answer, as a handler has raised.
@pytest.mark.parametrize("n_before", [0, 1])
def test_a_request_whose_handler_raises_gets_an_error_status(n_before):
    def fail_at_last(exchange):
        if exchange.request.path == "/last":
            raise ValueError(exchange.request.path)
        exchange.respond(200)

    data = b"GET /a HTTP/1.1\r\n\r\n" * n_before + b"GET /last HTTP/1.1\r\n\r\n"
    response = asyncio.run(send_raw(data, handler=fail_at_last))
    assert read_status(response[response.rindex(b"HTTP/1.1") :]) >= 400
