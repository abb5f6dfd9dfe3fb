"""Settings of the decision core of an entry instance."""

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class LeastLoaded:
    """Place tasks by estimated free slots, on preferred servers first."""


@attrs.frozen(kw_only=True)
class RandomServer:
    """Place tasks on random live servers: a baseline without load estimates."""


@attrs.frozen(kw_only=True)
class RoundRobin:
    """Place tasks on live servers in turn: a baseline without load estimates."""


@attrs.frozen(kw_only=True)
class CoreSettings:
    """Parameters of the decision core; times in milliseconds.

    :param log_appends_per_s: appends a second that all entry instances together
        may make to the log.
    :param log_outage_after_ms: time without a successful exchange after which
        the log counts as unreachable.
    :param heal_grace_ms: time after a log outage in which resubmissions of unknown
        jobs wait for claims that may still arrive.
    :param claims_kept_ms: time for which claims are kept in memory.
    :param max_claims: maximum number of claims kept in memory.
    :param snapshot_interval_ms: time between snapshots in the log; keep it under
        a third of the log's retention.
    :param answers_kept_ms: time for which answers are kept in memory.
    :param max_answers_bytes: maximum total size of kept answers, in bytes.
    :param max_outcome_bytes: size of the largest answer that is kept in the log.
    :param id_skew_ms: how far in the future the time in a job id may lie.
    :param max_queued_tasks: maximum number of tasks queued in one instance.
    :param max_wait_ratio: longest expected wait with which a job is accepted, as a
        multiple of its ideal response time.
    :param min_wait_limit_ms: expected wait that is accepted for any job, whatever
        ``max_wait_ratio`` says.
    :param urgency_factor: the queue orders tasks by their job's arrival plus this
        multiple of its ideal response time, at most by its deadline.
    :param deadline_margin: largest fraction of the timeout that a job's expected
        wait and ideal response time together may take up.
    :param attach_patience_ms: time for which requests to an unreachable coordinator
        are retried before the caller gets an error.
    :param fence_patience_ms: time to wait for the reports of backend servers on a
        job whose coordinator is gone.
    :param default_run_ms: run time assumed for a task of unknown length.
    :param overdue_factor: multiple of the expected run time after which an
        attempt is queried.
    :param overdue_floor_ms: shortest time after which an attempt is queried.
    :param hedge_factor: multiple of the expected run time after which a
        repeatable task is hedged, that is, started a second time.
    :param hedge_floor_ms: shortest time after which a task is hedged.
    :param retry_budget_ratio: retries and hedges allowed per start.
    :param retry_base_ms: first delay before a retry.
    :param retry_max_ms: longest delay before a retry.
    :param busy_base_ms: first pause of a server that refused work as busy.
    :param busy_max_ms: longest such pause.
    :param load_memory_ms: time constant with which the weight of a server's load
        report decays.
    :param fleet_silence_ms: time constant with which the mean load of all servers
        decays while no server reports.
    :param load_caution: safety margin for the unknown load of a server when a task
        of a large job is placed, in standard deviations.
    :param large_job_tasks: a job with more open tasks than this counts as large.
    :param press_after: fraction of a large job's timeout after which its waiting
        tasks are scheduled like those of small jobs.
    :param n_reserved_slots: slots of each server that are kept free of tasks of
        large jobs.
    :param eject_after_failures: consecutive failures that eject a server.
    :param eject_base_ms: duration of a server's first ejection.
    :param eject_max_ms: longest duration of an ejection.
    :param max_ejected_fraction: no server is ejected if more than this fraction of
        the usable servers would then be suspect or ejected.
    :param probe_interval_ms: time between probes of a suspect server.
    :param n_lost_queries: consecutive failures to reach a server after which it
        counts as lost.
    :param cancel_window_ms: time over which cancellations are collected into one
        message.
    :param demand_interval_ms: time between exchanges of demand between peers.
    :param demand_settle_ms: time after which a raised share of a limit takes effect.
    :param drain_accept_ms: time for which a draining instance still runs new jobs;
        afterwards it forwards them to a peer.
    :param drain_flush_ms: longest wait for the log before a drained instance exits.
    :param policy: placement policy, one of the classes above; not settable in files.
    :param are_hedges_on: whether slow tasks are hedged.
    :param are_invariants_on: whether invariants are checked.
    """

    log_appends_per_s: float = 300.0
    log_outage_after_ms: float = 1_000.0
    heal_grace_ms: float = 2_000.0
    claims_kept_ms: float = 1_200_000.0
    max_claims: int = 200_000
    snapshot_interval_ms: float = 600_000.0
    answers_kept_ms: float = 300_000.0
    max_answers_bytes: int = 16_000_000
    max_outcome_bytes: int = 2_048
    id_skew_ms: float = 30_000.0
    max_queued_tasks: int = 5_000
    max_wait_ratio: float = 0.5
    min_wait_limit_ms: float = 500.0
    urgency_factor: float = 3.0
    deadline_margin: float = 0.5
    attach_patience_ms: float = 1_000.0
    fence_patience_ms: float = 1_000.0
    default_run_ms: float = 300.0
    overdue_factor: float = 3.0
    overdue_floor_ms: float = 1_000.0
    hedge_factor: float = 3.0
    hedge_floor_ms: float = 200.0
    retry_budget_ratio: float = 0.1
    retry_base_ms: float = 20.0
    retry_max_ms: float = 1_000.0
    busy_base_ms: float = 20.0
    busy_max_ms: float = 320.0
    load_memory_ms: float = 500.0
    fleet_silence_ms: float = 1_000.0
    load_caution: float = 0.5
    large_job_tasks: int = 30
    press_after: float = 0.5
    n_reserved_slots: int = 1
    eject_after_failures: int = 5
    eject_base_ms: float = 5_000.0
    eject_max_ms: float = 60_000.0
    max_ejected_fraction: float = 0.5
    probe_interval_ms: float = 500.0
    n_lost_queries: int = 3
    cancel_window_ms: float = 20.0
    demand_interval_ms: float = 1_000.0
    demand_settle_ms: float = 100.0
    drain_accept_ms: float = 2_000.0
    drain_flush_ms: float = 5_000.0
    policy: Any = LeastLoaded()
    are_hedges_on: bool = True
    are_invariants_on: bool = True


@attrs.frozen(kw_only=True)
class EntryIdentity:
    """Identity of an entry instance.

    :param instance_id: name of the instance.
    :param incarnation: identifier unique to this process, new at each start.
    :param zone: availability zone.
    """

    instance_id: str = ""
    incarnation: str = ""
    zone: str = ""
