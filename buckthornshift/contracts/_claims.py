"""Records of the claims stream."""

import attrs


@attrs.frozen(kw_only=True)
class Claim:
    """One instance's claim to run a job; the first in log order wins.

    :param job_id: identifier of the job.
    :param digest: digest of the job's content.
    :param home: instance that claims the job.
    :param incarnation: process incarnation of that instance.
    :param term: 0 for a first claim; a takeover of repeatable work raises it.
    :param is_repeatable: whether another instance may take the job over.
    :param is_late: whether the job was started during a log outage, before the
        claim could be appended; such a claim tells what happened and overrides
        an earlier one.
    """

    job_id: str = ""
    digest: str = ""
    home: str = ""
    incarnation: str = ""
    term: int = 0
    is_repeatable: bool = False
    is_late: bool = False


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of a job, kept for resubmissions.

    :param job_id: identifier of the job.
    :param term: term of the claim under which the job ran.
    :param answer: the encoded answer; empty if it was too large to keep.
    """

    job_id: str = ""
    term: int = 0
    answer: bytes = b""


@attrs.frozen(kw_only=True)
class ClaimsFloor:
    """Creation time at or below which unknown job ids are refused.

    :param covers: every claim below this offset is covered.
    :param floor_ms: highest job creation time among the covered claims, in
        milliseconds since the epoch.
    """

    covers: int = 0
    floor_ms: int = 0


@attrs.frozen(kw_only=True)
class ClaimsBatch:
    """Record: everything that one instance appends to the claims stream at once.

    :param writer: instance that appended.
    :param claims: claims in order.
    :param outcomes: outcomes of jobs that ended.
    :param floor: floor, at most one per batch.
    """

    writer: str = ""
    claims: tuple[Claim, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    floor: ClaimsFloor | None = None
