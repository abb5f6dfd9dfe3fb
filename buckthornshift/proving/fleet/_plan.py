"""Plans of randomised runs: size, load and faults."""

import enum

import attrs

from ...dispatch import Queue


class FleetFault(enum.StrEnum):
    """Faults that a run can contain; the values name them on the command line.

    - ``INSTANCE_*`` affect one instance: its process is killed, suspended, slowed down,
      stopped gracefully, or partitioned from every other machine.
    - ``ALL_INSTANCES_CRASH`` kills every instance at once; ``ROLLING_STOP`` stops them
      gracefully, one after another.
    - ``OWNER_*`` kill or suspend the instance that owns the servers.
    - ``ZONE_PARTITION`` and ``ONE_WAY_PARTITION`` partition the network;
      ``SILENT_LINKS`` makes open peer links drop every message. ``LINK_FULL`` makes
      messages from and to an instance wait for seconds, as in the queue of a full link.
    - ``STORE_OUTAGE`` makes the store unreachable for all, ``STORE_PARTITION`` for one
      instance; ``ENTRIES_LAPSE`` drops servers from its list for a while.
    - ``SERVER_*`` kill, drain, add, slow down, break, hang or isolate a backend server,
      or halve its capacity for some seconds. ``SERVER_RESTARTS`` restarts one under
      its id, at times with half of its capacity; servers report their start then.
    - ``COMMANDS_LATE`` delays commands to servers beyond their timeout;
      ``RESPONSES_LOST`` drops the responses to them.
    - ``CALLERS_DISCONNECT`` makes callers disconnect early; ``BURST`` raises the rate
      of jobs. ``TASKS_CRASH_SERVERS`` makes some jobs contain a task that crashes
      every server that starts it.
    - ``EVACUATION`` evacuates a zone, or one without servers, for a while.
    - ``CONFIG_CHANGE`` publishes a configuration; ``CLOCK_STEP`` sets the wall clock
      of an instance back.

    The following are drawn only in runs with a series of faults of one kind.

    - ``SERVER_LEAVES`` lets a server report that it drains, exit as planned under its
      tasks, and remove its entry late. ``SERVER_DRAIN_RESTARTS`` lets it start again
      under its id, with an entry that no longer says that it drains.
    - ``SERVER_SILENT`` lets a server run on and respond to nothing, then crash.
      ``SERVER_CLOSES`` lets it close its connections in order and run on, cut off.
    - ``SERVER_REJECTS`` lets it find every start invalid; ``SERVER_ERRORS`` lets it
      respond to every other command with an internal error, carried out or not.

    The following are sequences of events under long jobs. They are drawn if they are
    named, and in runs of the fleet with later seeds.

    - ``RIVAL_CRASH`` partitions a zone, and kills or suspends each instance there that
      claims the servers, soon after its claim.
    - ``RESET_THEN_PARTITION`` resets connections of an instance, to the owner and of
      its callers, and partitions the owner's zone soon after that.
    """

    INSTANCE_CRASH = "node_death"
    INSTANCE_FREEZE = "node_freeze"
    INSTANCE_SLOW = "node_slow"
    INSTANCE_STOP = "node_stop"
    INSTANCE_PARTITION = "node_cut"
    ALL_INSTANCES_CRASH = "all_die"
    ROLLING_STOP = "rolling_stop"
    OWNER_CRASH = "owner_death"
    OWNER_FREEZE = "owner_freeze"
    ZONE_PARTITION = "zone_cut"
    ONE_WAY_PARTITION = "one_way_cut"
    SILENT_LINKS = "silent_links"
    LINK_FULL = "link_full"
    STORE_OUTAGE = "store_away"
    STORE_PARTITION = "store_cut"
    SERVER_CRASH = "server_death"
    SERVER_DRAIN = "server_drain"
    SERVER_ADDED = "server_added"
    SERVER_SLOW = "server_slow"
    SERVER_FAILS = "server_fails"
    SERVER_HANGS = "server_hangs"
    SERVER_PARTITION = "server_cut"
    SERVER_SHRINKS = "server_shrinks"
    SERVER_RESTARTS = "server_restarts"
    ENTRIES_LAPSE = "entries_lapse"
    COMMANDS_LATE = "orders_late"
    RESPONSES_LOST = "answers_lost"
    CALLERS_DISCONNECT = "callers_leave"
    BURST = "burst"
    TASKS_CRASH_SERVERS = "tasks_crash_servers"
    CONFIG_CHANGE = "config_change"
    CLOCK_STEP = "clock_step"
    EVACUATION = "evacuation"
    SERVER_LEAVES = "server_leaves"
    SERVER_DRAIN_RESTARTS = "server_drain_restarts"
    SERVER_SILENT = "server_silent"
    SERVER_CLOSES = "server_closes"
    SERVER_REJECTS = "server_rejects"
    SERVER_ERRORS = "server_errors"
    RIVAL_CRASH = "rival_death"
    RESET_THEN_PARTITION = "reset_then_cut"


