"""Encoding of typed messages; unknown fields are ignored when decoding."""

import attrs
import msgspec

from ._catalogue import CatalogueChange, CatalogueSnapshot
from ._claims import ClaimsBatch
from ._errors import BuckthornshiftError
from ._job import JobAnswer
from ._peers import (
    AwaitJob,
    CancelJob,
    JobAnswered,
    OwnerDemand,
    SnapshotReply,
    SnapshotRequest,
)

_TAGGED = (
    AwaitJob,
    CancelJob,
    CatalogueChange,
    CatalogueSnapshot,
    ClaimsBatch,
    JobAnswer,
    JobAnswered,
    OwnerDemand,
    SnapshotReply,
    SnapshotRequest,
)
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


@attrs.frozen(kw_only=True)
class UnknownMessage:
    """Sentinel for a message of a kind that this version does not know.

    :param tag: the unknown kind.
    """

    tag: str = ""


class DecodeError(BuckthornshiftError):
    """Bytes that are not a valid message."""


class MessageCodec:
    """Encode typed messages with their kind.

    :param classes: the classes of messages.
    """

    def __init__(self, classes=()):
        self.classes = classes
        self._decoder_by_tag = {
            cls.__name__: msgspec.msgpack.Decoder(cls) for cls in classes
        }

    def encode(self, message):
        """Encode a message.

        :param message: an instance of one of the classes.
        :returns: MessagePack bytes.
        """
        return msgspec.msgpack.encode((type(message).__name__, message))

    def decode(self, body):
        """Decode a message that :meth:`encode` made.

        :param body: MessagePack bytes.
        :returns: the message, or :class:`UnknownMessage`.
        :raises DecodeError: if the bytes are malformed.
        """
        try:
            tag, raw = _ENVELOPE.decode(body)
            decoder = self._decoder_by_tag.get(tag)
            if decoder is None:
                return UnknownMessage(tag=tag)
            return decoder.decode(raw)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise DecodeError(str(error)) from error


_CODEC = MessageCodec(classes=_TAGGED)


def encode_message(message):
    """Encode a message of the product's own protocols; see :class:`MessageCodec`."""
    return _CODEC.encode(message)


def decode_message(body):
    """Decode a message of the product's own protocols; see :class:`MessageCodec`."""
    return _CODEC.decode(body)
