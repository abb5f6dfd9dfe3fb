"""Catalogue of entries and owners, built from its stream of the shared log."""

import attrs

from ..contracts import (
    CatalogueChange,
    CatalogueDocument,
    CatalogueItem,
    CatalogueSnapshot,
    OwnerSpec,
    Reason,
    Refusal,
)
from ._invariants import Invariant

OWNER_PREFIX = "owner/"
ENTRY_PREFIX = "entry/"
MAX_REMEMBERED_CHANGES = 1_000


@attrs.frozen(kw_only=True)
class ChangeResult:
    """Whether a catalogue change was applied or rejected for a conflict.

    :param change_id: identifier of the change.
    :param offset: offset of the change in the log.
    :param is_accepted: whether the change was applied.
    :param conflicts: keys that other changes wrote after the version that this
        change is based on.
    """

    change_id: str = ""
    offset: int = 0
    is_accepted: bool = False
    conflicts: tuple[str, ...] = ()


class Catalogue:
    """Catalogue that results from applying the changes in log order.

    Changes use optimistic concurrency control: a change is rejected if one of its
    items was written after the version that it is based on. A reader that starts
    after records were trimmed buffers records until a snapshot covers the trimmed
    ones, so that it never checks a change against an incomplete catalogue. Of two
    states of an item, as when a snapshot is applied, the one with the higher offset
    wins.

    ``covers`` is the offset after the last record that was applied, and ``version``
    the offset of the last accepted change.

    :param monitor: the invariant monitor.
    """

    def __init__(self, monitor=None):
        self.monitor = monitor
        self.version = -1
        self.covers = 0
        self.is_ready = False
        self.items_by_key = {}
        self.results_by_change = {}
        self.last_snapshot_offset = -1
        self._buffered_by_offset = {}

    @property
    def is_waiting_for_snapshot(self):
        """Whether records are buffered until a snapshot arrives."""
        return bool(self._buffered_by_offset)

    def consume_record(self, offset, message):
        """Apply one record of the catalogue stream, or buffer it after a gap.

        :param offset: offset of the record.
        :param message: the decoded record; a message of another class is skipped.
        :returns: the :class:`ChangeResult` of a change, else ``None``.
        """
        if offset < self.covers:
            return None
        if offset > self.covers:
            self._buffer_record(offset, message)
            return None
        return self._apply_record(offset, message)

    def merge_snapshot(self, snapshot):
        """Apply a snapshot that is ahead, and then the buffered records after it.

        :param snapshot: a :class:`~buckthornshift.contracts.CatalogueSnapshot`.
        :returns: whether the snapshot was ahead and has been applied.
        """
        if snapshot.covers <= self.covers:
            return False
        for key, item in snapshot.items.items():
            self._set_item(key, item)
        self._raise_version(snapshot.version)
        self.covers = snapshot.covers
        self.is_ready = True
        self._apply_buffered()
        return True

    def finish_read(self, batch):
        """Finish a read; the catalogue is ready once it has reached the log's head.

        :param batch: the :class:`~buckthornshift.contracts.LogBatch` just read.
        """
        if self.covers >= batch.head:
            self.is_ready = True

    def make_snapshot(self):
        """Return a snapshot of the current catalogue."""
        return CatalogueSnapshot(
            covers=self.covers, version=self.version, items=dict(self.items_by_key)
        )

    def find_entry(self, name):
        """Return the entry with a given name, or a refusal if there is none.

        :param name: name of the entry.
        :returns: :class:`~buckthornshift.contracts.EntrySpec` or
            :class:`~buckthornshift.contracts.Refusal`.
        """
        if not self.is_ready:
            return Refusal(
                reason=Reason.CATALOGUE_NOT_READY,
                detail="the catalogue has not been read yet",
                retry_after_ms=1_000,
            )
        item = self.items_by_key.get(ENTRY_PREFIX + name)
        if item is None or item.entry is None:
            return Refusal(
                reason=Reason.UNKNOWN_ENTRY,
                detail=f"got entry {name!r}, expected one of the catalogue",
            )
        return item.entry

    def find_owner(self, name):
        """Return the limits of an owner; an owner without an item has none.

        :param name: name of the owner.
        """
        item = self.items_by_key.get(OWNER_PREFIX + name)
        if item is None or item.owner is None:
            return OwnerSpec()
        return item.owner

    def _buffer_record(self, offset, message):
        if isinstance(message, CatalogueSnapshot) and self._covers_gap(message, offset):
            self.merge_snapshot(message)
            self.consume_record(offset, message)
            return
        self._buffered_by_offset[offset] = message

    def _covers_gap(self, snapshot, offset):
        first_buffered = min(self._buffered_by_offset, default=offset)
        return snapshot.covers >= first_buffered

    def _apply_buffered(self):
        for offset in sorted(self._buffered_by_offset):
            if offset > self.covers:
                return
            message = self._buffered_by_offset.pop(offset)
            if offset == self.covers:
                self._apply_record(offset, message)

    def _apply_record(self, offset, message):
        self.covers = offset + 1
        match message:
            case CatalogueChange():
                return self._apply_change(offset, message)
            case CatalogueSnapshot():
                self.last_snapshot_offset = offset
        return None

    def _apply_change(self, offset, change):
        conflicts = tuple(
            key for key in change.items if self._get_offset(key) > change.based_on
        )
        is_repeat = change.change_id in self.results_by_change
        if is_repeat:
            return None
        if not conflicts:
            for key, item in change.items.items():
                self._set_item(key, attrs.evolve(item, offset=offset))
            self._raise_version(offset)
        result = ChangeResult(
            change_id=change.change_id,
            offset=offset,
            is_accepted=not conflicts,
            conflicts=conflicts,
        )
        self._remember_result(result)
        return result

    def _remember_result(self, result):
        self.results_by_change[result.change_id] = result
        if len(self.results_by_change) > MAX_REMEMBERED_CHANGES:
            self.results_by_change.pop(next(iter(self.results_by_change)))

    def _get_offset(self, key):
        item = self.items_by_key.get(key)
        return -1 if item is None else item.offset

    def _set_item(self, key, item):
        if item.offset > self._get_offset(key):
            self.items_by_key[key] = item

    def _raise_version(self, version):
        if self.monitor is not None:
            self.monitor.check(
                version >= self.version,
                Invariant.CATALOGUE_NEVER_REVERTS,
                f"{version} after {self.version}",
            )
        self.version = max(self.version, version)


