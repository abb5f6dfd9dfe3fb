"""Messages between instances.

``wire_name`` is the tag of a message whose class has another name. Tags and field names
stay the same, because instances of different versions exchange messages.
"""

import enum
from typing import ClassVar

import attrs

from ._declarations import Configuration, JobSpec, Queue, ServerRecord


@attrs.frozen(kw_only=True)
class CellClaim:
    """Claim of the sender to own a cell of the servers.

    :param cell: number of the cell.
    :param term: term of the claim.
    :param n_owned: servers that accepted the claim; of two claims, that with more wins.
    :param complete_term: lowest term of the tokens that the servers of the cell have
        accepted from the sender; 0 unless each of them has accepted one.
    :param free_cpu: free CPU minus that of waiting tasks, in thousandths of a core.
    :param servers_digest: checksum of the servers of the cell on which tasks may run.
    """

    cell: int = 0
    term: int = 0
    n_owned: int = 0
    complete_term: int = 0
    free_cpu: int = 0
    servers_digest: int = 0


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Periodic message for failure detection, which also carries the sender's state.

    :param sent_ms: monotonic time of the sender at which it was sent.
    :param echo_ms: latest ``sent_ms`` received from the addressee; -1 for none.
    :param is_brief: whether ``born_ms``, ``power``, ``name`` and ``zone`` are left out
        because the addressee has confirmed them.
    :param born_ms: start of the sender's process, in milliseconds since the epoch.
    :param power: number of cores that the sender may use.
    :param name: name of the sender, for people.
    :param zone: availability zone of the sender.
    :param uptime_ms: time since the sender's process started; -1 once it is long.
    :param config_version: version of the sender's configuration.
    :param n_cells: number of cells that the sender uses.
    :param claims: a :class:`CellClaim` of each cell that it owns.
    :param list_digest: checksum of its list of servers.
    :param is_eligible: whether it is able to own servers.
    :param is_leaving: whether it is stopping.
    :param lag_ms: delay until it reads what has arrived at it.
    :param held_ids: servers with runs of a claim that it gave up.
    :param yielded_cells: cells that it gave up to a higher claim of an instance that it
        is in contact with.
    :param addresses: instances in contact with it that were not sent before.
    :param evacuation_version: version of its :class:`Evacuations`.
    :param n_losses: how often it has lost contact with the addressee's process.
    :param list_age_ms: for how long the store may have had another list of servers, if
        the sender reads the list itself; -1 otherwise.
    :param ended_keys: submissions to the addressee that have ended at the sender; in
        each heartbeat until the addressee has confirmed one.
    """

    sent_ms: float = 0.0
    echo_ms: float = -1.0
    is_brief: bool = False
    born_ms: int = 0
    power: float = 1.0
    name: str = ""
    zone: str = ""
    uptime_ms: int = -1
    config_version: int = 0
    n_cells: int = 1
    claims: tuple[CellClaim, ...] = ()
    list_digest: int = 0
    is_eligible: bool = False
    is_leaving: bool = False
    lag_ms: float = 0.0
    held_ids: tuple[str, ...] = ()
    yielded_cells: tuple[int, ...] = ()
    addresses: tuple[str, ...] = ()
    evacuation_version: int = 0
    n_losses: int = 0
    list_age_ms: float = -1.0
    ended_keys: tuple[int, ...] = ()
    wire_name: ClassVar[str] = "Beat"

    @property
    def holds_servers(self):
        """Whether the sender may have runs of the addressee's jobs on its servers."""
        return bool(self.claims or self.held_ids)


@attrs.frozen(kw_only=True)
class RunLeft:
    """A run that an owner left behind when it handed its job over.

    :param task: name of the task.
    :param server_id: server on which it may still be running.
    :param started_ms: incarnation of the server that listed it as running; 0 if none
        did.
    :param left_ms: time until it must have ended, if that is longer than its lease.
    """

    task: str = ""
    server_id: str = ""
    started_ms: int = 0
    left_ms: float = 0.0


