"""MessagePack encoding of typed messages; decoding ignores unknown fields."""

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

_MESSAGE_CLASSES = (
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
    """Placeholder for a message of a kind that this version does not know.

    :param tag: name of the unknown kind.
    """

    tag: str = ""


class DecodeError(BuckthornshiftError):
    """The bytes are not a valid message."""


class MessageCodec:
    """Encode and decode messages, each tagged with the name of its class.

    A class whose name differs from its tag has the tag in ``wire_name``.

    :param classes: classes of the messages that can be decoded.
    :param omits_defaults: whether to leave out fields that have their default value.
        That makes messages much shorter, and takes more processor time.
    """

    def __init__(self, classes=(), omits_defaults=False):
        self.classes = classes
        self.omits_defaults = omits_defaults
        self._decoder_by_tag = {
            _get_wire_name(cls): msgspec.msgpack.Decoder(cls) for cls in classes
        }

    def encode(self, message):
        """Encode a message.

        :param message: an instance of one of the classes.
        :returns: MessagePack bytes.
        """
        fields = _omit_defaults(message) if self.omits_defaults else message
        return msgspec.msgpack.encode((_get_wire_name(type(message)), fields))

    def decode(self, body):
        """Decode a message encoded by :meth:`encode`.

        :param body: MessagePack bytes.
        :returns: the message, or an :class:`UnknownMessage` if its kind is unknown.
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


_DEFAULTS_BY_CLASS = {}


def _get_defaults(cls):
    """Return pairs of name and default of a class's fields; ``None`` if not attrs."""
    if cls not in _DEFAULTS_BY_CLASS:
        defaults = None
        if attrs.has(cls):
            defaults = tuple((f.name, f.default) for f in attrs.fields(cls))
        _DEFAULTS_BY_CLASS[cls] = defaults
    return _DEFAULTS_BY_CLASS[cls]


def _omit_defaults(value):
    """Return a message as nested dictionaries without fields at their defaults."""
    if isinstance(value, tuple):
        return [_omit_defaults(item) for item in value]
    defaults = _get_defaults(type(value))
    if defaults is None:
        return value
    fields = {}
    for name, default in defaults:
        field = getattr(value, name)
        if field != default:
            fields[name] = _omit_defaults(field)
    return fields


def _get_wire_name(cls):
    return getattr(cls, "wire_name", cls.__name__)


_CODEC = MessageCodec(classes=_MESSAGE_CLASSES)


def encode_message(message):
    """Encode a peer message or log record; see :meth:`MessageCodec.encode`."""
    return _CODEC.encode(message)


def decode_message(body):
    """Decode a peer message or log record; see :meth:`MessageCodec.decode`."""
    return _CODEC.decode(body)
