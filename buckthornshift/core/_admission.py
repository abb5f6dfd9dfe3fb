"""Admission control: accept or refuse a job before any of it is started."""

from ..contracts import (
    MAX_TASKS_PER_JOB,
    MIN_TIMEOUT_MS,
    Reason,
    Refusal,
    parse_job_id_timestamp_ms,
)
from ._catalogue import OWNER_PREFIX

MIN_OVERLOAD_RETRY_MS = 100


class Admission:
    """Refuse jobs that cannot be answered in time, early and at little cost.

    :param settings: the :class:`CoreSettings`.
    :param servers: the :class:`ServerTable`.
    :param peers: the :class:`PeerTable`.
    :param queue: the :class:`FairQueue`.
    :param quotas: the :class:`QuotaAllocator`.
    """

    def __init__(
        self, settings=None, servers=None, peers=None, queue=None, quotas=None
    ):
        self.settings = settings
        self.servers = servers
        self.peers = peers
        self.queue = queue
        self.quotas = quotas

    def check_id(self, job_id, floor_ms, wall_ms):
        """Return a refusal for a job id that is malformed, too old or in the future.

        :param job_id: the job id, which holds the time of its creation.
        :param floor_ms: creation time up to which claims may have been forgotten,
            in milliseconds since the epoch.
        :param wall_ms: wall-clock time, milliseconds since the epoch.
        :returns: :class:`~buckthornshift.contracts.Refusal` or ``None``.
        """
        created_ms = parse_job_id_timestamp_ms(job_id)
        if created_ms is None:
            return Refusal(
                detail=f"job_id: got {job_id!r}, expected a lower-case UUID version 7"
            )
        if created_ms <= floor_ms:
            return Refusal(
                reason=Reason.ID_TOO_OLD,
                detail=f"job_id: got creation time {created_ms} ms, expected "
                f"more than {floor_ms} ms; earlier jobs are forgotten",
            )
        if created_ms > wall_ms + self.settings.id_skew_ms:
            return Refusal(
                reason=Reason.ID_IN_FUTURE,
                detail=f"job_id: got creation time {created_ms} ms, expected at most "
                f"{self.settings.id_skew_ms:.0f} ms after {wall_ms:.0f} ms",
                retry_after_ms=int(created_ms - wall_ms - self.settings.id_skew_ms),
            )
        return None

    def check_limits(self, job, entry):
        """Return a refusal for a job that exceeds its entry's limits, or ``None``.

        :param job: the submitted job.
        :param entry: its catalogue entry.
        """
        n_tasks = len(job.tasks)
        max_tasks = min(entry.max_tasks_per_job, MAX_TASKS_PER_JOB)
        if not 1 <= n_tasks <= max_tasks:
            return Refusal(
                reason=Reason.TOO_MANY_TASKS,
                detail=f"tasks: got {n_tasks}, expected 1 to {max_tasks}",
            )
        if not MIN_TIMEOUT_MS <= job.timeout_ms <= entry.max_timeout_ms:
            return Refusal(
                reason=Reason.TIMEOUT_TOO_LONG
                if job.timeout_ms > entry.max_timeout_ms
                else Reason.DEADLINE_PAST,
                detail=f"timeout_ms: got {job.timeout_ms}, expected "
                f"{MIN_TIMEOUT_MS} to {entry.max_timeout_ms}",
            )
        return None

    def check_capacity(self, job, work_in_flight_ms, now_ms):
        """Return a refusal for a job that cannot finish in time, or ``None``.

        :param job: the job as built by its coordinator, not yet queued.
        :param work_in_flight_ms: sum of the expected run times of open attempts.
        :param now_ms: the current time.
        """
        for task in job.tasks:
            if not self.servers.can_any_fit(task):
                return self._refuse_infeasible(task)
        wait_ms = self._estimate_wait_ms(
            job.virtual_deadline_ms, work_in_flight_ms, now_ms
        )
        if self.queue.n_tasks + len(job.tasks) > self.settings.max_queued_tasks:
            return self._refuse_overload(wait_ms)
        return self._check_response_time(job, wait_ms)

    def check_quota(self, job, owner, now_ms):
        """Return a refusal for a job that quotas would delay for too long, or ``None``.

        :param job: the job as built by its coordinator, not yet queued.
        :param owner: the owner of its entry, with the owner's quotas.
        :param now_ms: the current time.
        """
        ideal_ms = self.estimate_ideal_ms(job)
        for key in job.quota_keys:
            limited_item = owner if key.startswith(OWNER_PREFIX) else job.entry
            wait_ms = self.quotas.estimate_wait_ms(
                key,
                limited_item.max_running_tasks,
                limited_item.max_starts_per_s,
                ideal_ms,
                now_ms,
            )
            if self._is_wait_too_long(job, wait_ms, ideal_ms):
                return Refusal(
                    reason=Reason.OVER_LIMIT,
                    detail=f"limit of {key}: expected wait {wait_ms:.0f} ms",
                    retry_after_ms=max(MIN_OVERLOAD_RETRY_MS, int(wait_ms)),
                )
        return None

    def estimate_ideal_ms(self, job):
        """Return the expected response time of a job on otherwise idle servers."""
        longest_ms = max(task.expected_ms for task in job.tasks)
        work_ms = sum(task.expected_ms for task in job.tasks)
        return max(longest_ms, work_ms / max(1, self.servers.n_slots))

    def estimate_usable_slots(self, now_ms):
        """Return the number of slots that this instance can expect to use.

        This is its equal share of all slots or the number of idle slots, whichever
        is more, and at least one.

        :param now_ms: the current time.
        """
        n_slots = self.servers.n_slots
        share = n_slots / self.peers.n_instances
        idle = n_slots * (1.0 - self.servers.fleet_load.estimate_busy_fraction(now_ms))
        return max(1.0, share, min(n_slots, idle))

    def _check_response_time(self, job, wait_ms):
        timeout_ms = job.request.timeout_ms
        longest_ms = max(task.expected_ms for task in job.tasks)
        if longest_ms > timeout_ms:
            return Refusal(
                reason=Reason.INFEASIBLE,
                detail=f"timeout_ms: got {timeout_ms}, expected at least the "
                f"longest task's {longest_ms:.0f} ms",
            )
        if self._is_wait_too_long(job, wait_ms, self.estimate_ideal_ms(job)):
            return self._refuse_overload(wait_ms)
        return None

    def _is_wait_too_long(self, job, wait_ms, ideal_ms):
        if wait_ms <= 0:
            return False
        settings = self.settings
        max_wait_ms = max(
            settings.min_wait_limit_ms, settings.max_wait_ratio * ideal_ms
        )
        max_response_ms = settings.deadline_margin * job.request.timeout_ms
        return wait_ms > max_wait_ms or wait_ms + ideal_ms > max_response_ms

    def _estimate_wait_ms(self, virtual_deadline_ms, work_in_flight_ms, now_ms):
        ahead_ms = self.queue.sum_work_ahead_ms(virtual_deadline_ms)
        if ahead_ms <= 0:
            return 0.0
        n_usable_slots = self.estimate_usable_slots(now_ms)
        return (ahead_ms + work_in_flight_ms / 2) / n_usable_slots

    def _refuse_infeasible(self, task):
        has_servers = any(True for _ in self.servers.iter_usable())
        if not has_servers:
            return Refusal(
                reason=Reason.OVERLOADED,
                detail="no backend server is live",
                retry_after_ms=1_000,
            )
        return Refusal(
            reason=Reason.INFEASIBLE,
            detail=f"task {task.id!r}: got {task.spec.cores} cores and "
            f"{task.spec.memory_mb} MB, expected at most what the largest "
            "backend server has",
        )

    def _refuse_overload(self, wait_ms):
        return Refusal(
            reason=Reason.OVERLOADED,
            detail=f"expected wait {wait_ms:.0f} ms",
            retry_after_ms=max(MIN_OVERLOAD_RETRY_MS, int(wait_ms)),
        )
