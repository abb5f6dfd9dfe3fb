"""Callers of a run: submissions, resubmissions, cancellations, operators."""

import attrs

from ..contracts import (
    CATALOGUE_STREAM,
    CatalogueChange,
    CatalogueItem,
    EntrySpec,
    JobRequest,
    JobStatus,
    OwnerSpec,
    TaskSpec,
    encode_message,
    make_job_id,
)
from ..core import JobCancelRequested, JobSubmitted
from ._oracle import LIMITED_ENTRY, LIMITED_OWNER_MAX_TASKS, TrackedRequest

MAX_TRIES = 6
PATIENCE_MS = 3_000.0
LATE_BALANCER = 0.1
ENTRY_NAMES = ("check", "pay", LIMITED_ENTRY)


def make_catalogue_items():
    """Return the catalogue that runs begin with."""
    return {
        "owner/desk": CatalogueItem(owner=OwnerSpec(weight=2)),
        "owner/gang": CatalogueItem(
            owner=OwnerSpec(max_running_tasks=LIMITED_OWNER_MAX_TASKS)
        ),
        "entry/check": CatalogueItem(entry=EntrySpec(owner="desk", is_repeatable=True)),
        "entry/pay": CatalogueItem(entry=EntrySpec(owner="desk")),
        "entry/limited": CatalogueItem(
            entry=EntrySpec(owner="gang", is_repeatable=True, max_starts_per_s=50.0)
        ),
    }


class FakeCallers:
    """Submit the jobs of a run and follow them to an answer.

    :param simulation: the :class:`Simulation`.
    """

    def __init__(self, simulation=None):
        self.simulation = simulation
        self._request_by_ref = {}
        self._next_ref = 0
        self._next_change = 0
        simulation.on_answer = self._take_answer

    def start(self):
        """Publish the catalogue and schedule the submissions."""
        simulation = self.simulation
        self._publish(make_catalogue_items(), based_on=-1)
        for index in range(simulation.plan.n_jobs):
            delay_ms = simulation.random_state.uniform(
                100.0, simulation.plan.load_phase_ms
            )
            simulation.clock.schedule(delay_ms, self._submit_new, index)

    def publish_conflicting_changes(self):
        """Let two operators change the same entry from the same version."""
        version = self.simulation.untrimmed_log.get_head(CATALOGUE_STREAM) - 1
        for limit in (50, 60):
            entry = EntrySpec(owner="desk", is_repeatable=True, max_tasks_per_job=limit)
            self._publish({"entry/check": CatalogueItem(entry=entry)}, version)

    def cancel_recent_jobs(self, n_jobs):
        """Cancel a wave of recent jobs."""
        recent = [r for r in self.simulation.oracle.requests if not r.is_cancel]
        for request in recent[-n_jobs:]:
            self._send_cancel(request)

    def _publish(self, items, based_on):
        self._next_change += 1
        change = CatalogueChange(
            change_id=f"change-{self._next_change}", based_on=based_on, items=items
        )
        self.simulation.transport.append_directly(
            CATALOGUE_STREAM, encode_message(change)
        )

    def _submit_new(self, index):
        simulation = self.simulation
        random_state = simulation.random_state
        entry = random_state.choice(ENTRY_NAMES)
        n_tasks = random_state.choice((1, 1, 2, 5, 20))
        job_id = make_job_id(simulation.clock.wall_ms, random_state)
        tasks = tuple(
            TaskSpec(
                task_id=f"t{number}",
                payload={
                    "run_ms": random_state.choice((20, 50, 100, 400, 1_500)),
                    "job": job_id,
                    "task": number,
                    "fail": random_state.random() < 0.005,
                },
            )
            for number in range(n_tasks)
        )
        timeout_ms = random_state.choice((1_000, 4_000, 10_000))
        job = JobRequest(job_id=job_id, entry=entry, tasks=tasks, timeout_ms=timeout_ms)
        self._send(job, 1)
        if random_state.random() < 0.15:
            self._send(job, 1)

    def _send(self, job, n_try):
        simulation = self.simulation
        node = self._pick_node()
        if node is None:
            simulation.clock.schedule(500.0, self._send, job, n_try)
            return
        self._next_ref += 1
        ref = self._next_ref
        request = TrackedRequest(
            job=job,
            is_repeatable=job.entry != "pay",
            target_incarnation=node.record.incarnation,
            sent_ms=simulation.clock.now_ms,
        )
        simulation.oracle.requests.append(request)
        self._request_by_ref[ref] = request
        event = JobSubmitted(caller_ref=ref, job=job, is_resubmission=n_try > 1)
        self._schedule_arrival(node, request, event)
        wait_ms = job.timeout_ms + PATIENCE_MS
        simulation.clock.schedule(wait_ms, self._lose_patience, request, n_try)
        simulation.clock.schedule(50.0, self._watch_loss, request, n_try)

    def _send_cancel(self, submitted):
        simulation = self.simulation
        node = self._pick_node()
        if node is None:
            return
        self._next_ref += 1
        request = attrs.evolve(
            submitted,
            target_incarnation=node.record.incarnation,
            answer=None,
            is_cancel=True,
            has_arrived=False,
            is_lost=False,
        )
        simulation.oracle.requests.append(request)
        self._request_by_ref[self._next_ref] = request
        event = JobCancelRequested(
            caller_ref=self._next_ref, job_id=submitted.job.job_id
        )
        self._schedule_arrival(node, request, event)

    def _schedule_arrival(self, node, request, event):
        simulation = self.simulation
        simulation.clock.schedule(
            simulation.plan.client_delay_ms,
            self._arrive,
            node,
            node.generation,
            request,
            event,
        )

    def _arrive(self, node, generation, request, event):
        request.has_arrived = node.is_up and node.generation == generation
        self.simulation.deliver(node, generation, event)

    def _take_answer(self, node, action):
        request = self._request_by_ref[action.caller_ref]
        self.simulation.oracle.record_answer(request, action.answer)
        is_refused = action.answer.status is JobStatus.NOT_RUN
        retry_ms = action.answer.retry_after_ms
        if is_refused and retry_ms and not request.is_cancel:
            n_sent = self._count_sent(request.job)
            if n_sent < MAX_TRIES and self.simulation.random_state.random() < 0.7:
                self.simulation.clock.schedule(
                    retry_ms, self._send, request.job, n_sent + 1
                )

    def _watch_loss(self, request, n_try):
        if request.answer is not None:
            return
        if not request.is_lost:
            self.simulation.clock.schedule(50.0, self._watch_loss, request, n_try)
            return
        if n_try < MAX_TRIES:
            self._send(request.job, n_try + 1)

    def _lose_patience(self, request, n_try):
        is_open = request.answer is None and not request.is_lost
        if is_open and n_try < MAX_TRIES:
            self._send(request.job, n_try + 1)

    def _count_sent(self, job):
        requests = self.simulation.oracle.requests
        return sum(r.job is job and not r.is_cancel for r in requests)

    def _pick_node(self):
        nodes = [node for node in self.simulation.entries if node.is_up]
        calm = [node for node in nodes if not node.is_draining]
        if self.simulation.random_state.random() < LATE_BALANCER:
            calm = nodes
        return self.simulation.random_state.choice(calm or nodes) if nodes else None