@attrs.frozen(kw_only=True)
class SubmitJob:
    """Submission of a caller's job, from the instance that it reached to the owner.

    :param key: number of the submission at its sender.
    :param attempt: number of times that it was submitted to an owner, the same one
        again included; a repeat over a new connection keeps its number.
    :param job: the job.
    :param queue: its queue in the sender's configuration.
    :param waited_ms: time since the caller's request arrived.
    :param left_ms: time until the caller's deadline.
    :param is_resent: whether a former owner may have started the job.
    :param n_cells: number of cells that the sender uses.
    :param cell: number of the cell that is to run the job.
    :param is_passed_on: whether another cell was full and redirected it to this one.
    :param finished_tasks: tasks that a former owner saw completed.
    :param runs_left: runs of a former owner that handed the job over.
    :param runs_left_ms: time until the leases of those runs must have expired.
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
    finished_tasks: tuple[str, ...] = ()
    runs_left: tuple[RunLeft, ...] = ()
    runs_left_ms: float = 0.0


class Outcome(enum.StrEnum):
    """How a submission ended.

    ``RETURNED`` submissions are sent to another owner by the instance they came from.
    """

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
    HANDED_OVER = "handed_over"
    OUT_OF_CONTACT = "out_of_contact"
    CELL_FULL = "cell_full"
    NO_CONFIGURATION = "no_configuration"
    STOPPING = "stopping"


@attrs.frozen(kw_only=True)
class JobEnded:
    """Outcome of a submission, from the owner to the sender.

    :param key: from :class:`SubmitJob`.
    :param attempt: from :class:`SubmitJob`.
    :param outcome: ``returned`` if the sender is to find another owner.
    :param reason: why it did not complete.
    :param may_have_run: whether a task of the job may have started.
    :param retry_after_ms: time until a retry may succeed; 0 if unknown.
    :param cell: cell to submit the job to, if the reason is ``cell_full``.
    :param finished_tasks: tasks that are completed, if it is ``returned``.
    :param runs_left: runs that the next owner is to adopt, if the reason is
        ``handed_over``.
    """

    key: int = 0
    attempt: int = 0
    outcome: Outcome = Outcome.COMPLETED
    reason: EndReason = EndReason.NONE
    may_have_run: bool = False
    retry_after_ms: float = 0.0
    cell: int = 0
    finished_tasks: tuple[str, ...] = ()
    runs_left: tuple[RunLeft, ...] = ()


@attrs.frozen(kw_only=True)
class DropJob:
    """Cancellation of a submission whose caller has left.

    :param key: from :class:`SubmitJob`.
    """

    key: int = 0


@attrs.frozen(kw_only=True)
class ServerHealthReport:
    """Health of a degraded server, as observed by its owner.

    :param server_id: id of the server.
    :param suspect_left_ms: time for which it remains suspected; 0 if it is not.
    :param n_failures: consecutive failures.
    :param slowness: moving average of the ratio of actual to estimated run times.
    :param kind_ratio: mean ratio of its run times to those of its kind.
    :param cold_left_ms: time for which it is expected to be slow after its start.
    """

    server_id: str = ""
    suspect_left_ms: float = 0.0
    n_failures: int = 0
    slowness: float = 1.0
    kind_ratio: float = 1.0
    cold_left_ms: float = 0.0


@attrs.frozen(kw_only=True)
class KindSlowness:
    """How slow the servers of a kind are, as observed by an owner.

    :param kind: service and labels of the kind.
    :param slowness: factor on run times, relative to the mean of the service's servers.
    """

    kind: tuple[str, ...] = ()
    slowness: float = 1.0


@attrs.frozen(kw_only=True)
class ServerListUpdate:
    """The owner's list of backend servers, or the changes to it.

    :param servers: the whole list, or its new and changed entries.
    :param gone_ids: servers that are no longer listed; some may still run tasks.
    :param is_whole: whether ``servers`` is the whole list.
    :param age_ms: for how long the store may have had another list; -1 if unknown.
    """

    servers: tuple[ServerRecord, ...] = ()
    gone_ids: tuple[str, ...] = ()
    is_whole: bool = False
    age_ms: float = -1.0
    wire_name: ClassVar[str] = "ServersShared"


@attrs.frozen(kw_only=True)
class ServerHealthUpdate:
    """Health of the servers of a cell, from its owner.

    :param cell: number of the cell.
    :param lessons: a :class:`ServerHealthReport` of each degraded server; servers
        without one are healthy.
    :param kinds: a :class:`KindSlowness` of each kind, where kinds differ in speed.
    """

    cell: int = 0
    lessons: tuple[ServerHealthReport, ...] = ()
    kinds: tuple[KindSlowness, ...] = ()
    wire_name: ClassVar[str] = "LessonsShared"


@attrs.frozen(kw_only=True)
class ServerLoss:
    """Loss of a server under running tasks, from its owner.

    :param server_id: id of the server.
    :param tasks: names of the tasks that may have crashed it.
    :param age_ms: time since the server last responded.
    :param started_ms: incarnation that was lost; 0 if unknown.
    :param is_crash: whether its process seems to have ended by itself.
    """

    server_id: str = ""
    tasks: tuple[str, ...] = ()
    age_ms: float = 0.0
    started_ms: int = 0
    is_crash: bool = False


@attrs.frozen(kw_only=True)
class ServerLossRetracted:
    """A server has responded, so that its loss was only a loss of contact.

    :param server_id: id of the server.
    :param started_ms: incarnation that responded; 0 if unknown.
    :param age_ms: time since the request was sent that it responded to.
    """

    server_id: str = ""
    started_ms: int = 0
    age_ms: float = 0.0


@attrs.frozen(kw_only=True)
class ConfigurationUpdate:
    """Configuration of the sender, sent to an instance with an older version.

    :param configuration: the configuration.
    """

    configuration: Configuration = Configuration()
    wire_name: ClassVar[str] = "ConfigurationShared"


@attrs.frozen(kw_only=True)
class EvacuationUpdate:
    """Evacuated zones, sent to an instance with a lower version of the set.

    :param version: version of the sender's :class:`Evacuations`.
    :param zones: all evacuated zones.
    """

    version: int = 0
    zones: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class CompletedTasks:
    """Tasks of a job that are completed.

    :param job_id: id of the job.
    :param tasks: the names of the tasks without the id and the dot after it.
    :param age_ms: time since the newest completion was read.
    """

    job_id: str = ""
    tasks: tuple[str, ...] = ()
    age_ms: float = 0.0


@attrs.frozen(kw_only=True)
class TasksCompleted:
    """Completions of tasks whose job isn't open at the instance that read them.

    :param jobs: a :class:`CompletedTasks` of each job.
    """

    jobs: tuple[CompletedTasks, ...] = ()


PEER_MESSAGES = (
    Heartbeat,
    SubmitJob,
    JobEnded,
    DropJob,
    ServerListUpdate,
    ServerHealthUpdate,
    ConfigurationUpdate,
    ServerLoss,
    ServerLossRetracted,
    EvacuationUpdate,
    TasksCompleted,
)
