"""Messages between instances: framed MessagePack over TCP.

Each instance sends over connections that it dialled, and receives over those that it
accepted. What is sent while a connection is away is lost; the core repeats it.
"""

import asyncio
import socket
import struct

from ..contracts import DecodeError, MessageCodec, UnknownMessage
from ..dispatch import PEER_MESSAGES, PeerConnected, PeerMessageReceived

_LENGTH = struct.Struct(">I")
_GREETING = struct.Struct(">QH")
MAX_FRAME_BYTES = 4_194_304
# What a peer that does not read may leave in memory before its link is cut.
MAX_BUFFERED_BYTES = 1_048_576
CONNECT_TIMEOUT_S = 0.3
CODEC = MessageCodec(classes=PEER_MESSAGES)


class PeerListener:
    """Accept connections of other instances.

    :param post: called with each event.
    :param on_bad_frame: called with the sender and the error for a bad frame.
    """

    def __init__(self, post=None, on_bad_frame=None):
        self.post = post
        self.on_bad_frame = on_bad_frame
        self._server = None
        self._connections = set()

    async def start(self, host, port):
        """Listen; return the port.

        :param host: IP address.
        :param port: TCP port; 0 for any.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Receiver(server=self), host, port, backlog=512
        )
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def add(self, connection):
        """Remember an open connection."""
        self._connections.add(connection)

    def discard(self, connection):
        """Forget a closed connection."""
        self._connections.discard(connection)


class _Receiver(asyncio.Protocol):
    def __init__(self, server=None):
        self._server = server
        self._transport = None
        self._buffer = bytearray()
        self._address = None
        self._incarnation = 0

    def connection_made(self, transport):
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, error):
        self._server.discard(self)

    def data_received(self, data):
        self._buffer += data
        try:
            while self._read_frame():
                pass
        except DecodeError as error:
            self._server.on_bad_frame(self._address, error)
            self._transport.abort()

    def close(self):
        """Close the connection."""
        self._transport.close()

    def _read_frame(self):
        if len(self._buffer) < _LENGTH.size:
            return False
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise DecodeError(f"frame of {length} bytes")
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return False
        frame = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        if self._address is None:
            self._read_greeting(frame)
            return True
        message = CODEC.decode(frame)
        if isinstance(message, UnknownMessage):
            return True
        event = PeerMessageReceived(
            address=self._address, incarnation=self._incarnation, message=message
        )
        self._server.post(event)
        return True

    def _read_greeting(self, frame):
        if len(frame) < _GREETING.size:
            raise DecodeError("greeting too short")
        incarnation, length = _GREETING.unpack_from(frame)
        name = frame[_GREETING.size : _GREETING.size + length]
        if not name.isascii() or b":" not in name:
            raise DecodeError("greeting without an address")
        self._address = name.decode("ascii")
        self._incarnation = incarnation


class PeerConnections:
    """Connections to other instances, one each, dialled when the core asks.

    :param identity: the :class:`~buckthornshift.dispatch.DispatchIdentity`.
    :param post: called with each event.
    """

    def __init__(self, identity=None, post=None):
        self.identity = identity
        self.post = post
        self._sender_by_address = {}
        self._dial_by_address = {}
        self._last_message = None
        self._last_frame = b""

    def dial(self, address):
        """Open a connection, in place of one that is there.

        :param address: ``host:port`` of the other instance.
        """
        self._drop(address)
        task = asyncio.ensure_future(self._dial(address))
        self._dial_by_address[address] = task

    def send(self, address, message):
        """Send a message if the connection is open; else it is lost.

        :param address: the addressee.
        :param message: the message.
        """
        sender = self._sender_by_address.get(address)
        if sender is not None:
            sender.send(self._encode(message))

    def disconnect(self, address):
        """Close the connection to an instance."""
        self._drop(address)

    def close(self):
        """Close every connection, after what was written."""
        for task in self._dial_by_address.values():
            task.cancel()
        for sender in self._sender_by_address.values():
            sender.close()

    def _encode(self, message):
        """Return the frame of a message; one that goes to everybody is made once."""
        if message is not self._last_message:
            self._last_message = message
            self._last_frame = CODEC.encode(message)
        return self._last_frame

    async def _dial(self, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, sender = await loop.create_connection(_Sender, host, int(port))
        except (OSError, TimeoutError, ValueError):
            # The core dials again while the instance stays silent.
            return
        name = self.identity.address.encode("ascii")
        sender.send(_GREETING.pack(self.identity.incarnation, len(name)) + name)
        self._sender_by_address[address] = sender
        self.post(PeerConnected(address=address))

    def _drop(self, address):
        task = self._dial_by_address.pop(address, None)
        if task is not None:
            task.cancel()
        sender = self._sender_by_address.pop(address, None)
        if sender is not None:
            sender.abort()


class _Sender(asyncio.Protocol):
    def __init__(self):
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, frame):
        """Write a frame; cut the link to a peer that does not read."""
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self._transport.abort()
            return
        self._transport.write(_LENGTH.pack(len(frame)) + frame)

    def close(self):
        """Close after what was written."""
        self._transport.close()

    def abort(self):
        """Close at once."""
        self._transport.abort()
