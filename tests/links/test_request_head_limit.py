"""Limit on the size of a request head in the HTTP server."""

import asyncio

from buckthornshift.links._web_server import MAX_HEAD_BYTES, WebServer, make_app

HEAD_START = b"GET /healthz HTTP/1.1\r\nHost: a\r\n"


async def request_with_long_header(n_header_bytes):
    server = WebServer(app=make_app([]))
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.bound_port)
    writer.write(HEAD_START + b"X-Long: " + b"a" * n_header_bytes + b"\r\n\r\n")
    status_line = await reader.readline()
    writer.close()
    await server.abort()
    return int(status_line.split()[1])


def test_head_of_2_mb_gets_status_431():
    assert asyncio.run(request_with_long_header(2_000_000)) == 431


def test_head_below_the_limit_is_served():
    assert asyncio.run(request_with_long_header(MAX_HEAD_BYTES // 2)) == 404
