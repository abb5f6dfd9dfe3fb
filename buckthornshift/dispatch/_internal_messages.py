"""Messages between components of the dispatch core, including timers."""

import attrs

from ._peer_messages import JobEnded


@attrs.frozen(kw_only=True)
class HeartbeatDue:
    """Timer: send heartbeats, detect lost instances, publish and claim what is due."""


@attrs.frozen(kw_only=True)
class HousekeepingDue:
    """Timer: renew leases, stop stalled tasks, remove expired state."""


@attrs.frozen(kw_only=True)
class CompletionsDue:
    """Timer: send completions that were read since the last time."""


@attrs.frozen(kw_only=True)
class InputDrained:
    """All input that had arrived when the sockets were last read has been handled."""


@attrs.frozen(kw_only=True)
class PeerLost:
    """Contact with an instance was lost, or its process was replaced.

    :param address: address of the instance.
    :param incarnation: its lost process.
    """

    address: str = ""
    incarnation: int = 0


@attrs.frozen(kw_only=True)
class ContactBroken:
    """Another instance has lost contact with this one, and may have regained it.

    :param address: address of that instance.
    :param incarnation: its process.
    """

    address: str = ""
    incarnation: int = 0


@attrs.frozen(kw_only=True)
class AbandonmentDue:
    """Timer: drop submissions whose sender lost contact and did not repeat them.

    :param submissions: each :class:`Submission`.
    """

    submissions: tuple = ()


@attrs.frozen(kw_only=True)
class PauseDetected:
    """This process was paused; other instances may have taken over its cells.

    :param late_ms: delay of the earliest timer.
    """

    late_ms: float = 0.0


@attrs.frozen(kw_only=True)
class OwnerChanged:
    """The known owner of a cell, or the completeness of its claim, has changed."""


@attrs.frozen(kw_only=True)
class ClaimStarted:
    """This instance has claimed a cell; its servers are to be claimed now.

    :param cell: number of the cell.
    """

    cell: int = 0


@attrs.frozen(kw_only=True)
class RivalClaimEnded:
    """Another instance no longer claims a cell that it claimed before.

    :param cell: number of the cell.
    """

    cell: int = 0


@attrs.frozen(kw_only=True)
class ClaimEnded:
    """This instance has given up a cell; its servers are to be released.

    :param cell: number of the cell.
    """

    cell: int = 0


@attrs.frozen(kw_only=True)
class CellsChanged:
    """The number of cells grows, and this instance has given up all its claims.

    :param n_cells: the new number of cells.
    """

    n_cells: int = 1


@attrs.frozen(kw_only=True)
class ServersAdded:
    """Servers were added to the list.

    :param servers: each new :class:`Server`.
    """

    servers: tuple = ()


@attrs.frozen(kw_only=True)
class ServersRestarted:
    """The list shows that servers have restarted under their former ids.

    :param servers: each :class:`Server`.
    """

    servers: tuple = ()


@attrs.frozen(kw_only=True)
class ServersChanged:
    """Servers or jobs changed in a way that may allow waiting tasks to start."""


@attrs.frozen(kw_only=True)
class RunReleased:
    """A run has ended or was given up, and its resources are free again.

    :param job_id: id of the job that it belongs to.
    """

    job_id: str = ""


@attrs.frozen(kw_only=True)
class SubmissionEnded:
    """A submission has an outcome, to be sent to the instance that submitted it.

    :param address: address of that instance.
    :param incarnation: its process.
    :param ended: the :class:`JobEnded` to send.
    """

    address: str = ""
    incarnation: int = 0
    ended: JobEnded = JobEnded()


@attrs.frozen(kw_only=True)
class CallerDeadline:
    """Timer: the deadline of a caller has passed.

    :param key: number of the submission at this instance.
    """

    key: int = 0


@attrs.frozen(kw_only=True)
class RefusalDue:
    """Timer: the caller of a job that had no owner is about to stop waiting.

    :param key: number of the submission at this instance.
    """

    key: int = 0


@attrs.frozen(kw_only=True)
class ResubmitDue:
    """Timer: a submission may be sent to an owner again.

    It fires once no run that a former owner started can be left, or when a submission
    is to be retried.

    :param key: number of the submission at this instance.
    """

    key: int = 0


@attrs.frozen(kw_only=True)
class JobDeadline:
    """Timer: the deadline of a job at the owner is near.

    :param job_id: id of the job.
    """

    job_id: str = ""


@attrs.frozen(kw_only=True)
class ServerRetryDue:
    """Timer: retry a server that did not respond or refused the token.

    :param server_id: id of the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class StartOverdue:
    """Timer: the response to a start command is overdue.

    :param server_id: id of the server.
    :param task: name of the task.
    :param run: number of the run.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0


@attrs.frozen(kw_only=True)
class StopRetryDue:
    """Timer: repeat a stop command that was not acknowledged.

    :param server_id: id of the server.
    :param task: name of the task.
    :param run: number of the run.
    """

    server_id: str = ""
    task: str = ""
    run: int = 0


@attrs.frozen(kw_only=True)
class AdoptionTimeout:
    """Timer: stop runs found on a claimed server whose job was not submitted again.

    :param server_id: id of the server.
    """

    server_id: str = ""


@attrs.frozen(kw_only=True)
class StopCheckDue:
    """Timer: check whether a graceful stop is complete."""
