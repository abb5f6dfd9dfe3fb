"""Models of the platform's log and its list of instances, without I/O."""

import attrs

from ..contracts import InstanceList, LogBatch, LogRecord

MAX_READ_RECORDS = 1_000


@attrs.define(kw_only=True)
class PlatformFaults:
    """Faults of the platform stand-in.

    :param is_log_down: whether appends and reads of the log fail.
    :param extra_sync_ms: delay added to each append.
    :param n_lose_replies: number of coming appends that take effect without a response.
    :param list_lag_ms: age of the list that reads return.
    :param is_list_down: whether reads of the list fail.
    """

    is_log_down: bool = False
    extra_sync_ms: float = 0.0
    n_lose_replies: int = 0
    list_lag_ms: float = 0.0
    is_list_down: bool = False


@attrs.define(kw_only=True)
class _Stream:
    earliest: int = 0
    bodies: list = attrs.field(factory=list)
    times_ms: list = attrs.field(factory=list)

    @property
    def head(self):
        return self.earliest + len(self.bodies)


class LogModel:
    """Append-only streams of records with offsets and limited retention.

    :param retention_ms: retention time of records.
    """

    def __init__(self, retention_ms=3_600_000.0):
        self.retention_ms = retention_ms
        self.n_appends = 0
        self.n_bytes = 0
        self._streams_by_name = {}

    def append(self, stream, body, now_ms):
        """Append a record; return its offset."""
        state = self._streams_by_name.setdefault(stream, _Stream())
        offset = state.head
        state.bodies.append(body)
        state.times_ms.append(now_ms)
        self.n_appends += 1
        self.n_bytes += len(body)
        return offset

    def read(self, stream, offset):
        """Return the records from an offset on, at most ``MAX_READ_RECORDS``."""
        state = self._streams_by_name.setdefault(stream, _Stream())
        first = max(offset, state.earliest)
        bodies = state.bodies[first - state.earliest :][:MAX_READ_RECORDS]
        records = tuple(
            LogRecord(offset=first + index, body=body)
            for index, body in enumerate(bodies)
        )
        return LogBatch(
            earliest=state.earliest,
            next_offset=first + len(records),
            head=state.head,
            records=records,
        )

    def get_head(self, stream):
        """Return the offset that the next append will get."""
        return self._streams_by_name.setdefault(stream, _Stream()).head

    def trim(self, now_ms):
        """Drop the records whose retention time is over."""
        for state in self._streams_by_name.values():
            n_old = 0
            for time_ms in state.times_ms:
                if now_ms - time_ms <= self.retention_ms:
                    break
                n_old += 1
            del state.bodies[:n_old]
            del state.times_ms[:n_old]
            state.earliest += n_old


class ListModel:
    """List of live and leaving instances; reads can return an older version of it."""

    def __init__(self):
        self.by_id = {}
        self.version = 0
        self._history = []

    def put(self, record, now_ms):
        """Add or replace the record of an instance."""
        if self.by_id.get(record.instance_id) != record:
            self.by_id[record.instance_id] = record
            self._record_version(now_ms)

    def remove(self, instance_id, now_ms):
        """Remove an instance from the list."""
        if self.by_id.pop(instance_id, None) is not None:
            self._record_version(now_ms)

    def read(self, now_ms, lag_ms=0.0):
        """Return the list as it was ``lag_ms`` ago.

        :param now_ms: the current time.
        :param lag_ms: age of the returned version.
        """
        current = InstanceList()
        for time_ms, listed in self._history:
            if time_ms <= now_ms - lag_ms:
                current = listed
        return current

    def _record_version(self, now_ms):
        self.version += 1
        listed = InstanceList(
            version=self.version, instances=tuple(self.by_id.values())
        )
        self._history.append((now_ms, listed))
        del self._history[:-200]
