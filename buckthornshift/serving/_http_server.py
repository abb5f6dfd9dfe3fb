"""A small HTTP/1.1 server for short requests, based on httptools.

Requests on one connection are handled one after another. A request that is too large,
too slow or malformed gets an error response, and only its own connection is closed.
"""

import asyncio
import http
import socket

import attrs
import httptools

MAX_PIPELINED = 32
# Delay before a connection closes after an error, so that the client can read it.
LINGER_S = 0.5
# Delay between the start of a graceful close and the closing of idle connections. In
# this time the load balancer learns of the shutdown and stops sending requests.
CLOSE_IDLE_AFTER_S = 2.5
# Interval at which idle connections are closed then, and the time without data after
# which a connection counts as idle.
CLOSE_IDLE_INTERVAL_S = 0.5


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on the size and the duration of requests.

    :param max_head_bytes: maximum size of a request head.
    :param max_body_bytes: maximum size of a request body.
    :param head_timeout_s: maximum time for a whole request to arrive, in seconds.
    :param idle_timeout_s: time after which an idle connection is closed, in seconds.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Request:
    """An HTTP request that was received completely.

    :param method: HTTP method.
    :param path: path without the query string.
    :param query: query string, not decoded.
    :param header_by_name: headers, with names in lower case.
    :param body: request body.
    """

    method: str = ""
    path: str = ""
    query: str = ""
    header_by_name: dict = attrs.field(factory=dict)
    body: bytes = b""


class Exchange:
    """A request and its pending response.

    A handler may set ``on_disconnect`` to a callable without arguments; it is called if
    the client disconnects before its response.

    :param connection: the connection of the request.
    :param request: the :class:`Request`.
    :param is_last: whether the connection closes after the response.
    """

    def __init__(self, connection=None, request=None, is_last=False):
        self.connection = connection
        self.request = request
        self.is_last = is_last
        self.on_disconnect = None
        self._is_finished = False

    def respond(self, status, body=b"", headers=()):
        """Send the response; a second response is ignored.

        :param status: HTTP status code.
        :param body: response body.
        :param headers: further (name, value) pairs.
        """
        if self._is_finished:
            return
        self._is_finished = True
        self.connection.send_response(self, status, body, headers)

    def notify_disconnect(self):
        """Call ``on_disconnect`` unless the response was sent."""
        if not self._is_finished and self.on_disconnect is not None:
            self._is_finished = True
            self.on_disconnect()


class HttpServer:
    """Listen on an address and pass each complete request to a handler.

    :param handler: called with an :class:`Exchange`.
    :param limits: called for each new connection; returns its :class:`RequestLimits`.
    """

    def __init__(self, handler=None, limits=RequestLimits):
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self.connections = set()
        self._server = None
        self._idle_timer = None

    async def start(self, host, port):
        """Listen on the address and return the port.

        :param host: IP address.
        :param port: TCP port; 0 for any free one.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(server=self), host, port, backlog=512
        )
        return self._server.sockets[0].getsockname()[1]

    def begin_graceful_close(self):
        """Close each connection after its next response, or once it has been idle.

        Pipelined requests are answered first, also one that has arrived in part.
        """
        self.is_closing = True
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(CLOSE_IDLE_AFTER_S, self._close_idle)

    def close(self):
        """Stop listening and close every connection."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def _close_idle(self):
        loop = asyncio.get_running_loop()
        cutoff_s = loop.time() - CLOSE_IDLE_INTERVAL_S
        for connection in list(self.connections):
            connection.close_if_idle(cutoff_s)
        self._idle_timer = loop.call_later(CLOSE_IDLE_INTERVAL_S, self._close_idle)


