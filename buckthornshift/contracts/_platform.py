"""Messages between the system and the platform: its log and its instance list."""

import enum

import attrs

CATALOGUE_STREAM = "catalogue"
CLAIMS_STREAM = "claims"


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record of the platform's log.

    :param offset: position in its stream.
    :param body: encoded record, opaque to the platform.
    """

    offset: int = 0
    body: bytes = b""


@attrs.frozen(kw_only=True)
class LogBatch:
    """Answer to a read of the log.

    :param earliest: lowest offset that is still kept.
    :param next_offset: offset to read from next.
    :param head: offset that the next append will get.
    :param records: records in order.
    """

    earliest: int = 0
    next_offset: int = 0
    head: int = 0
    records: tuple[LogRecord, ...] = ()


class InstanceKind(enum.StrEnum):
    """Kinds of instance on the platform's list."""

    ENTRY = "entry"
    BACKEND = "backend"


@attrs.frozen(kw_only=True)
class InstanceRecord:
    """One instance on the platform's list.

    :param instance_id: name of the instance.
    :param kind: entry instance or backend server.
    :param incarnation: changes with each start of the instance's process.
    :param zone: availability zone.
    :param host: IP address.
    :param port: TCP port for work (backend) or peers (entry).
    :param http_port: TCP port for callers (entry only).
    :param slots: tasks that a backend server runs at once.
    :param cores: processor cores of a backend server.
    :param memory_mb: memory of a backend server, in megabytes.
    :param is_leaving: whether the instance is about to stop.
    """

    instance_id: str = ""
    kind: InstanceKind = InstanceKind.BACKEND
    incarnation: str = ""
    zone: str = ""
    host: str = "127.0.0.1"
    port: int = 0
    http_port: int = 0
    slots: int = 8
    cores: float = 16.0
    memory_mb: int = 32_768
    is_leaving: bool = False


@attrs.frozen(kw_only=True)
class InstanceList:
    """The platform's list of live and leaving instances.

    :param version: grows with each change.
    :param instances: the instances.
    :param is_unchanged: whether the reader knows this version already; the
        instances are left out then.
    """

    version: int = 0
    is_unchanged: bool = False
    instances: tuple[InstanceRecord, ...] = ()
