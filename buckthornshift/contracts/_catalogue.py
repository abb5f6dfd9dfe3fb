"""The catalogue of owners and entries, and its records in the platform's log."""

import attrs

DEFAULT_MAX_TIMEOUT_MS = 60_000


@attrs.frozen(kw_only=True)
class OwnerSpec:
    """Limits of one owner, enforced across all entry instances.

    :param max_running_tasks: tasks running at once; 0 for no limit.
    :param max_starts_per_s: task starts a second; 0 for no limit.
    :param weight: share of the slots relative to other owners under load.
    """

    max_running_tasks: int = 0
    max_starts_per_s: float = 0.0
    weight: int = 1


@attrs.frozen(kw_only=True)
class EntrySpec:
    """One catalogue entry: a class of jobs with its owner and limits.

    :param owner: name of the owner.
    :param is_repeatable: whether a task may be started again after a failure.
    :param max_tasks_per_job: largest accepted job.
    :param max_timeout_ms: longest accepted timeout, in milliseconds.
    :param max_running_tasks: tasks running at once; 0 for no limit.
    :param max_starts_per_s: task starts a second; 0 for no limit.
    :param max_attempts: most starts of one repeatable task.
    :param is_served_in_outage: whether repeatable jobs run while the log is
        unreachable, with deduplication only in the memory of the zone's instances.
    """

    owner: str = ""
    is_repeatable: bool = False
    max_tasks_per_job: int = 340
    max_timeout_ms: int = DEFAULT_MAX_TIMEOUT_MS
    max_running_tasks: int = 0
    max_starts_per_s: float = 0.0
    max_attempts: int = 3
    is_served_in_outage: bool = True


@attrs.frozen(kw_only=True)
class CatalogueDocument:
    """The catalogue as operators write it.

    :param owners: limits of owners by owner name.
    :param entries: entries by entry name.
    """

    owners: dict[str, OwnerSpec] = attrs.field(factory=dict)
    entries: dict[str, EntrySpec] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class CatalogueItem:
    """One owner or entry with the log offset of its last change.

    :param offset: log offset of the change that set or deleted the item.
    :param owner: limits if the item is an owner, else ``None``.
    :param entry: specification if the item is an entry, else ``None``; both are
        ``None`` if the item is deleted.
    """

    offset: int = -1
    owner: OwnerSpec | None = None
    entry: EntrySpec | None = None


@attrs.frozen(kw_only=True)
class CatalogueChange:
    """Log record: a conditional change of some items of the catalogue.

    :param change_id: unique identifier of the change.
    :param based_on: catalogue version (a log offset) that the change is based on.
    :param author: who made the change.
    :param items: changed items by key; their offsets are set when the record is read.
    """

    change_id: str = ""
    based_on: int = -1
    author: str = ""
    items: dict[str, CatalogueItem] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class CatalogueSnapshot:
    """Log record: the whole catalogue, appended again before the log's retention ends.

    :param covers: log offset; the snapshot includes every record below it.
    :param version: version of the catalogue (a log offset).
    :param items: items by key, including deleted ones.
    """

    covers: int = 0
    version: int = -1
    items: dict[str, CatalogueItem] = attrs.field(factory=dict)
