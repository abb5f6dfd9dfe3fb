"""The limit on request heads of the product's own HTTP ports."""

import asyncio

from buckthornshift.links._web_server import MAX_HEAD_BYTES, WebServer, make_app

HEAD = b"GET /healthz HTTP/1.1\r\nHost: a\r\n"


async def send_head(n_bytes):
    server = WebServer(app=make_app([]))
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.bound_port)
    writer.write(HEAD + b"X-Long: " + b"a" * n_bytes + b"\r\n\r\n")
    status = await reader.readline()
    writer.close()
    await server.abort()
    return int(status.split()[1])


def test_a_head_of_2_mb_is_refused():
    assert asyncio.run(send_head(2_000_000)) == 431


def test_a_head_below_the_limit_is_served():
    assert asyncio.run(send_head(MAX_HEAD_BYTES // 2)) == 404
