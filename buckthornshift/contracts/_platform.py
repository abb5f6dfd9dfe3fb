"""Messages to and from the platform: its log and its instance list."""

import enum

import attrs

CATALOGUE_STREAM = "catalogue"
CLAIMS_STREAM = "claims"


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record of the platform's log.

    :param offset: position of the record in its stream.
    :param body: encoded record, opaque to the platform.
    """

    offset: int = 0
    body: bytes = b""


@attrs.frozen(kw_only=True)
class LogBatch:
    """Response to a read of the log.

    :param earliest: lowest offset that the log still has.
    :param next_offset: offset at which to continue reading.
    :param head: offset that the next appended record will get.
    :param records: records in ascending order of their offsets.
    """

    earliest: int = 0
    next_offset: int = 0
    head: int = 0
    records: tuple[LogRecord, ...] = ()


class InstanceKind(enum.StrEnum):
    """Kind of an instance in the platform's list."""

    ENTRY = "entry"
    BACKEND = "backend"


@attrs.frozen(kw_only=True)
class InstanceRecord:
    """One instance in the platform's list.

    :param instance_id: name of the instance.
    :param kind: entry instance or backend server.
    :param incarnation: identifier of the process, new with each start.
    :param zone: availability zone.
    :param host: IP address.
    :param port: TCP port for entry instances to connect to.
    :param http_port: TCP port for callers (entry instances only).
    :param slots: maximum number of concurrent tasks of a backend server.
    :param cores: processor cores of a backend server.
    :param memory_mb: memory of a backend server, in megabytes.
    :param is_leaving: whether the instance is shutting down.
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
    """The platform's list of instances, including those that are shutting down.

    :param version: number that increases with each change of the list.
    :param instances: the instances; empty if the list is unchanged.
    :param is_unchanged: whether the reader already has this version.
    """

    version: int = 0
    is_unchanged: bool = False
    instances: tuple[InstanceRecord, ...] = ()
