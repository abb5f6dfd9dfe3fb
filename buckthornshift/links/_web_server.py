"""HTTP server that runs a blacksheep application in the current event loop."""

import asyncio
import contextlib
import socket

import uvicorn
from blacksheep import Application, Request, Router
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..contracts import BuckthornshiftError

STOP_TIMEOUT_S = 5
# The usual limit of reverse proxies. The longest request head of this API is 1 KB.
MAX_HEAD_BYTES = 16_384
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class PortInUseError(BuckthornshiftError):
    """The configured address cannot be bound."""


class _LimitedHeadProtocol(HttpToolsProtocol):
    """HTTP protocol that rejects a request head above the limit with status 431.

    It does so as soon as the limit is passed instead of reading the whole head. The
    bytes received and the header fields parsed are counted separately: the first count
    catches a head that is still incomplete, the second one a head that is complete.
    """

    n_head_bytes = 0
    n_field_bytes = 0
    is_reading_head = True

    def data_received(self, data):
        """Count the bytes received while a request head is incomplete."""
        super().data_received(data)
        if self.is_reading_head:
            self.n_head_bytes += len(data)
            self._check_limit(self.n_head_bytes)

    def on_message_begin(self):
        """Reset the counts for a new request."""
        self.n_head_bytes = 0
        self.n_field_bytes = 0
        self.is_reading_head = True
        super().on_message_begin()

    def on_header(self, name, value):
        """Count the bytes of a parsed header field."""
        self.n_field_bytes += len(name) + len(value)
        self._check_limit(self.n_field_bytes)
        super().on_header(name, value)

    def on_headers_complete(self):
        """Stop counting; a request with a rejected head reaches no handler."""
        self.is_reading_head = False
        if not self.transport.is_closing():
            super().on_headers_complete()

    def _check_limit(self, n_bytes):
        if n_bytes > MAX_HEAD_BYTES and not self.transport.is_closing():
            self.transport.write(_HEAD_TOO_LARGE)
            self.transport.close()


class _UvicornServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to its process."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class WebServer:
    """Run an application on a port until it is stopped.

    :param app: a blacksheep application.
    :param host: IP address to listen on.
    :param port: TCP port; 0 for any free port.
    """

    def __init__(self, app=None, host="127.0.0.1", port=0):
        self.app = app
        self.host = host
        self.port = port
        self.bound_port = 0
        self._server = None
        self._task = None

    async def start(self):
        """Start to listen.

        :raises PortInUseError: if the address cannot be bound.
        """
        listener = self._make_listener()
        self.bound_port = listener.getsockname()[1]
        config = uvicorn.Config(
            self.app,
            log_level="critical",
            access_log=False,
            http=_LimitedHeadProtocol,
            ws="none",
            loop="none",
            timeout_keep_alive=60,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
        )
        self._server = _UvicornServer(config)
        self._task = asyncio.ensure_future(self._server.serve(sockets=[listener]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0.005)

    async def stop(self):
        """Stop listening; requests in flight get up to 5 s to finish."""
        self._server.should_exit = True
        await self._task

    async def abort(self):
        """Stop at once without answering the requests in flight."""
        self._server.force_exit = True
        self._server.should_exit = True
        await self._task

    def _make_listener(self):
        # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((self.host, self.port))
        except OSError as error:
            listener.close()
            raise PortInUseError(f"{self.host}:{self.port}: {error}") from error
        return listener


def make_app(routes):
    """Return a blacksheep application with the given routes.

    :param routes: (method, path, handler) triples; a handler takes the request.
    """
    app = Application(router=Router())
    for method, path, handler in routes:
        app.router.add(method, path, _wrap_handler(handler))
    return app


def _wrap_handler(handler):
    # The router sets attributes on handlers, which bound methods do not allow.
    async def handle(request: Request):
        return await handler(request)

    return handle