def flatten_document(document):
    """Return the items of a catalogue document by their key in the log.

    :param document: a :class:`~buckthornshift.contracts.CatalogueDocument`.
    """
    items = {
        OWNER_PREFIX + name: CatalogueItem(owner=spec)
        for name, spec in document.owners.items()
    }
    for name, spec in document.entries.items():
        items[ENTRY_PREFIX + name] = CatalogueItem(entry=spec)
    return items


def build_document(items_by_key):
    """Return the catalogue document that corresponds to some items.

    :param items_by_key: items of a catalogue; deleted items are left out.
    """
    owners = {}
    entries = {}
    for key, item in sorted(items_by_key.items()):
        if item.owner is not None:
            owners[key.removeprefix(OWNER_PREFIX)] = item.owner
        if item.entry is not None:
            entries[key.removeprefix(ENTRY_PREFIX)] = item.entry
    return CatalogueDocument(owners=owners, entries=entries)


def diff_items(current_by_key, wanted_by_key):
    """Return the items to write to turn the current catalogue into a new one.

    :param current_by_key: items of the current catalogue.
    :param wanted_by_key: items of the new document.
    :returns: changed items by key; an empty item deletes.
    """
    changed = {}
    for key, item in wanted_by_key.items():
        current = current_by_key.get(key, CatalogueItem())
        if (item.owner, item.entry) != (current.owner, current.entry):
            changed[key] = item
    for key, item in current_by_key.items():
        is_present = item.owner is not None or item.entry is not None
        if is_present and key not in wanted_by_key:
            changed[key] = CatalogueItem()
    return changed
