"""Records of the claims stream in the platform's log."""

import attrs


@attrs.frozen(kw_only=True)
class Claim:
    """Claim of an instance to run a job; the first claim in log order wins.

    :param job_id: identifier of the job.
    :param digest: digest of the job's content.
    :param home: name of the instance that claims the job, and coordinates it if the
        claim wins.
    :param incarnation: incarnation of that instance's process.
    :param term: 0 for the first claim; increased when another instance takes over a
        repeatable job.
    :param is_repeatable: whether another instance may take over the job.
    :param is_late: whether the job was started during a log outage, before the claim
        could be appended. Such a claim records what happened and overrides an earlier
        one.
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
    """Outcome of a job, kept to answer resubmissions.

    :param job_id: identifier of the job.
    :param term: term of the claim under which the job ran.
    :param answer: the encoded :class:`JobAnswer`; empty if it was too large to keep.
    """

    job_id: str = ""
    term: int = 0
    answer: bytes = b""


@attrs.frozen(kw_only=True)
class ClaimsFloor:
    """Job creation time up to which unknown job ids are refused.

    A job this old may have run although its claim is no longer in the log, so a job id
    without a claim must not start it again.

    :param covers: log offset; the floor includes every claim below it.
    :param floor_ms: latest job creation time among these claims, in milliseconds since
        the epoch.
    """

    covers: int = 0
    floor_ms: int = 0


@attrs.frozen(kw_only=True)
class ClaimsBatch:
    """Log record: everything that one instance appends to the claims stream at once.

    :param writer: incarnation of the instance that appended the record.
    :param claims: claims, in the order in which they take effect.
    :param outcomes: outcomes of jobs that ended.
    :param floor: new floor, or ``None``.
    """

    writer: str = ""
    claims: tuple[Claim, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    floor: ClaimsFloor | None = None
