"""Encoding of typed messages; unknown fields are ignored when decoding."""

import attrs
import msgspec

from ._catalogue import CatalogueChange, CatalogueSnapshot
from ._claims import ClaimsBatch
from ._job import JobAnswer
from ._peers import (
    AwaitJob,
    CancelJob,
    JobAnswered,
    OwnerDemand,
    SnapshotReply,
    SnapshotRequest,
)
from ._reasons import BuckthornshiftError

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
_CLASS_BY_TAG = {cls.__name__: cls for cls in _TAGGED}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


@attrs.frozen(kw_only=True)
class UnknownMessage:
    """Sentinel for a message of a kind that this version does not know.

    :param tag: the unknown kind.
    """

    tag: str = ""


class DecodeError(BuckthornshiftError):
    """Bytes that are not a valid message."""


def encode_message(message):
    """Encode a typed message with its kind.

    :param message: an instance of a registered message class.
    :returns: MessagePack bytes.
    """
    return msgspec.msgpack.encode((type(message).__name__, message))


def decode_message(body):
    """Decode a message that :func:`encode_message` made.

    :param body: MessagePack bytes.
    :returns: the message, or :class:`UnknownMessage`.
    :raises DecodeError: if the bytes are malformed.
    """
    try:
        tag, raw = _ENVELOPE.decode(body)
        cls = _CLASS_BY_TAG.get(tag)
        if cls is None:
            return UnknownMessage(tag=tag)
        return msgspec.msgpack.decode(raw, type=cls)
    except (msgspec.DecodeError, ValueError) as error:
        raise DecodeError(str(error)) from error