class _Connection(asyncio.Protocol):
    def __init__(self, server=None):
        self.server = server
        self._limits = server.limits()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges = []
        self._is_closing = False
        self._timer = None
        self._last_received_s = 0.0
        self._reset()

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)
        self._set_timer(self._limits.head_timeout_s)

    def connection_lost(self, error):
        self.server.connections.discard(self)
        self._cancel_timer()
        for exchange in self._exchanges:
            exchange.notify_disconnect()
        self._exchanges.clear()

    def data_received(self, data):
        if self._is_closing:
            return
        self._last_received_s = asyncio.get_running_loop().time()
        if not self._exchanges and not self._is_in_message:
            self._set_timer(self._limits.head_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        if self._is_in_message and not self._is_head_complete:
            self._n_received_head_bytes += len(data)
            if self._n_received_head_bytes > self._limits.max_head_bytes:
                self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self):
        self._reset()
        self._is_in_message = True

    def on_url(self, url):
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        self._count_head_bytes(len(name) + len(value))
        self._header_by_name[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self._is_head_complete = True
        length = self._header_by_name.get("content-length", "0")
        if length.isdigit() and int(length) > self._limits.max_body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_body(self, body):
        self._body += body
        if len(self._body) > self._limits.max_body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self):
        if self._is_closing:
            return
        path, _, query = self._url.partition(b"?")
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=path.decode("latin-1"),
            query=query.decode("latin-1"),
            header_by_name=self._header_by_name,
            body=bytes(self._body),
        )
        is_last = not self._parser.should_keep_alive()
        exchange = Exchange(connection=self, request=request, is_last=is_last)
        self._exchanges.append(exchange)
        self._is_in_message = False
        if len(self._exchanges) > MAX_PIPELINED:
            self._reject(http.HTTPStatus.TOO_MANY_REQUESTS)
        elif len(self._exchanges) == 1:
            self._cancel_timer()
            self.server.handler(exchange)

    def send_response(self, exchange, status, body, headers):
        """Write a response and pass the next pipelined request to the handler.

        :param exchange: the :class:`Exchange` that the response belongs to.
        :param status: HTTP status code.
        :param body: response body.
        :param headers: further (name, value) pairs.
        """
        if exchange not in self._exchanges:
            return
        self._exchanges.remove(exchange)
        has_next = bool(self._exchanges) or self._is_in_message
        is_last = exchange.is_last or (self.server.is_closing and not has_next)
        self._write(status, body, headers, is_last)
        if is_last:
            self._close_after_response()
        elif self._exchanges:
            self.server.handler(self._exchanges[0])
        elif self._is_in_message:
            self._set_timer(self._limits.head_timeout_s)
        else:
            self._set_timer(self._limits.idle_timeout_s)

    def close(self):
        """Close the connection once its write buffer is sent."""
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self, cutoff_s):
        """Close the connection if it has no request and no data came since a time.

        :param cutoff_s: the time, on the clock of the event loop, in seconds.
        """
        is_idle = not self._exchanges and not self._is_in_message
        if is_idle and self._last_received_s < cutoff_s:
            self.close()

    def _reset(self):
        self._url = b""
        self._body = bytearray()
        self._header_by_name = {}
        self._n_received_head_bytes = 0
        self._n_parsed_head_bytes = 0
        self._is_head_complete = False
        self._is_in_message = False

    def _count_head_bytes(self, n_bytes):
        self._n_parsed_head_bytes += n_bytes
        if self._n_parsed_head_bytes > self._limits.max_head_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _reject(self, status):
        if self._is_closing:
            return
        for exchange in self._exchanges:
            exchange.notify_disconnect()
        self._exchanges.clear()
        self._write(status, status.phrase.encode(), (), True)
        self._is_closing = True
        self._cancel_timer()
        # Closing a socket with unread data would reset the connection, and the client
        # would lose the response.
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def _close_after_response(self):
        self._is_closing = True
        self._cancel_timer()
        self._transport.close()

    def _write(self, status, body, headers, is_last):
        lines = [
            f"HTTP/1.1 {int(status)} {http.HTTPStatus(status).phrase}",
            f"Content-Length: {len(body)}",
            "Content-Type: application/json",
        ]
        lines += [f"{name}: {value}" for name, value in headers]
        if is_last:
            lines.append("Connection: close")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self._transport.write(head.encode("latin-1") + body)

    def _set_timer(self, delay_s):
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self):
        if self._is_in_message and not self._exchanges:
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        elif not self._exchanges:
            self.close()