# Kinds of which a run contains a series, if it contains any.
SERIES_KINDS = (
    FleetFault.SERVER_LEAVES,
    FleetFault.SERVER_DRAIN_RESTARTS,
    FleetFault.SERVER_SILENT,
    FleetFault.SERVER_CLOSES,
    FleetFault.SERVER_REJECTS,
    FleetFault.SERVER_ERRORS,
    FleetFault.TASKS_CRASH_SERVERS,
)
# Kinds that are sequences of events, and matter to tasks that outlast them.
SEQUENCE_KINDS = (FleetFault.RIVAL_CRASH, FleetFault.RESET_THEN_PARTITION)
# All others; new kinds would change the runs of former seeds.
SINGLE_KINDS = tuple(
    kind
    for kind in FleetFault
    if kind not in (*SERIES_KINDS, *SEQUENCE_KINDS)
    or kind is FleetFault.TASKS_CRASH_SERVERS
)


@attrs.frozen(kw_only=True)
class PlannedFault:
    """One fault of a run.

    :param kind: the :class:`FleetFault`.
    :param start_ms: start time.
    :param length_ms: duration.
    :param target: index of the affected instance or server, taken modulo their number.
    :param resets: whether a partition of a server resets connections and refuses new
        ones, instead of dropping what is sent.
    """

    kind: FleetFault = FleetFault.INSTANCE_CRASH
    start_ms: float = 0.0
    length_ms: float = 0.0
    target: int = 0
    resets: bool = False


@attrs.frozen(kw_only=True)
class ServerKind:
    """A kind of backend server.

    :param label: label that tasks can require.
    :param cpu: processor capacity, in thousandths of a core.
    :param speed: factor by which tasks run faster than their planned run time.
    """

    label: str = ""
    cpu: int = 16_000
    speed: float = 1.0


def _make_default_queues():
    return tuple(
        Queue(
            name=f"{service}-{priority}",
            host="h",
            path_prefix=f"/{service}/{priority}/",
            service=service,
            priority=priority,
            max_attempts=3,
            stretch=1.6,
            target_ms=60.0,
        )
        for service in ("cash", "sweep")
        for priority in (0, 1)
    )


@attrs.frozen(kw_only=True)
class FleetShape:
    """Services, kinds and racks of the servers, and the queues of the configuration.

    :param services: services of the servers, assigned in turn.
    :param server_kinds: kinds of the servers, assigned in turn.
    :param memory_mb: memory of each server, in megabytes.
    :param servers_per_rack: number of servers in one rack.
    :param queues: queues of the configuration.
    """

    services: tuple[str, ...] = ("cash", "cash", "cash", "sweep")
    server_kinds: tuple[ServerKind, ...] = (
        ServerKind(label="a"),
        ServerKind(label="a"),
        ServerKind(label="b", cpu=24_000),
    )
    memory_mb: int = 32_768
    servers_per_rack: int = 2
    queues: tuple[Queue, ...] = attrs.field(factory=_make_default_queues)


