"""Loads on cores under a virtual clock: exact, repeatable, without the machine."""

import random

import attrs

from ..contracts import (
    CATALOGUE_STREAM,
    CatalogueChange,
    encode_message,
)
from ..core import JobCancelRequested, JobSubmitted, flatten_document
from ..proving import FaultInjector, Simulation, TrackedRequest
from ._load_plan import LoadPlan
from ._profiles import assign_job_id, make_catalogue
from ._recorder import LoadRecorder, SystemCounts

WARM_UP_MS = 2_000.0
RETRY_LOST_MS = 50.0
DRAIN_MS = 30_000.0


class VirtualTimeRun:
    """Run a profile on a world and record what callers see.

    :param load_plan: the :class:`LoadPlan`.
    """

    def __init__(self, load_plan=None):
        self.load_plan = load_plan or LoadPlan()
        self.simulation = None
        self.recorder = None
        self._requests_by_ref = {}
        self._answered_jobs = set()
        self._n_answers = 0
        self._next_ref = 0
        self._random_state = random.Random(self.load_plan.seed)

    def run(self):
        """Run to the end and return the :class:`LoadResult`."""
        plan = self.load_plan.make_run_plan(WARM_UP_MS)
        self.simulation = Simulation(
            plan=plan, core_settings=self.load_plan.core_settings
        )
        self.simulation.on_answer = self._take_answer
        n_slots = plan.n_servers * plan.slots
        min_network_ms = 2 * plan.client_delay_ms + 2 * plan.same_zone_delay_ms
        self.recorder = LoadRecorder(n_slots=n_slots, min_network_ms=min_network_ms)
        self._start(n_slots)
        self.simulation.clock.run_until(
            WARM_UP_MS + self.load_plan.length_ms + DRAIN_MS
        )
        return self._finish()

    def _start(self, n_slots):
        simulation = self.simulation
        simulation.start()
        items = flatten_document(make_catalogue(self.load_plan.profile))
        change = CatalogueChange(change_id="first", based_on=-1, items=items)
        simulation.transport.append_directly(CATALOGUE_STREAM, encode_message(change))
        FaultInjector(simulation=simulation, callers=self).start()
        simulation.trim_log()
        arrivals = self.load_plan.draw_arrivals(n_slots, self._random_state)
        for arrival in arrivals:
            simulation.clock.schedule(WARM_UP_MS + arrival.at_ms, self._arrive, arrival)

    def cancel_recent_jobs(self, n_jobs):
        """Cancel a wave of recent jobs, for the fault injector."""
        for ref in list(self._requests_by_ref)[-n_jobs:]:
            arrival, job, _, _ = self._requests_by_ref[ref]
            self._send_cancel(job)

    def publish_conflicting_changes(self):
        """Do nothing: loads do not change the catalogue."""

    def _arrive(self, arrival):
        job = assign_job_id(
            arrival.job, self.simulation.clock.wall_ms, self._random_state
        )
        sent_ms = self.simulation.clock.now_ms
        self._send(arrival, job, sent_ms, is_again=False)
        if arrival.is_duplicated:
            self._send(arrival, job, sent_ms, is_again=False)
        if arrival.cancel_after_ms is not None:
            self.simulation.clock.schedule(
                arrival.cancel_after_ms, self._send_cancel, job
            )

    def _send(self, arrival, job, sent_ms, is_again):
        simulation = self.simulation
        node = self._pick_node()
        if node is None:
            simulation.clock.schedule(
                RETRY_LOST_MS, self._send, arrival, job, sent_ms, is_again
            )
            return
        ref = self._make_ref()
        request = TrackedRequest(job=job, target_incarnation=node.record.incarnation)
        simulation.oracle.requests.append(request)
        self._requests_by_ref[ref] = (arrival, job, sent_ms, request)
        event = JobSubmitted(caller_ref=ref, job=job, is_resubmission=is_again)
        simulation.clock.schedule(
            simulation.plan.client_delay_ms,
            simulation.deliver,
            node,
            node.generation,
            event,
        )
        simulation.clock.schedule(RETRY_LOST_MS, self._watch, ref)

    def _watch(self, ref):
        entry = self._requests_by_ref.get(ref)
        if entry is None:
            return
        arrival, job, sent_ms, request = entry
        if not request.is_lost:
            self.simulation.clock.schedule(RETRY_LOST_MS, self._watch, ref)
            return
        del self._requests_by_ref[ref]
        self._send(arrival, job, sent_ms, is_again=True)

    def _send_cancel(self, job):
        node = self._pick_node()
        if node is None:
            return
        event = JobCancelRequested(caller_ref=self._make_ref(), job_id=job.job_id)
        self.simulation.clock.schedule(
            self.simulation.plan.client_delay_ms,
            self.simulation.deliver,
            node,
            node.generation,
            event,
        )

    def _take_answer(self, node, action):
        self._n_answers += 1
        entry = self._requests_by_ref.pop(action.caller_ref, None)
        if entry is None:
            return
        arrival, job, sent_ms, request = entry
        self.simulation.oracle.record_answer(request, action.answer)
        if job.job_id in self._answered_jobs:
            return
        self._answered_jobs.add(job.job_id)
        elapsed_ms = (
            self.simulation.clock.now_ms
            - sent_ms
            + self.simulation.plan.client_delay_ms
        )
        self.recorder.record_answer(arrival, action.answer, elapsed_ms)

    def _finish(self):
        for arrival, job, _, _ in self._requests_by_ref.values():
            if job.job_id not in self._answered_jobs:
                self.recorder.record_answer(arrival, None, 0.0)
                self.recorder.record_violation("no_answer")
        counts = SystemCounts(n_appends=self.simulation.log.n_appends)
        for core in self.simulation.cores:
            counts.add_counters(attrs.asdict(core.context.counters))
        for (job_id, task_id), seen in self.simulation.oracle.starts_by_task.items():
            counts.add_starts({f"{job_id}/{task_id}": len(seen)})
        messages = counts.make_message_counts(self._next_ref, self._n_answers)
        name = self.load_plan.name
        return self.recorder.make_result(name, messages, counts.starts_by_task)

    def _pick_node(self):
        nodes = [n for n in self.simulation.entries if n.is_up and not n.is_draining]
        return self.simulation.random_state.choice(nodes) if nodes else None

    def _make_ref(self):
        self._next_ref += 1
        return self._next_ref
