"""Catalogue changes: conflicts, trimmed records, snapshots and differences."""

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


def test_second_of_two_conflicting_changes_is_rejected():
    catalogue = Catalogue()
    assert catalogue.consume_record(0, make_change("a", -1)).is_accepted
    assert catalogue.consume_record(1, make_change("b", 0, limit=6)).is_accepted
    result = catalogue.consume_record(2, make_change("c", 0, limit=7))
    assert not result.is_accepted
    assert result.conflicts == ("entry/x",)
    assert catalogue.items_by_key["entry/x"].entry.max_tasks_per_job == 6


def test_changes_of_different_items_do_not_conflict():
    catalogue = Catalogue()
    catalogue.consume_record(0, make_change("a", -1))
    result = catalogue.consume_record(1, make_change("b", -1, key="entry/y"))
    assert result.is_accepted


def test_reader_of_a_trimmed_log_waits_for_a_snapshot():
    complete = Catalogue()
    changes = [make_change("a", -1), make_change("b", 0, 6), make_change("c", 0, 7)]
    for offset, change in enumerate(changes):
        complete.consume_record(offset, change)
    snapshot = complete.make_snapshot()
    late_reader = Catalogue()
    # Without the first two records the third would not show its conflict.
    late_reader.consume_record(2, changes[2])
    assert late_reader.version == -1
    late_reader.consume_record(3, snapshot)
    late_reader.finish_read(LogBatch(earliest=2, next_offset=4, head=4))
    assert late_reader.items_by_key == complete.items_by_key
    assert late_reader.is_ready
    assert late_reader.covers == 4


def test_older_snapshot_is_ignored():
    catalogue = Catalogue()
    catalogue.consume_record(0, make_change("a", -1))
    old = catalogue.make_snapshot()
    catalogue.consume_record(1, make_change("b", 0, limit=9))
    assert not catalogue.merge_snapshot(old)
    assert catalogue.version == 1


def test_deleted_entry_stays_deleted_in_a_snapshot():
    catalogue = Catalogue()
    catalogue.consume_record(0, make_change("a", -1))
    deletion = CatalogueChange(
        change_id="d", based_on=0, items={"entry/x": CatalogueItem()}
    )
    catalogue.consume_record(1, deletion)
    restored = Catalogue()
    restored.merge_snapshot(catalogue.make_snapshot())
    assert restored.find_entry("x").reason is Reason.UNKNOWN_ENTRY


def test_diff_holds_only_changed_and_deleted_items():
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
