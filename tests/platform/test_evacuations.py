"""Evacuated zones are those whose key exists, whatever the document says."""

import pytest

from buckthornshift.platform import EvacuatedZones, KeyedBatch, KeyedRecord
from buckthornshift.platform._evacuations import (
    decode_evacuated_zone,
    make_evacuation_key,
)


def apply(zones, *pairs):
    records = tuple(KeyedRecord(key=key, value=value) for key, value in pairs)
    return zones.apply(KeyedBatch(records=records))


@pytest.mark.parametrize("zone", ["z", "hervanta-hall", "a/b", "ö" * 120])
def test_key_names_its_zone(zone):
    assert decode_evacuated_zone(make_evacuation_key(zone)) == zone


@pytest.mark.parametrize("zone", ["", "z" * 247])
def test_zone_without_a_valid_key_is_rejected(zone):
    with pytest.raises(ValueError, match="zone"):
        make_evacuation_key(zone)


@pytest.mark.parametrize("key", ["config", "evacuate", "evacuate/", "x/evacuate/z"])
def test_other_keys_evacuate_nothing(key):
    assert decode_evacuated_zone(key) is None


@pytest.mark.parametrize("document", [b"{}", b"{", b"null", b"\xff\x00", b" "])
def test_key_counts_whatever_its_document_is(document):
    zones = EvacuatedZones()
    assert apply(zones, ("evacuate/z", document))
    assert zones.list() == ("z",)


def test_record_without_a_value_ends_the_evacuation():
    zones = EvacuatedZones()
    apply(zones, ("evacuate/b", b"{}"), ("evacuate/a", b"{}"), ("config", b"{}"))
    assert zones.list() == ("a", "b")
    assert apply(zones, ("evacuate/b", b""))
    assert not apply(zones, ("evacuate/b", b""), ("evacuate/a", b"{}"), ("config", b""))
    assert zones.list() == ("a",)


def test_evacuation_that_ends_within_one_read_is_no_change():
    zones = EvacuatedZones()
    pair = (("evacuate/z", b"{}"), ("evacuate/z", b""))
    assert not apply(zones, *pair, *pair)
