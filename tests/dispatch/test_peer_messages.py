"""Messages between instances keep their tags and fields on the wire."""

import attrs
import msgspec

from buckthornshift.contracts import MessageCodec
from buckthornshift.dispatch import PEER_MESSAGES

CODEC = MessageCodec(classes=PEER_MESSAGES)
# Instances of different versions exchange messages during an upgrade.
TAGS = [
    "Beat",
    "SubmitJob",
    "JobEnded",
    "DropJob",
    "ServersShared",
    "LessonsShared",
    "ConfigurationShared",
]


def test_tags_on_the_wire_are_unchanged():
    encoded = [CODEC.encode(message_class()) for message_class in PEER_MESSAGES]
    assert [msgspec.msgpack.decode(body)[0] for body in encoded] == TAGS


def test_only_declared_fields_are_encoded():
    for message_class in PEER_MESSAGES:
        _, fields = msgspec.msgpack.decode(CODEC.encode(message_class()))
        assert set(fields) == {field.name for field in attrs.fields(message_class)}


def test_each_message_is_decoded_to_its_class():
    for message_class in PEER_MESSAGES:
        message = message_class()
        assert CODEC.decode(CODEC.encode(message)) == message
