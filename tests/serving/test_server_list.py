"""Entries of servers that other programs write to the store."""

import json

import pytest

from buckthornshift.platform import KeyedBatch, KeyedRecord
from buckthornshift.serving import _store_watcher
from buckthornshift.serving._store_watcher import _ServerList

ENTRY = {
    "Service": "cash",
    "Address": "10.0.0.9:8080",
    "Zone": "z",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768},
}


def make_list(*records):
    servers = _ServerList(log=lambda line: None)
    for key, value in records:
        servers.apply(KeyedBatch(records=(KeyedRecord(key=key, value=value),)))
    return servers


# Guards against the use of a server whose newest entry says something else.
@pytest.mark.parametrize(
    "value", [b"\xff", b"{}", json.dumps(ENTRY | {"State": "odd"}).encode()]
)
def test_unreadable_entry_replaces_a_readable_one(value):
    good = json.dumps(ENTRY).encode()
    event = make_list(("a", good), ("b", good), ("a", value)).make_event()
    assert [server.server_id for server in event.servers] == ["b"]
    assert event.unreadable_ids == ("a",)
    event = make_list(("a", value), ("a", good)).make_event()
    assert [server.server_id for server in event.servers] == ["a"]
    assert event.unreadable_ids == ()
    assert make_list(("a", value), ("a", b"")).make_event().unreadable_ids == ()


def test_error_that_nobody_expects_in_an_entry_is_one_of_that_entry(monkeypatch):
    """Guards against a reader that stops following the list."""
    decode = _store_watcher.decode_server

    def fail_on_one(server_id, body):
        if server_id == "b":
            raise KeyError("unexpected")
        return decode(server_id, body)

    monkeypatch.setattr(_store_watcher, "decode_server", fail_on_one)
    good = json.dumps(ENTRY).encode()
    event = make_list(("a", good), ("b", good), ("c", good)).make_event()
    assert [server.server_id for server in event.servers] == ["a", "c"]
    assert event.unreadable_ids == ("b",)
