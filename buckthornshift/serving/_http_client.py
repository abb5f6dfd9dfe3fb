"""An HTTP/1.1 client with a connection pool. It never retries a request."""

import asyncio
import socket

import httptools

from ..contracts import (
    ConnectionLostError,
    NotSentError,
    PeerClosedError,
    PeerRefusedError,
)

# Time after which the kernel closes a socket whose data the other end does not
# acknowledge. Calls don't depend on it; each has a timeout of its own.
TCP_USER_TIMEOUT_MS = 2_000


class HttpConnectionPool:
    """A pool of persistent connections to one address.

    Each connection carries one request at a time.

    :param host: IP address.
    :param port: TCP port.
    :param headers: (name, value) pairs sent with every request.
    :param max_connections: maximum number of connections in use; further calls wait.
    :param connect_timeout_s: timeout of a connection attempt, in seconds.
    """

    def __init__(
        self,
        host="127.0.0.1",
        port=0,
        headers=(),
        max_connections=8,
        connect_timeout_s=0.25,
    ):
        self.host = host
        self.port = port
        self.headers = headers
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self._idle = []
        self._is_closed = False
        self._slots = asyncio.Semaphore(max_connections)

    async def call(self, method, target, body=b"", timeout_s=1.0, headers=()):
        """Send one request and return the status and body of its response.

        :param method: HTTP method.
        :param target: path with the query string.
        :param body: request body.
        :param timeout_s: timeout of the response, in seconds.
        :param headers: further (name, value) pairs.
        :raises NotSentError: if no connection could be opened; nothing was sent. It is
            a :exc:`PeerRefusedError` if no process listens at the address.
        :raises ConnectionLostError: if no complete response came in time; the server
            may have processed the request. It is a :exc:`PeerClosedError` if the server
            closed the connection in order.
        """
        async with self._slots:
            connection = await self._acquire()
            try:
                result = await connection.exchange(
                    self._encode_request(method, target, body, headers), timeout_s
                )
            except BaseException:
                connection.abort()
                raise
            if connection.is_reusable:
                self._idle.append(connection)
            else:
                connection.abort()
            return result

    async def preconnect(self, n_idle):
        """Open connections until a given number is idle, ahead of the first calls.

        :param n_idle: number of idle connections.
        :raises NotSentError: if a connection can't be opened.
        """
        while len(self._idle) < n_idle and not self._is_closed:
            async with self._slots:
                connection = await self._connect()
            if self._is_closed:
                connection.abort()
                return
            self._idle.append(connection)

    def close(self):
        """Close the idle connections and stop :meth:`preconnect`."""
        self._is_closed = True
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _acquire(self):
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        return await self._connect()

    async def _connect(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, connection = await loop.create_connection(
                    _ClientConnection, self.host, self.port
                )
        except ConnectionRefusedError as error:
            raise PeerRefusedError(f"{self.host}:{self.port}: {error!r}") from error
        except (OSError, TimeoutError, UnicodeError) as error:
            # A host name that can't be encoded raises UnicodeError.
            raise NotSentError(f"{self.host}:{self.port}: {error!r}") from error
        return connection

    def _encode_request(self, method, target, body, headers):
        all_headers = {"Host": f"{self.host}:{self.port}"}
        if body:
            all_headers["Content-Type"] = "application/json"
        all_headers.update(self.headers)
        all_headers.update(headers)
        all_headers["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class _ClientConnection(asyncio.Protocol):
    def __init__(self):
        self._transport = None
        self._parser = None
        self._response = None
        self._body = bytearray()
        self._is_open = False
        self._is_keep_alive = True

    @property
    def is_reusable(self):
        return self._is_open and self._is_keep_alive and self._response is None

    def connection_made(self, transport):
        self._transport = transport
        self._is_open = True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def connection_lost(self, error):
        self._is_open = False
        if error is None:
            self._fail("connection closed by the server", PeerClosedError)
        else:
            self._fail(f"connection lost: {error!r}")

    async def exchange(self, data, timeout_s):
        loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._response = loop.create_future()
        timer = loop.call_later(timeout_s, self._fail, "no response within the timeout")
        self._transport.write(data)
        try:
            return await self._response
        finally:
            timer.cancel()
            self._response = None

    def data_received(self, data):
        if self._response is None:
            # Data without a pending request: a later request would read a response
            # that is not its own.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"invalid HTTP response: {error}")
            self.abort()

    def on_body(self, body):
        self._body += body

    def on_message_complete(self):
        self._is_keep_alive = self._parser.should_keep_alive()
        if self._response is not None and not self._response.done():
            status = self._parser.get_status_code()
            self._response.set_result((status, bytes(self._body)))

    def abort(self):
        self._is_open = False
        self._transport.abort()

    def _fail(self, detail, error_class=ConnectionLostError):
        if self._response is not None and not self._response.done():
            self._response.set_exception(error_class(detail))
