"""Exchange messages between instances: length-prefixed MessagePack over TCP.

Each instance sends over the connections that it opened and receives over those that it
accepted. A message that is sent while the connection is down is lost; the core sends
it again.
"""

import asyncio
import socket
import struct

from ..contracts import DecodeError, MessageCodec, UnknownMessage
from ..dispatch import PEER_MESSAGES, PeerConnected, PeerMessageReceived

_LENGTH_PREFIX = struct.Struct(">I")
# Incarnation of the sender and length of its address. The address and the number of the
# connection follow; instances of earlier versions send no number.
_HANDSHAKE = struct.Struct(">QH")
_CONNECTION_NUMBER = struct.Struct(">Q")
MAX_FRAME_BYTES = 4_194_304
# Bytes buffered for a peer that does not read, above which its connection is aborted.
MAX_BUFFERED_BYTES = 1_048_576
CONNECT_TIMEOUT_S = 0.3
CODEC = MessageCodec(classes=PEER_MESSAGES, omits_defaults=True)


class PeerListener:
    """Accept connections of other instances and post the messages that they send.

    :param post: called with each event.
    :param on_bad_frame: called with the address of the sender (``None`` before its
        handshake) and the error when a frame can't be decoded.
    """

    def __init__(self, post=None, on_bad_frame=None):
        self.post = post
        self.on_bad_frame = on_bad_frame
        self._server = None
        self._connections = set()

    async def start(self, host, port):
        """Listen on an address and return the port.

        :param host: IP address.
        :param port: TCP port; 0 for any free one.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _IncomingConnection(listener=self), host, port, backlog=512
        )
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and close every accepted connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def add(self, connection):
        """Register an open connection, for :meth:`close`.

        :param connection: the connection.
        """
        self._connections.add(connection)

    def discard(self, connection):
        """Unregister a connection that was lost.

        :param connection: the connection.
        """
        self._connections.discard(connection)


class _IncomingConnection(asyncio.Protocol):
    def __init__(self, listener=None):
        self._listener = listener
        self._transport = None
        self._buffer = bytearray()
        self._address = None
        self._incarnation = 0
        self._connection_number = 0

    def connection_made(self, transport):
        self._transport = transport
        self._listener.add(self)

    def connection_lost(self, error):
        self._listener.discard(self)

    def data_received(self, data):
        self._buffer += data
        try:
            while self._read_frame():
                pass
        except DecodeError as error:
            self._listener.on_bad_frame(self._address, error)
            self._transport.abort()

    def close(self):
        """Close the connection once its write buffer is sent."""
        self._transport.close()

    def _read_frame(self):
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return False
        (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise DecodeError(f"frame of {length} bytes exceeds the maximum")
        end = _LENGTH_PREFIX.size + length
        if len(self._buffer) < end:
            return False
        frame = bytes(self._buffer[_LENGTH_PREFIX.size : end])
        del self._buffer[:end]
        if self._address is None:
            self._read_handshake(frame)
            return True
        message = CODEC.decode(frame)
        if isinstance(message, UnknownMessage):
            return True
        event = PeerMessageReceived(
            address=self._address,
            incarnation=self._incarnation,
            connection=self._connection_number,
            message=message,
        )
        self._listener.post(event)
        return True

    def _read_handshake(self, frame):
        if len(frame) < _HANDSHAKE.size:
            raise DecodeError("handshake is too short")
        incarnation, length = _HANDSHAKE.unpack_from(frame)
        address_end = _HANDSHAKE.size + length
        address = frame[_HANDSHAKE.size : address_end]
        if not address.isascii() or b":" not in address:
            raise DecodeError("handshake without the address of its sender")
        self._address = address.decode("ascii")
        self._incarnation = incarnation
        if len(frame) >= address_end + _CONNECTION_NUMBER.size:
            (self._connection_number,) = _CONNECTION_NUMBER.unpack_from(
                frame, address_end
            )


class PeerConnections:
    """Hold one outgoing connection to each other instance.

    The core decides when to open and when to abort each of them.

    :param identity: the :class:`~buckthornshift.dispatch.DispatchIdentity`.
    :param post: called with each event.
    """

    def __init__(self, identity=None, post=None):
        self.identity = identity
        self.post = post
        self._connection_by_address = {}
        self._dial_task_by_address = {}
        self._n_connections = 0
        self._last_message = None
        self._last_frame = b""

    def dial(self, address):
        """Open a connection in the background, in place of an existing one.

        :param address: ``host:port`` of the other instance.
        """
        self._abort(address)
        task = asyncio.ensure_future(self._dial(address))
        self._dial_task_by_address[address] = task

    def send(self, address, message):
        """Send a message if the connection is open, else drop it.

        :param address: ``host:port`` of the receiver.
        :param message: the message.
        """
        connection = self._connection_by_address.get(address)
        if connection is not None:
            connection.send(self._encode(message))

    def disconnect(self, address):
        """Abort the connection to an instance.

        :param address: ``host:port`` of the other instance.
        """
        self._abort(address)

    def close(self):
        """Close every connection once its write buffer is sent."""
        for task in self._dial_task_by_address.values():
            task.cancel()
        for connection in self._connection_by_address.values():
            connection.close()

    def _encode(self, message):
        """Return an encoded message; a broadcast message is encoded only once."""
        if message is not self._last_message:
            self._last_message = message
            self._last_frame = CODEC.encode(message)
        return self._last_frame

    async def _dial(self, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    _OutgoingConnection, host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The core repeats the attempt until it hears from the instance.
            return
        self._n_connections += 1
        own_address = self.identity.address.encode("ascii")
        connection.send(
            _HANDSHAKE.pack(self.identity.incarnation, len(own_address))
            + own_address
            + _CONNECTION_NUMBER.pack(self._n_connections)
        )
        self._connection_by_address[address] = connection
        self.post(PeerConnected(address=address))

    def _abort(self, address):
        task = self._dial_task_by_address.pop(address, None)
        if task is not None:
            task.cancel()
        connection = self._connection_by_address.pop(address, None)
        if connection is not None:
            connection.abort()


class _OutgoingConnection(asyncio.Protocol):
    def __init__(self):
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, frame):
        """Write a frame; abort the connection to a peer that does not read."""
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self._transport.abort()
            return
        self._transport.write(_LENGTH_PREFIX.pack(len(frame)) + frame)

    def close(self):
        """Close the connection once its write buffer is sent."""
        self._transport.close()

    def abort(self):
        """Close the connection at once and drop its write buffer."""
        self._transport.abort()