@attrs.frozen(kw_only=True)
class FleetPlan:
    """Size, load and faults of a run.

    :param seed: seed of everything random in the run.
    :param n_zones: number of availability zones.
    :param n_instances: number of dispatching instances.
    :param n_servers: number of backend servers.
    :param jobs_per_s: jobs submitted per second.
    :param busy_ms: time over which jobs and faults are spread.
    :param settle_ms: time after that without new faults; a final batch of jobs is
        submitted in it.
    :param faults: the :class:`PlannedFault` objects.
    :param intra_zone_delay_ms: one-way delay inside a zone.
    :param inter_zone_delay_ms: one-way delay between zones.
    :param client_delay_ms: one-way delay between callers and instances.
    :param event_ms: processor time that an instance needs for one event.
    :param lists_instances: whether instances read the addresses of all others from the
        store, not just those of the seeds from their settings.
    :param holds_cut_messages: whether a partition holds messages between instances up,
        as TCP does, instead of dropping them.
    :param long_job_share: share of jobs with long tasks and time for several starts.
    :param long_run_ms: mean run time of those tasks.
    :param long_job_timeout_ms: how long the callers of those jobs wait.
    :param crash_delay_ms: time from the start of a task that crashes its server to the
        crash; 0 if the server doesn't respond to the start any more.
    :param start_interval_ms: time between the starts of two instances, whose heartbeats
        are due at other times then; 0 to start all at once.
    :param shape: the :class:`FleetShape`.
    """

    seed: int = 0
    n_zones: int = 3
    n_instances: int = 5
    n_servers: int = 9
    jobs_per_s: float = 12.0
    busy_ms: float = 8_000.0
    settle_ms: float = 12_000.0
    faults: tuple[PlannedFault, ...] = ()
    intra_zone_delay_ms: float = 0.1
    inter_zone_delay_ms: float = 1.4
    client_delay_ms: float = 3.0
    event_ms: float = 0.0
    lists_instances: bool = True
    holds_cut_messages: bool = False
    long_job_share: float = 0.0
    long_run_ms: float = 1_500.0
    long_job_timeout_ms: float = 9_000.0
    crash_delay_ms: float = 20.0
    start_interval_ms: float = 0.0
    shape: FleetShape = FleetShape()


FIRST_FAULT_MS = 2_000.0
MAX_FAULTS = 7
# Jobs under sequences of events.
SEQUENCE_JOB_SHARE = 0.5
SEQUENCE_RUN_MS = 2_500.0
# A job that is submitted again ends before the final batch.
SEQUENCE_JOB_TIMEOUT_MS = 6_000.0
MIN_SEQUENCE_SERVERS = 9
SEQUENCE_START_INTERVAL_MS = 37.0
MAX_FAULT_DURATION_MS = 4_000.0


def draw_fleet_plan(random_state, seed, kinds=None, n_faults=None):
    """Draw a random plan.

    :param random_state: a :class:`random.Random`.
    :param seed: seed of the run, stored in the plan.
    :param kinds: fault kinds to draw from; ``None`` for all that are not drawn only in
        series.
    :param n_faults: number of faults; ``None`` to draw it.
    :returns: a :class:`FleetPlan`.
    """
    kinds = list(SINGLE_KINDS) if kinds is None else list(kinds)
    if n_faults is None:
        n_faults = random_state.randint(0, MAX_FAULTS)
    busy_ms = FleetPlan().busy_ms
    faults = [
        PlannedFault(
            kind=random_state.choice(kinds),
            start_ms=random_state.uniform(FIRST_FAULT_MS, busy_ms),
            length_ms=random_state.uniform(50.0, MAX_FAULT_DURATION_MS),
            target=random_state.randrange(1_000),
        )
        for _ in range(n_faults if kinds else 0)
    ]
    n_zones = random_state.randint(1, 4)
    plan = FleetPlan(
        seed=seed,
        n_zones=n_zones,
        n_instances=random_state.randint(max(2, n_zones), 7),
        n_servers=random_state.randint(4, 12),
        jobs_per_s=random_state.choice((4.0, 12.0, 30.0)),
        inter_zone_delay_ms=random_state.choice((0.5, 1.4, 6.0)),
        faults=tuple(sorted(faults, key=lambda fault: fault.start_ms)),
    )
    has_sequence = any(fault.kind in SEQUENCE_KINDS for fault in faults)
    return _lengthen_jobs(plan) if has_sequence else plan


