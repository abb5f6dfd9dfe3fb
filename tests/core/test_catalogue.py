"""Catalogue in log order, with gaps, snapshots and races."""

import attrs

from buckthornshift.contracts import (
    CatalogueChange,
    CatalogueItem,
    EntrySpec,
    LogBatch,
    OwnerSpec,
    Reason,
)
from buckthornshift.core import (
    Catalogue,
    build_document,
    diff_items,
    flatten_document,
)


def make_change(name, based_on, limit=5, key="entry/x"):
    item = CatalogueItem(entry=EntrySpec(owner="o", max_tasks_per_job=limit))
    return CatalogueChange(change_id=name, based_on=based_on, items={key: item})


def test_first_of_two_racing_changes_wins():
    catalogue = Catalogue()
    assert catalogue.consume_record(0, make_change("a", -1)).is_accepted
    assert catalogue.consume_record(1, make_change("b", 0, limit=6)).is_accepted
    verdict = catalogue.consume_record(2, make_change("c", 0, limit=7))
    assert not verdict.is_accepted
    assert verdict.conflicts == ("entry/x",)
    assert catalogue.items_by_key["entry/x"].entry.max_tasks_per_job == 6


def test_changes_of_different_items_do_not_conflict():
    catalogue = Catalogue()
    catalogue.consume_record(0, make_change("a", -1))
    verdict = catalogue.consume_record(1, make_change("b", -1, key="entry/y"))
    assert verdict.is_accepted


def test_reader_after_a_gap_waits_for_a_snapshot():
    whole = Catalogue()
    changes = [make_change("a", -1), make_change("b", 0, 6), make_change("c", 0, 7)]
    for offset, change in enumerate(changes):
        whole.consume_record(offset, change)
    snapshot = whole.make_snapshot()
    late = Catalogue()
    # Without the first two records the third would look acceptable.
    late.consume_record(2, changes[2])
    assert late.version == -1
    late.consume_record(3, snapshot)
    late.finish_read(LogBatch(earliest=2, next_offset=4, head=4))
    assert late.items_by_key == whole.items_by_key
    assert late.is_ready
    assert late.covers == 4


def test_older_snapshot_reverts_nothing():
    catalogue = Catalogue()
    catalogue.consume_record(0, make_change("a", -1))
    old = catalogue.make_snapshot()
    catalogue.consume_record(1, make_change("b", 0, limit=9))
    assert not catalogue.merge_snapshot(old)
    assert catalogue.version == 1


def test_deletion_outlives_a_snapshot():
    catalogue = Catalogue()
    catalogue.consume_record(0, make_change("a", -1))
    deletion = CatalogueChange(
        change_id="d", based_on=0, items={"entry/x": CatalogueItem()}
    )
    catalogue.consume_record(1, deletion)
    fresh = Catalogue()
    fresh.merge_snapshot(catalogue.make_snapshot())
    assert fresh.find_entry("x").reason is Reason.UNKNOWN_ENTRY


def test_diff_writes_only_what_differs():
    catalogue = Catalogue()
    catalogue.consume_record(0, make_change("a", -1))
    catalogue.consume_record(1, make_change("b", 0, key="entry/y"))
    document = build_document(catalogue.items_by_key)
    assert diff_items(catalogue.items_by_key, flatten_document(document)) == {}
    del document.entries["x"]
    wanted = attrs.evolve(document, owners={"o": OwnerSpec(weight=2)})
    changed = diff_items(catalogue.items_by_key, flatten_document(wanted))
    assert changed["entry/x"] == CatalogueItem()
    assert set(changed) == {"entry/x", "owner/o"}
