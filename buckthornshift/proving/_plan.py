"""What one randomised run consists of, drawn from its seed."""

import enum

import attrs


class FaultKind(enum.StrEnum):
    """Faults that a run can contain."""

    ENTRY_DEATH = "entry_death"
    ENTRY_PAUSE = "entry_pause"
    ENTRY_DRAIN = "entry_drain"
    SERVER_DEATH = "server_death"
    SERVER_LEAVE = "server_leave"
    SERVER_FAILS = "server_fails"
    SERVER_SLOW = "server_slow"
    SERVER_SILENT = "server_silent"
    LOG_OUTAGE = "log_outage"
    LOG_SLOW = "log_slow"
    LOG_REPLIES_LOST = "log_replies_lost"
    LIST_LAG = "list_lag"
    ZONE_CUT = "zone_cut"
    PLATFORM_CUT = "platform_cut"
    CONNECTION_LOSS = "connection_loss"
    OPERATOR_RACE = "operator_race"
    CANCEL_WAVE = "cancel_wave"


@attrs.frozen(kw_only=True)
class Fault:
    """One fault of a run.

    :param kind: the kind.
    :param start_ms: when it begins.
    :param length_ms: how long it lasts.
    :param target: index of what it strikes, taken modulo the number of candidates.
    """

    kind: FaultKind = FaultKind.ENTRY_DEATH
    start_ms: float = 0.0
    length_ms: float = 0.0
    target: int = 0


@attrs.frozen(kw_only=True)
class RunPlan:
    """Size and faults of a run.

    :param seed: seed of everything random in it.
    :param n_zones: availability zones.
    :param n_entries: entry instances.
    :param n_servers: backend servers.
    :param slots: tasks that a server runs at once.
    :param n_jobs: jobs submitted.
    :param load_phase_ms: time over which jobs and faults are spread.
    :param settle_ms: time without new faults at the end.
    :param retention_ms: retention of the log.
    :param faults: the faults.
    :param same_zone_delay_ms: one-way delay inside a zone.
    :param cross_zone_delay_ms: one-way delay between zones.
    :param client_delay_ms: one-way delay between callers and instances.
    :param sync_ms: time that a synced append takes.
    :param has_jitter: whether delays vary at random.
    """

    seed: int = 0
    n_zones: int = 3
    n_entries: int = 4
    n_servers: int = 6
    slots: int = 4
    n_jobs: int = 40
    load_phase_ms: float = 12_000.0
    settle_ms: float = 40_000.0
    retention_ms: float = 3_600_000.0
    faults: tuple[Fault, ...] = ()
    same_zone_delay_ms: float = 0.3
    cross_zone_delay_ms: float = 1.4
    client_delay_ms: float = 3.0
    sync_ms: float = 4.0
    has_jitter: bool = True


MAX_FAULTS = 10
MAX_FAULT_MS = 5_000.0
SHORT_RETENTION_MS = 9_000.0


def draw_plan(random_state, seed, kinds=None, n_faults=None):
    """Draw a run.

    :param random_state: a :class:`random.Random`.
    :param seed: the seed, kept in the plan.
    :param kinds: fault kinds to draw from; ``None`` for all.
    :param n_faults: number of faults; ``None`` to draw it.
    :returns: a :class:`RunPlan`.
    """
    kinds = list(FaultKind) if kinds is None else list(kinds)
    if n_faults is None:
        n_faults = random_state.randint(0, MAX_FAULTS)
    load_phase_ms = RunPlan().load_phase_ms
    faults = [
        Fault(
            kind=random_state.choice(kinds),
            start_ms=random_state.uniform(500.0, load_phase_ms),
            length_ms=random_state.uniform(50.0, MAX_FAULT_MS),
            target=random_state.randrange(1_000),
        )
        for _ in range(n_faults if kinds else 0)
    ]
    n_zones = random_state.randint(1, 4)
    is_short = random_state.random() < 0.3
    return RunPlan(
        seed=seed,
        n_zones=n_zones,
        n_entries=random_state.randint(max(2, n_zones), 6),
        n_servers=random_state.randint(max(2, n_zones), 8),
        slots=random_state.randint(1, 8),
        n_jobs=random_state.randint(10, 60),
        retention_ms=SHORT_RETENTION_MS if is_short else RunPlan().retention_ms,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_ms)),
    )
