"""Messages between the parts of the dispatch core, timer messages included."""

import attrs

from ._peer_messages import JobEnded


@attrs.frozen(kw_only=True)
class HeartbeatDue:
    """Timer: send beats and look at the age of those received."""


@attrs.frozen(kw_only=True)
class HousekeepingDue:
    """Timer: renew leases, look for stalled tasks, forget what is old."""


@attrs.frozen(kw_only=True)
class InputDrained:
    """Everything that had arrived at the last look at the sockets is handled."""


@attrs.frozen(kw_only=True)
class PeerLost:
    """An instance does not answer, or was replaced by another process.

    :param address: the instance.
    :param incarnation: its process.
    """

    address: str = ""
    incarnation: int = 0


@attrs.frozen(kw_only=True)
class PauseDetected:
    """This process stood still; others may have replaced it meanwhile.

    :param late_ms: by how much the first due timer is late.
    """

    late_ms: float = 0.0


@attrs.frozen(kw_only=True)
class OwnerChanged:
    """The owner of a cell has changed, or its claim is complete."""


@attrs.frozen(kw_only=True)
class ClaimStarted:
    """This instance claims a cell of the servers.

    :param cell: the cell.
    """

    cell: int = 0


@attrs.frozen(kw_only=True)
class ClaimEnded:
    """This instance gives a cell of the servers up.

    :param cell: the cell.
    """

    cell: int = 0


@attrs.frozen(kw_only=True)
class CellsChanged:
    """The servers are to be divided into more cells; nothing is owned now.

    :param n_cells: how many.
    """

    n_cells: int = 1


@attrs.frozen(kw_only=True)
class ServersAdded:
    """Servers are new on the list.

    :param servers: each new :class:`Server`.
    """

    servers: tuple = ()


@attrs.frozen(kw_only=True)
class ServersChanged:
    """The list of backend servers has changed."""


@attrs.frozen(kw_only=True)
class RunReleased:
    """A run does not hold room any more.

    :param job_id: the job that it belongs to.
    """

    job_id: str = ""


@attrs.frozen(kw_only=True)
class SubmissionEnded:
    """A submission has its outcome, to be told to the instance that sent it.

    :param address: the instance.
    :param incarnation: its process.
    :param ended: the outcome.
    """

    address: str = ""
    incarnation: int = 0
    ended: JobEnded = JobEnded()


@attrs.frozen(kw_only=True)
class CallerDeadline:
    """Timer: a caller's deadline has come without an answer.

    :param key: number of the submission.
    """

    key: int = 0


@attrs.frozen(kw_only=True)
class ResubmitDue:
    """Timer: nothing of a lost owner can run any more.

    :param key: number of the submission.
    """

    key: int = 0


@attrs.frozen(kw_only=True)
class JobDeadline:
    """Timer: a job at the owner has used up its time.

    :param job_id: the job.
    """

    job_id: str = ""


@attrs.frozen(kw_only=True)
class ServerRetryDue:
    """Timer: ask a server again.

    :param server_id: the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class StartOverdue:
    """Timer: a start should have been answered by now.

    :param server_id: the server.
    :param task: name of the task.
    :param run: number of the run.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0


@attrs.frozen(kw_only=True)
class StopRetryDue:
    """Timer: order a stop again that got no answer.

    :param server_id: the server.
    :param task: name of the task.
    :param run: number of the run.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0


@attrs.frozen(kw_only=True)
class AdoptionTimeout:
    """Timer: runs found at a takeover have no job by now.

    :param server_id: the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class StopCheckDue:
    """Timer: look whether a graceful stop is done."""
