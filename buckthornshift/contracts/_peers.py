"""Messages between entry instances."""

import attrs

from ._catalogue import CatalogueSnapshot
from ._job import JobAnswer, JobRequest


@attrs.frozen(kw_only=True)
class AwaitJob:
    """Ask a job's coordinator for the answer, or a peer to run a forwarded job.

    A job is forwarded during a log outage, so that one instance of the zone runs it,
    and by an instance that drains.

    :param request_id: identifier of this request, unique at the sender.
    :param job: the job as submitted.
    :param is_resubmission: whether the caller marked the job as submitted before.
    :param is_forwarded: whether the receiver should run the job if it does not know
        it, instead of forwarding it.
    """

    request_id: int = 0
    job: JobRequest = JobRequest()
    is_resubmission: bool = False
    is_forwarded: bool = False


@attrs.frozen(kw_only=True)
class JobAnswered:
    """Response to :class:`AwaitJob` or :class:`CancelJob`.

    :param request_id: identifier from the request.
    :param answer: answer of the job.
    """

    request_id: int = 0
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class CancelJob:
    """Ask the coordinator of a job to cancel it.

    :param request_id: identifier of this request, unique at the sender.
    :param job_id: identifier of the job.
    """

    request_id: int = 0
    job_id: str = ""


@attrs.frozen(kw_only=True)
class OwnerDemand:
    """Demand of an instance for catalogue items that have limits.

    :param incarnation: incarnation of the sender's process.
    :param sequence: number that increases with each message of one incarnation.
    :param n_tasks_by_key: number of running and queued tasks by item key.
    """

    incarnation: str = ""
    sequence: int = 0
    n_tasks_by_key: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """Ask a peer for its catalogue, if the log is unreachable or was trimmed."""


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """Response to :class:`SnapshotRequest`.

    :param snapshot: the peer's catalogue, or ``None`` if it has none.
    """

    snapshot: CatalogueSnapshot | None = None


PeerMessage = (
    AwaitJob | JobAnswered | CancelJob | OwnerDemand | SnapshotRequest | SnapshotReply
)