def add_sequences(plan, random_state):
    """Add one or two sequences of events to a plan, and jobs that outlast them.

    :param plan: the :class:`FleetPlan`.
    :param random_state: a :class:`random.Random`.
    """
    faults = [
        PlannedFault(
            kind=random_state.choice(SEQUENCE_KINDS),
            start_ms=random_state.uniform(FIRST_FAULT_MS, plan.busy_ms),
            length_ms=random_state.uniform(50.0, MAX_FAULT_DURATION_MS),
            target=random_state.randrange(1_000),
        )
        for _ in range(random_state.randint(1, 2))
    ]
    faults = sorted([*plan.faults, *faults], key=lambda fault: fault.start_ms)
    return _lengthen_jobs(attrs.evolve(plan, faults=tuple(faults)))


def _lengthen_jobs(plan):
    return attrs.evolve(
        plan,
        n_servers=max(MIN_SEQUENCE_SERVERS, plan.n_servers),
        long_job_share=SEQUENCE_JOB_SHARE,
        long_run_ms=SEQUENCE_RUN_MS,
        long_job_timeout_ms=SEQUENCE_JOB_TIMEOUT_MS,
        start_interval_ms=SEQUENCE_START_INTERVAL_MS,
    )


# Each round of cuts is over before the next one begins, but the store may be away
# from the middle of one to that of the next.
N_CUT_ROUNDS = 3
# Two servers of each service, so that one can be cut off.
MIN_CUT_SERVERS = 8
CUT_ROUND_INTERVAL_MS = 4_500.0
CUT_DURATION_MS = (2_000.0, 3_500.0)
CUT_SERVER_SHARE = 0.6
RESET_PROBABILITY = 0.3
ZONE_CUT_PROBABILITY = 0.4
LONG_JOB_SHARE = 0.4


def draw_cut_servers_plan(random_state, seed, kinds=None, n_faults=None):
    """Draw a plan in which servers are cut off again and again.

    Meanwhile their entries lapse and the store is away, so that nobody reads the
    entries which return. Some jobs outlast several cuts.

    :param random_state: a :class:`random.Random`.
    :param seed: seed of the run, stored in the plan.
    :param kinds: kinds of further faults to draw from; ``None`` for all.
    :param n_faults: number of further faults; ``None`` to draw it.
    :returns: a :class:`FleetPlan`.
    """
    plan = draw_fleet_plan(random_state, seed, kinds, n_faults)
    n_servers = max(MIN_CUT_SERVERS, plan.n_servers)
    faults = list(plan.faults)
    for number in range(N_CUT_ROUNDS):
        start_ms = FIRST_FAULT_MS + number * CUT_ROUND_INTERVAL_MS
        faults += _draw_cut_round(random_state, start_ms, n_servers)
    return attrs.evolve(
        plan,
        n_servers=n_servers,
        busy_ms=FIRST_FAULT_MS + N_CUT_ROUNDS * CUT_ROUND_INTERVAL_MS,
        long_job_share=LONG_JOB_SHARE,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_ms)),
    )


def _draw_cut_round(random_state, start_ms, n_servers):
    """Draw cuts of servers that begin within a second, and faults around them."""
    outage_ms = start_ms + random_state.uniform(500.0, 1_500.0)
    faults = [
        PlannedFault(
            kind=FleetFault.ENTRIES_LAPSE,
            start_ms=outage_ms - random_state.uniform(310.0, 1_000.0),
            length_ms=CUT_DURATION_MS[1],
        ),
        PlannedFault(
            kind=FleetFault.STORE_OUTAGE,
            start_ms=outage_ms,
            length_ms=random_state.uniform(2_500.0, 4_000.0),
        ),
    ]
    faults += [
        PlannedFault(
            kind=FleetFault.SERVER_PARTITION,
            start_ms=start_ms + random_state.uniform(0.0, 1_000.0),
            length_ms=random_state.uniform(*CUT_DURATION_MS),
            target=target,
            resets=random_state.random() < RESET_PROBABILITY,
        )
        for target in range(n_servers)
        if random_state.random() < CUT_SERVER_SHARE
    ]
    if random_state.random() < ZONE_CUT_PROBABILITY:
        zone_cut = PlannedFault(
            kind=FleetFault.ZONE_PARTITION,
            start_ms=start_ms + random_state.uniform(0.0, CUT_ROUND_INTERVAL_MS),
            length_ms=random_state.uniform(*CUT_DURATION_MS),
            target=random_state.randrange(1_000),
        )
        faults.append(zone_cut)
    return faults


