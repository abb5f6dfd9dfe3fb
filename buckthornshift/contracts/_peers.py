"""Messages between entry instances."""

import attrs

from ._catalogue import CatalogueSnapshot
from ._job import JobAnswer, JobRequest


@attrs.frozen(kw_only=True)
class AwaitJob:
    """Ask a job's home for its answer, or to run it during a log outage.

    :param request_id: identifier of this question at the sender.
    :param job: the job as submitted.
    :param is_resubmission: whether the caller marked it as sent before.
    :param is_forwarded: whether the receiver is to run a job that it does not
        know rather than send it on.
    """

    request_id: int = 0
    job: JobRequest = JobRequest()
    is_resubmission: bool = False
    is_forwarded: bool = False


@attrs.frozen(kw_only=True)
class JobAnswered:
    """Answer to :class:`AwaitJob`.

    :param request_id: identifier from the question.
    :param answer: the job's answer.
    """

    request_id: int = 0
    answer: JobAnswer = JobAnswer()


@attrs.frozen(kw_only=True)
class CancelJob:
    """Ask a job's home to cancel it.

    :param request_id: identifier of this question at the sender.
    :param job_id: the job.
    """

    request_id: int = 0
    job_id: str = ""


@attrs.frozen(kw_only=True)
class OwnerDemand:
    """Tasks that an instance runs or queues for limited items.

    :param incarnation: incarnation of the sender's process.
    :param sequence: grows with each message of one incarnation.
    :param n_tasks_by_key: running and queued tasks by limited item.
    """

    incarnation: str = ""
    sequence: int = 0
    n_tasks_by_key: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """Ask a peer for its catalogue, used by an instance that cannot read the log."""


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """A peer's catalogue.

    :param snapshot: the catalogue, or ``None`` if the peer has none.
    """

    snapshot: CatalogueSnapshot | None = None


PeerMessage = (
    AwaitJob | JobAnswered | CancelJob | OwnerDemand | SnapshotRequest | SnapshotReply
)
