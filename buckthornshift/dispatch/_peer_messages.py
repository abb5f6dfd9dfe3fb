"""Messages between instances."""

import enum

import attrs

from ._declarations import Configuration, JobSpec, Queue, ServerRecord


@attrs.frozen(kw_only=True)
class CellClaim:
    """The sender owns a cell of the servers.

    :param cell: number of the cell.
    :param term: term under which it owns it.
    :param n_owned: servers that it owns; the larger claim stands.
    :param is_complete: whether every listed server has accepted that term.
    :param free_cpu: room without what waits for it, in thousandths of a core.
    """

    cell: int = 0
    term: int = 0
    n_owned: int = 0
    is_complete: bool = False
    free_cpu: int = 0


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Sign of life; what an instance tells every other one again and again.

    :param sent_ms: the sender's clock when it was sent.
    :param echo_ms: latest ``sent_ms`` that the sender got from the addressee.
    :param born_ms: see :class:`DispatchIdentity`.
    :param power: see :class:`DispatchIdentity`.
    :param name: see :class:`DispatchIdentity`.
    :param zone: see :class:`DispatchIdentity`.
    :param config_version: version of the configuration in force.
    :param n_cells: number of cells that the sender divides the servers into.
    :param claims: the cells that it owns.
    :param list_digest: number that is the same for the same list of servers.
    :param is_eligible: whether it could own the servers.
    :param is_leaving: whether it is stopping.
    :param lag_ms: how long what arrives at it waits to be read.
    :param held_ids: servers that a former owner has not released yet.
    :param addresses: instances that it is in contact with, without those told before.
    """

    sent_ms: float = 0.0
    echo_ms: float = -1.0
    born_ms: int = 0
    power: float = 1.0
    name: str = ""
    zone: str = ""
    config_version: int = 0
    n_cells: int = 1
    claims: tuple[CellClaim, ...] = ()
    list_digest: int = 0
    is_eligible: bool = False
    is_leaving: bool = False
    lag_ms: float = 0.0
    held_ids: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SubmitJob:
    """The instance that a caller reached passes a job to the owner.

    :param key: number of the submission at its sender.
    :param attempt: counts the owners that it was passed to; a repeat over a new
        connection has the same number.
    :param job: the job.
    :param queue: its queue as the sender knows it.
    :param waited_ms: time since the caller's request arrived.
    :param left_ms: time until the caller's deadline.
    :param is_resent: whether a former owner may have started it.
    :param n_cells: number of cells as the sender knows it.
    :param cell: the cell that is to run it.
    :param is_passed_on: whether another cell had no room for it.
    """

    key: int = 0
    attempt: int = 0
    job: JobSpec = JobSpec()
    queue: Queue = Queue()
    waited_ms: float = 0.0
    left_ms: float = 0.0
    is_resent: bool = False
    n_cells: int = 1
    cell: int = 0
    is_passed_on: bool = False


class Outcome(enum.StrEnum):
    """How a submission ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    RETURNED = "returned"


class EndReason(enum.StrEnum):
    """Why a submission did not complete."""

    NONE = ""
    ATTEMPTS_USED_UP = "attempts_used_up"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    INFEASIBLE = "infeasible"
    UNSUPPORTED = "unsupported"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    OUT_OF_CONTACT = "out_of_contact"
    CELL_FULL = "cell_full"
    NO_CONFIGURATION = "no_configuration"
    STOPPING = "stopping"


@attrs.frozen(kw_only=True)
class JobEnded:
    """The owner tells how a submission ended.

    :param key: from :class:`SubmitJob`.
    :param attempt: from :class:`SubmitJob`.
    :param outcome: ``returned`` if the sender is to find another owner.
    :param reason: why it did not complete.
    :param may_have_run: whether a task of it may have begun.
    :param retry_after_ms: when asking again can help; 0 if unknown.
    :param cell: where a job goes for which there is no room.
    """

    key: int = 0
    attempt: int = 0
    outcome: Outcome = Outcome.COMPLETED
    reason: EndReason = EndReason.NONE
    may_have_run: bool = False
    retry_after_ms: float = 0.0
    cell: int = 0


@attrs.frozen(kw_only=True)
class DropJob:
    """The caller of a submission has left.

    :param key: from :class:`SubmitJob`.
    """

    key: int = 0


@attrs.frozen(kw_only=True)
class ServerHealthReport:
    """What an owner has learned of a server that is not as good as the others.

    :param server_id: the server.
    :param suspect_left_ms: for how long it is still suspected; 0 if it is not.
    :param n_failures: failures in a row.
    :param slowness: mean of real over estimated run times.
    """

    server_id: str = ""
    suspect_left_ms: float = 0.0
    n_failures: int = 0
    slowness: float = 1.0


@attrs.frozen(kw_only=True)
class ServerListUpdate:
    """The owner tells its list of backend servers, or what changed in it.

    :param servers: the whole list, or what is new or different.
    :param gone_ids: servers that are no longer in it, though some may still run tasks.
    :param is_whole: whether it is the whole list.
    """

    servers: tuple[ServerRecord, ...] = ()
    gone_ids: tuple[str, ...] = ()
    is_whole: bool = False


@attrs.frozen(kw_only=True)
class ServerHealthUpdate:
    """An owner tells what it has learned of the servers of its cell.

    :param cell: the cell.
    :param lessons: servers that are not as good as the others; all others are.
    """

    cell: int = 0
    lessons: tuple[ServerHealthReport, ...] = ()


@attrs.frozen(kw_only=True)
class ConfigurationUpdate:
    """An instance gives its configuration to one that has an older one.

    :param configuration: the configuration.
    """

    configuration: Configuration = Configuration()


PEER_MESSAGES = (
    Heartbeat,
    SubmitJob,
    JobEnded,
    DropJob,
    ServerListUpdate,
    ServerHealthUpdate,
    ConfigurationUpdate,
)
