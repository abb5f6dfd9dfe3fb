"""HTTP/1.1 client with a connection pool that never retries a request by itself."""

import asyncio

import h11

from ..contracts import BuckthornshiftError, ConnectionLostError, NotSentError

MAX_READ_BYTES = 65_536


class HttpStatusError(BuckthornshiftError):
    """The server responded with an error status.

    :param status: HTTP status code.
    :param body: body of the response.
    """

    def __init__(self, status=0, body=b""):
        super().__init__(f"HTTP status {status}")
        self.status = status
        self.body = body


class HttpConnection:
    """Client connection to one server, for one request at a time.

    :param host: IP address.
    :param port: TCP port.
    :param connect_timeout_s: timeout for connecting, in seconds.
    """

    def __init__(self, host="127.0.0.1", port=0, connect_timeout_s=1.0):
        self.host = host
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self._reader = None
        self._writer = None
        self._protocol = None

    @property
    def is_open(self):
        """Whether the connection is open and ready for another request."""
        if self._writer is None or self._writer.is_closing():
            return False
        return self._protocol.our_state is h11.IDLE and not self._reader.at_eof()

    async def connect(self):
        """Open the TCP connection.

        :raises NotSentError: if the server cannot be reached in time.
        """
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port), self.connect_timeout_s
            )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"{self.host}:{self.port}: {error}") from error
        self._protocol = h11.Connection(h11.CLIENT)

    async def send(self, method, path, body=b"", headers=()):
        """Send a request without waiting for the response.

        :param method: HTTP method.
        :param path: path with query.
        :param body: request body.
        :param headers: additional headers as (name, value) pairs.
        :raises ConnectionLostError: if writing to the socket fails.
        """
        all_headers = [
            ("host", f"{self.host}:{self.port}"),
            ("content-length", str(len(body))),
            *headers,
        ]
        request = h11.Request(method=method, target=path, headers=all_headers)
        chunks = [self._protocol.send(request)]
        if body:
            chunks.append(self._protocol.send(h11.Data(data=body)))
        chunks.append(self._protocol.send(h11.EndOfMessage()))
        self._writer.write(b"".join(chunks))
        try:
            await self._writer.drain()
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    async def read_status(self):
        """Return the status code of the response, skipping informational ones."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        return event.status_code

    async def iter_body(self):
        """Yield the chunks of the response body as they arrive."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self._finish_exchange()
                return
            yield bytes(event.data)

    async def read_body(self):
        """Return the whole response body."""
        chunks = [chunk async for chunk in self.iter_body()]
        return b"".join(chunks)

    def close(self):
        """Close the connection without waiting for pending data."""
        if self._writer is not None:
            self._writer.close()

    def _finish_exchange(self):
        is_reusable = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if is_reusable:
            self._protocol.start_next_cycle()
        else:
            self.close()

    async def _next_event(self):
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLostError(str(error)) from error
            if event is h11.NEED_DATA:
                await self._receive_data()
                continue
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise ConnectionLostError("connection closed by the server")
            return event

    async def _receive_data(self):
        try:
            data = await self._reader.read(MAX_READ_BYTES)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        self._protocol.receive_data(data)


class HttpPool:
    """Pool of keep-alive connections to one server.

    :param host: IP address.
    :param port: TCP port.
    :param max_idle: maximum number of idle connections in the pool.
    :param connect_timeout_s: timeout for connecting, in seconds.
    """

    def __init__(self, host="127.0.0.1", port=0, max_idle=8, connect_timeout_s=1.0):
        self.host = host
        self.port = port
        self.max_idle = max_idle
        self.connect_timeout_s = connect_timeout_s
        self._idle = []

    async def acquire(self):
        """Return an idle connection from the pool, or a new one if there is none.

        :raises NotSentError: if the server cannot be reached.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
            connection.close()
        return await self.acquire_new()

    async def acquire_new(self):
        """Return a new connection even if the pool has idle ones.

        :raises NotSentError: if the server cannot be reached.
        """
        connection = HttpConnection(
            host=self.host, port=self.port, connect_timeout_s=self.connect_timeout_s
        )
        await connection.connect()
        return connection

    def release(self, connection):
        """Return a connection to the pool, or close it if it cannot be reused."""
        if connection.is_open and len(self._idle) < self.max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self):
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()


async def send_request(
    pool, method, path, body=b"", headers=(), timeout_s=2.0, use_new_connection=False
):
    """Send a request and return the body of the response.

    :param pool: the :class:`HttpPool`.
    :param method: HTTP method.
    :param path: path with query.
    :param body: request body.
    :param headers: additional headers as (name, value) pairs.
    :param timeout_s: timeout of the exchange once connected, in seconds.
    :param use_new_connection: whether to open a new connection instead of reusing an
        idle one.
    :returns: the response body.
    :raises NotSentError: if the server cannot be reached; nothing was sent.
    :raises ConnectionLostError: if the connection broke or the complete response did
        not arrive in time.
    :raises HttpStatusError: if the status is 400 or above.
    """
    connection = await (pool.acquire_new() if use_new_connection else pool.acquire())
    try:
        async with asyncio.timeout(timeout_s):
            await connection.send(method, path, body, headers)
            status = await connection.read_status()
            response_body = await connection.read_body()
    except TimeoutError as error:
        connection.close()
        raise ConnectionLostError("no response within the timeout") from error
    except (ConnectionLostError, asyncio.CancelledError):
        connection.close()
        raise
    pool.release(connection)
    if status >= 400:
        raise HttpStatusError(status=status, body=response_body)
    return response_body
