"""Links between entry instances over gRPC, with a codec library for messages.

Generic handlers carry MessagePack envelopes, so that no generated code is needed and
unknown message kinds and fields pass without harm.
"""

import asyncio

import grpc
import msgspec

from ..contracts import (
    DecodeError,
    UnknownMessage,
    decode_message,
    encode_message,
)
from ..core import PeerReceived, PeerSendFailed
from ._background_tasks import BackgroundTasks

SERVICE = "buckthornshift.Peer"
METHOD = "Deliver"
CALL_TIMEOUT_S = 1.0
MAX_MESSAGE_BYTES = 32_000_000
CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.use_local_subchannel_pool", 1),
)
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, bytes])
CONNECT_TIMEOUT_S = 0.5


class PeerServer:
    """Receive messages of other entry instances.

    :param host: IP address to listen on.
    :param port: TCP port; 0 for any.
    :param post_event: takes the events that arise.
    """

    def __init__(self, host="127.0.0.1", port=0, post_event=None):
        self.host = host
        self.port = port
        self.post_event = post_event
        self.bound_port = 0
        self._server = None

    async def start(self):
        """Begin to listen."""
        self._server = grpc.aio.server(
            options=(("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),)
        )
        handler = grpc.unary_unary_rpc_method_handler(self._deliver)
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        self.bound_port = self._server.add_insecure_port(f"{self.host}:{self.port}")
        await self._server.start()

    async def stop(self):
        """Stop listening."""
        await self._server.stop(grace=0.2)

    async def _deliver(self, body, context):
        try:
            sender_id, encoded = _ENVELOPE.decode(body)
            message = decode_message(encoded)
        except (msgspec.DecodeError, DecodeError) as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        if not isinstance(message, UnknownMessage):
            self.post_event(PeerReceived(peer_id=sender_id, message=message))
        return b""


class PeerLink(BackgroundTasks):
    """Send messages to one other entry instance.

    :param sender_id: name of this instance.
    :param record: the platform's record of the other.
    :param post_event: takes the events that arise.
    """

    def __init__(self, sender_id="", record=None, post_event=None):
        super().__init__()
        self.sender_id = sender_id
        self.record = record
        self.post_event = post_event
        self._channel = None
        self._call = None

    def send(self, message):
        """Send a message; a failure is posted as an event.

        :param message: a message of :mod:`buckthornshift.contracts`.
        """
        self.spawn(self._send(message))

    async def close(self):
        """Drop the connection."""
        self.cancel_tasks()
        if self._channel is not None:
            await self._channel.close()

    async def _send(self, message):
        if self._channel is None:
            target = f"{self.record.host}:{self.record.port}"
            self._channel = grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS)
            self._call = self._channel.unary_unary(f"/{SERVICE}/{METHOD}")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._channel.channel_ready()
        except TimeoutError:
            self._post_failure(message, may_have_arrived=False)
            return
        body = msgspec.msgpack.encode((self.sender_id, encode_message(message)))
        try:
            await self._call(body, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            self._post_failure(message, may_have_arrived=True)

    def _post_failure(self, message, may_have_arrived):
        self.post_event(
            PeerSendFailed(
                peer_id=self.record.instance_id,
                message=message,
                may_have_arrived=may_have_arrived,
            )
        )
