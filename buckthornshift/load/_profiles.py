"""Load profiles of the two users: what arrives, how large, how long."""

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
class SizeClass:
    """A class of job sizes.

    :param weight: share of the jobs.
    :param low: fewest tasks.
    :param high: most tasks.
    """

    weight: float = 1.0
    low: int = 1
    high: int = 1


@attrs.frozen(kw_only=True)
class TimeClass:
    """A class of task run times.

    :param weight: share of the tasks.
    :param low_ms: shortest.
    :param high_ms: longest.
    """

    weight: float = 1.0
    low_ms: float = 50.0
    high_ms: float = 1_000.0


@attrs.frozen(kw_only=True)
class EntryShare:
    """Share of a catalogue entry in the load.

    :param name: name of the entry.
    :param weight: share of the jobs.
    :param owner: owner of the entry.
    :param is_repeatable: whether its tasks may be started again.
    """

    name: str = ""
    weight: float = 1.0
    owner: str = ""
    is_repeatable: bool = True


@attrs.frozen(kw_only=True)
class Profile:
    """What callers send.

    :param sizes: classes of job sizes.
    :param times: classes of task run times.
    :param entries: shares of catalogue entries.
    :param timeout_ms: timeout of every job.
    :param declared_fraction: part of the tasks that declare a run time.
    :param declared_error: largest factor by which a declaration is off.
    :param duplicate_fraction: part of the jobs sent to two instances at once.
    :param cancel_fraction: part of the jobs that are cancelled soon.
    :param burst_factor: rate during a burst relative to the mean.
    :param burst_share: part of the time that is burst.
    """

    sizes: tuple[SizeClass, ...] = ()
    times: tuple[TimeClass, ...] = ()
    entries: tuple[EntryShare, ...] = ()
    timeout_ms: int = 20_000
    declared_fraction: float = 0.5
    declared_error: float = 2.0
    duplicate_fraction: float = 0.0
    cancel_fraction: float = 0.0
    burst_factor: float = 1.0
    burst_share: float = 0.0


COMMON_SIZES = (
    SizeClass(weight=0.70, low=1, high=1),
    SizeClass(weight=0.22, low=2, high=10),
    SizeClass(weight=0.07, low=11, high=60),
    SizeClass(weight=0.01, low=61, high=340),
)
COMMON_TIMES = (
    TimeClass(weight=0.97, low_ms=50.0, high_ms=1_000.0),
    TimeClass(weight=0.03, low_ms=2_000.0, high_ms=5_000.0),
)
PROFILES_BY_NAME = {
    "treasury": Profile(
        sizes=COMMON_SIZES,
        times=COMMON_TIMES,
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
        sizes=COMMON_SIZES,
        times=COMMON_TIMES,
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
    """One job of a load at its time.

    :param at_ms: when it arrives, from the start of the load.
    :param job: the job; its id is made when it is sent.
    :param run_times_ms: true run times of its tasks.
    :param is_duplicated: whether it goes to two instances at once.
    :param cancel_after_ms: when it is cancelled, or ``None``.
    """

    at_ms: float = 0.0
    job: JobRequest = JobRequest()
    run_times_ms: tuple[float, ...] = ()
    is_duplicated: bool = False
    cancel_after_ms: float | None = None


def make_catalogue(profile):
    """Return a catalogue without limits for a profile's entries."""
    owners = {share.owner: OwnerSpec() for share in profile.entries}
    entries = {
        share.name: EntrySpec(owner=share.owner, is_repeatable=share.is_repeatable)
        for share in profile.entries
    }
    return CatalogueDocument(owners=owners, entries=entries)


def compute_job_work_ms(profile):
    """Return the mean run time of all tasks of a job, in milliseconds."""
    mean_size = _mean([(c.weight, (c.low + c.high) / 2) for c in profile.sizes])
    mean_ms = _mean([(c.weight, (c.low_ms + c.high_ms) / 2) for c in profile.times])
    return mean_size * mean_ms


def draw_arrivals(profile, load, n_slots, length_ms, random_state):
    """Draw the arrivals of an open-loop load.

    Jobs are drawn until their work makes up the load, and the gaps between them are
    scaled to the length, so that every seed offers the same load.

    :param profile: the :class:`Profile`.
    :param load: offered work as a fraction of the slots' capacity.
    :param n_slots: slots of all backend servers.
    :param length_ms: length of the load.
    :param random_state: a :class:`random.Random`.
    :returns: list of :class:`Arrival` in order.
    """
    mean_gap_ms = compute_job_work_ms(profile) / (load * n_slots)
    wanted_ms = load * n_slots * length_ms
    arrivals = []
    at_ms = 0.0
    work_ms = 0.0
    while work_ms < wanted_ms:
        rate = _draw_rate(profile, at_ms, length_ms)
        at_ms += random_state.expovariate(1.0) * mean_gap_ms / rate
        arrivals.append(_draw_arrival(profile, at_ms, random_state))
        work_ms += sum(arrivals[-1].run_times_ms)
    scale = length_ms / at_ms
    return [attrs.evolve(a, at_ms=a.at_ms * scale) for a in arrivals]


def assign_job_id(job, wall_ms, random_state):
    """Return a job with a new id made at a given time."""
    return attrs.evolve(job, job_id=make_job_id(wall_ms, random_state))


def _draw_rate(profile, at_ms, length_ms):
    if not profile.burst_share:
        return 1.0
    # One burst in the middle of each tenth of the load.
    phase = (at_ms / (length_ms / 10.0)) % 1.0
    is_burst = abs(phase - 0.5) < profile.burst_share / 2
    if is_burst:
        return profile.burst_factor
    rest = 1.0 - profile.burst_share * profile.burst_factor
    return max(0.05, rest / (1.0 - profile.burst_share))


def _draw_arrival(profile, at_ms, random_state):
    size_class = _draw_weighted(profile.sizes, random_state)
    n_tasks = random_state.randint(size_class.low, size_class.high)
    run_times_ms = tuple(_draw_time(profile, random_state) for _ in range(n_tasks))
    entry = _draw_weighted(profile.entries, random_state)
    tasks = tuple(
        TaskSpec(
            task_id=f"t{index}",
            payload={"run_ms": run_ms},
            run_time_ms=_declare(profile, run_ms, random_state),
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


def _draw_time(profile, random_state):
    time_class = _draw_weighted(profile.times, random_state)
    return round(random_state.uniform(time_class.low_ms, time_class.high_ms), 1)


def _declare(profile, run_ms, random_state):
    if random_state.random() >= profile.declared_fraction:
        return 0
    error = profile.declared_error ** random_state.uniform(-1.0, 1.0)
    return max(1, int(run_ms * error))


def _draw_weighted(items, random_state):
    return random_state.choices(items, weights=[item.weight for item in items])[0]


def _mean(pairs):
    total = sum(weight for weight, _ in pairs)
    return sum(weight * value for weight, value in pairs) / total