# Servers that fail together have a common cause, so those of a series fail one by one.
SERIES_INTERVAL_MS = (300.0, 900.0)
SERIES_BUSY_MS = 14_000.0
SERIES_SERVERS = (11, 16)
N_SERIES_FAULTS = (8, 16)
SERIES_RESET_PROBABILITY = 0.7
UNREAD_PROBABILITY = 0.7
# Without a delay, the server crashes before it responds to the start.
CRASH_DELAYS_MS = (0.0, 3.0, 20.0, 60.0)
_DURATION_MS_BY_KIND = {
    # The list is out of date by then, or says that the server drains.
    FleetFault.SERVER_LEAVES: (1_500.0, 3_000.0),
    FleetFault.SERVER_DRAIN_RESTARTS: (800.0, 1_600.0),
    # The leases of its runs last for 0.7 s.
    FleetFault.SERVER_SILENT: (600.0, 1_300.0),
    # Until it is cut off, before it responds again or after that.
    FleetFault.SERVER_CLOSES: (0.0, 10.0),
    FleetFault.SERVER_REJECTS: (50.0, 400.0),
    FleetFault.SERVER_ERRORS: (200.0, 1_500.0),
    FleetFault.TASKS_CRASH_SERVERS: (1_000.0, 4_000.0),
}


def draw_series_plan(random_state, seed, kinds=None, n_faults=None):
    """Draw a plan with a series of faults of one kind, under long jobs.

    :param random_state: a :class:`random.Random`.
    :param seed: seed of the run, stored in the plan.
    :param kinds: kinds to draw that of the series from; ``None`` for all that occur in
        series.
    :param n_faults: number of faults in the series; ``None`` to draw it.
    :returns: a :class:`FleetPlan`.
    """
    kind = random_state.choice(list(SERIES_KINDS if kinds is None else kinds))
    n_drawn = random_state.randint(*N_SERIES_FAULTS)
    n_zones = random_state.randint(1, 3)
    n_servers = random_state.randint(*SERIES_SERVERS)
    targets = random_state.sample(range(n_servers), n_servers)
    faults = []
    start_ms = FIRST_FAULT_MS
    for number in range(n_drawn if n_faults is None else n_faults):
        fault = PlannedFault(
            kind=kind,
            start_ms=start_ms,
            length_ms=random_state.uniform(*_DURATION_MS_BY_KIND[kind]),
            target=targets[number % n_servers],
            resets=random_state.random() < SERIES_RESET_PROBABILITY,
        )
        faults.append(fault)
        start_ms += random_state.uniform(*SERIES_INTERVAL_MS)
    if kind is FleetFault.SERVER_LEAVES and random_state.random() < UNREAD_PROBABILITY:
        # Nobody reads that the servers drain.
        outage = PlannedFault(
            kind=FleetFault.STORE_OUTAGE,
            start_ms=FIRST_FAULT_MS - random_state.uniform(0.0, 200.0),
            length_ms=random_state.uniform(3_000.0, 9_000.0),
        )
        faults.append(outage)
    return FleetPlan(
        seed=seed,
        n_zones=n_zones,
        n_instances=random_state.randint(max(2, n_zones), 5),
        n_servers=n_servers,
        jobs_per_s=random_state.choice((3.0, 6.0)),
        inter_zone_delay_ms=random_state.choice((0.5, 1.4, 6.0)),
        busy_ms=SERIES_BUSY_MS,
        long_job_share=0.5,
        long_run_ms=3_000.0,
        long_job_timeout_ms=13_000.0,
        crash_delay_ms=random_state.choice(CRASH_DELAYS_MS),
        faults=tuple(sorted(faults, key=lambda fault: fault.start_ms)),
    )
