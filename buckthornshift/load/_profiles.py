"""Load profiles of two users: catalogue entries, job sizes and run times."""

import attrs

from ..contracts import (
    CatalogueDocument,
    EntrySpec,
    JobRequest,
    OwnerSpec,
    TaskSpec,
    make_job_id,
)


@attrs.frozen(kw_only=True)
class JobSizeClass:
    """Range of job sizes with its share of the jobs.

    :param weight: share of the jobs.
    :param min_tasks: smallest number of tasks of a job.
    :param max_tasks: largest number of tasks of a job.
    """

    weight: float = 1.0
    min_tasks: int = 1
    max_tasks: int = 1


@attrs.frozen(kw_only=True)
class RunTimeClass:
    """Range of task run times with its share of the tasks.

    :param weight: share of the tasks.
    :param min_ms: shortest run time, in milliseconds.
    :param max_ms: longest run time, in milliseconds.
    """

    weight: float = 1.0
    min_ms: float = 50.0
    max_ms: float = 1_000.0


@attrs.frozen(kw_only=True)
class EntryShare:
    """Share of a catalogue entry in the load.

    :param name: name of the entry.
    :param weight: share of the jobs.
    :param owner: owner of the entry.
    :param is_repeatable: whether its tasks may be started more than once.
    """

    name: str = ""
    weight: float = 1.0
    owner: str = ""
    is_repeatable: bool = True


@attrs.frozen(kw_only=True)
class Profile:
    """Mix of jobs that callers submit.

    :param job_sizes: ranges of job sizes.
    :param run_times: ranges of task run times.
    :param entries: shares of the catalogue entries.
    :param timeout_ms: timeout of every job, in milliseconds.
    :param declared_fraction: fraction of tasks that declare a run time.
    :param max_declared_error: largest factor by which a declared run time is above or
        below the true one.
    :param duplicate_fraction: fraction of jobs sent to two instances at once.
    :param cancel_fraction: fraction of jobs cancelled shortly after submission.
    :param burst_factor: arrival rate during a burst relative to the mean rate.
    :param burst_share: fraction of the time taken up by bursts.
    """

    job_sizes: tuple[JobSizeClass, ...] = ()
    run_times: tuple[RunTimeClass, ...] = ()
    entries: tuple[EntryShare, ...] = ()
    timeout_ms: int = 20_000
    declared_fraction: float = 0.5
    max_declared_error: float = 2.0
    duplicate_fraction: float = 0.0
    cancel_fraction: float = 0.0
    burst_factor: float = 1.0
    burst_share: float = 0.0


COMMON_JOB_SIZES = (
    JobSizeClass(weight=0.70, min_tasks=1, max_tasks=1),
    JobSizeClass(weight=0.22, min_tasks=2, max_tasks=10),
    JobSizeClass(weight=0.07, min_tasks=11, max_tasks=60),
    JobSizeClass(weight=0.01, min_tasks=61, max_tasks=340),
)
COMMON_RUN_TIMES = (
    RunTimeClass(weight=0.97, min_ms=50.0, max_ms=1_000.0),
    RunTimeClass(weight=0.03, min_ms=2_000.0, max_ms=5_000.0),
)
PROFILES_BY_NAME = {
    "treasury": Profile(
        job_sizes=COMMON_JOB_SIZES,
        run_times=COMMON_RUN_TIMES,
        entries=(
            EntryShare(name="balance-check", weight=0.6, owner="cash-desk"),
            EntryShare(
                name="same-day-payout",
                weight=0.3,
                owner="cash-desk",
                is_repeatable=False,
            ),
            EntryShare(
                name="evening-sweep",
                weight=0.1,
                owner="evening-desk",
                is_repeatable=False,
            ),
        ),
    ),
    "patrol": Profile(
        job_sizes=COMMON_JOB_SIZES,
        run_times=COMMON_RUN_TIMES,
        entries=(
            EntryShare(name="tree-flag", weight=0.4, owner="patrol"),
            EntryShare(name="span-check", weight=0.5, owner="patrol"),
            EntryShare(
                name="cut-order", weight=0.1, owner="cutting", is_repeatable=False
            ),
        ),
    ),
}


@attrs.frozen(kw_only=True)
class Arrival:
    """Arrival of one job of a load.

    :param at_ms: arrival time in milliseconds from the start of the load.
    :param job: the job; its id is assigned when it is sent.
    :param run_times_ms: true run times of its tasks, in milliseconds.
    :param is_duplicated: whether it is sent to two instances at once.
    :param cancel_after_ms: time from arrival to cancellation, in milliseconds, or
        ``None`` if the job is not cancelled.
    """

    at_ms: float = 0.0
    job: JobRequest = JobRequest()
    run_times_ms: tuple[float, ...] = ()
    is_duplicated: bool = False
    cancel_after_ms: float | None = None


def make_catalogue(profile):
    """Return a catalogue with the entries of a profile and no limits."""
    owners = {share.owner: OwnerSpec() for share in profile.entries}
    entries = {
        share.name: EntrySpec(owner=share.owner, is_repeatable=share.is_repeatable)
        for share in profile.entries
    }
    return CatalogueDocument(owners=owners, entries=entries)


def compute_mean_job_work_ms(profile):
    """Return the mean total run time of the tasks of a job, in milliseconds."""
    mean_tasks = _compute_weighted_mean(
        [(c.weight, (c.min_tasks + c.max_tasks) / 2) for c in profile.job_sizes]
    )
    mean_ms = _compute_weighted_mean(
        [(c.weight, (c.min_ms + c.max_ms) / 2) for c in profile.run_times]
    )
    return mean_tasks * mean_ms


def draw_arrivals(profile, load, n_slots, length_ms, random_state):
    """Draw the arrivals of an open-loop load at random.

    Jobs are drawn until their total run time reaches the offered work. The arrival
    times are then scaled to the length of the load, so that every seed offers the
    same load.

    :param profile: the :class:`Profile`.
    :param load: offered work as a fraction of the capacity of all slots.
    :param n_slots: total number of slots of all backend servers.
    :param length_ms: length of the load, in milliseconds.
    :param random_state: a :class:`random.Random`.
    :returns: list of :class:`Arrival`, ordered by time.
    """
    mean_gap_ms = compute_mean_job_work_ms(profile) / (load * n_slots)
    target_work_ms = load * n_slots * length_ms
    arrivals = []
    at_ms = 0.0
    work_ms = 0.0
    while work_ms < target_work_ms:
        rate_factor = _compute_rate_factor(profile, at_ms, length_ms)
        at_ms += random_state.expovariate(1.0) * mean_gap_ms / rate_factor
        arrivals.append(_draw_arrival(profile, at_ms, random_state))
        work_ms += sum(arrivals[-1].run_times_ms)
    scale = length_ms / at_ms
    return [attrs.evolve(a, at_ms=a.at_ms * scale) for a in arrivals]


def assign_job_id(job, wall_ms, random_state):
    """Return a copy of a job with a new id.

    :param job: the job.
    :param wall_ms: wall-clock time that the id encodes, in milliseconds.
    :param random_state: a :class:`random.Random`.
    """
    return attrs.evolve(job, job_id=make_job_id(wall_ms, random_state))


def _compute_rate_factor(profile, at_ms, length_ms):
    if not profile.burst_share:
        return 1.0
    # There is one burst in the middle of each tenth of the load.
    phase = (at_ms / (length_ms / 10.0)) % 1.0
    is_burst = abs(phase - 0.5) < profile.burst_share / 2
    if is_burst:
        return profile.burst_factor
    remaining_rate = 1.0 - profile.burst_share * profile.burst_factor
    return max(0.05, remaining_rate / (1.0 - profile.burst_share))


def _draw_arrival(profile, at_ms, random_state):
    size_class = _draw_weighted(profile.job_sizes, random_state)
    n_tasks = random_state.randint(size_class.min_tasks, size_class.max_tasks)
    run_times_ms = tuple(_draw_run_time(profile, random_state) for _ in range(n_tasks))
    entry = _draw_weighted(profile.entries, random_state)
    tasks = tuple(
        TaskSpec(
            task_id=f"t{index}",
            payload={"run_ms": run_ms},
            run_time_ms=_draw_declared_run_time(profile, run_ms, random_state),
        )
        for index, run_ms in enumerate(run_times_ms)
    )
    is_cancelled = random_state.random() < profile.cancel_fraction
    return Arrival(
        at_ms=at_ms,
        job=JobRequest(entry=entry.name, tasks=tasks, timeout_ms=profile.timeout_ms),
        run_times_ms=run_times_ms,
        is_duplicated=random_state.random() < profile.duplicate_fraction,
        cancel_after_ms=random_state.uniform(5.0, 300.0) if is_cancelled else None,
    )


def _draw_run_time(profile, random_state):
    time_class = _draw_weighted(profile.run_times, random_state)
    return round(random_state.uniform(time_class.min_ms, time_class.max_ms), 1)


def _draw_declared_run_time(profile, run_ms, random_state):
    if random_state.random() >= profile.declared_fraction:
        return 0
    error_factor = profile.max_declared_error ** random_state.uniform(-1.0, 1.0)
    return max(1, int(run_ms * error_factor))


def _draw_weighted(items, random_state):
    return random_state.choices(items, weights=[item.weight for item in items])[0]


def _compute_weighted_mean(pairs):
    total_weight = sum(weight for weight, _ in pairs)
    return sum(weight * value for weight, value in pairs) / total_weight
