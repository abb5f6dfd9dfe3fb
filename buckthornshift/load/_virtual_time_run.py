"""Loads in virtual time on simulated instances.

The seed determines the result, whatever the speed of the machine.
"""

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
RETRY_INTERVAL_MS = 50.0
COOL_DOWN_MS = 30_000.0


class VirtualTimeRun:
    """Run a load in virtual time and record the answers to callers.

    :param load_plan: the :class:`LoadPlan`.
    """

    def __init__(self, load_plan=None):
        self.load_plan = load_plan or LoadPlan()
        self.simulation = None
        self.recorder = None
        self._pending_by_caller_ref = {}
        self._answered_job_ids = set()
        self._n_answers = 0
        self._last_caller_ref = 0
        self._random_state = random.Random(self.load_plan.seed)

    def run(self):
        """Run the whole load and return the :class:`LoadResult`."""
        plan = self.load_plan.make_run_plan(WARM_UP_MS)
        self.simulation = Simulation(
            plan=plan, core_settings=self.load_plan.core_settings
        )
        self.simulation.on_answer = self._on_answer
        n_slots = plan.n_servers * plan.slots
        min_network_ms = 2 * plan.client_delay_ms + 2 * plan.same_zone_delay_ms
        self.recorder = LoadRecorder(n_slots=n_slots, min_network_ms=min_network_ms)
        self._start(n_slots)
        self.simulation.clock.run_until(
            WARM_UP_MS + self.load_plan.length_ms + COOL_DOWN_MS
        )
        return self._collect_result()

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
            simulation.clock.schedule(
                WARM_UP_MS + arrival.at_ms, self._submit_arrival, arrival
            )

    def cancel_recent_jobs(self, n_jobs):
        """Cancel the most recent jobs; called by the fault injector.

        :param n_jobs: number of jobs to cancel.
        """
        for caller_ref in list(self._pending_by_caller_ref)[-n_jobs:]:
            arrival, job, _, _ = self._pending_by_caller_ref[caller_ref]
            self._send_cancel(job)

    def publish_conflicting_changes(self):
        """Do nothing, as a load does not change the catalogue.

        The fault injector calls this method.
        """

    def _submit_arrival(self, arrival):
        job = assign_job_id(
            arrival.job, self.simulation.clock.wall_ms, self._random_state
        )
        sent_ms = self.simulation.clock.now_ms
        self._submit(arrival, job, sent_ms, is_resubmission=False)
        if arrival.is_duplicated:
            self._submit(arrival, job, sent_ms, is_resubmission=False)
        if arrival.cancel_after_ms is not None:
            self.simulation.clock.schedule(
                arrival.cancel_after_ms, self._send_cancel, job
            )

    def _submit(self, arrival, job, sent_ms, is_resubmission):
        simulation = self.simulation
        instance = self._pick_instance()
        if instance is None:
            simulation.clock.schedule(
                RETRY_INTERVAL_MS, self._submit, arrival, job, sent_ms, is_resubmission
            )
            return
        caller_ref = self._make_caller_ref()
        request = TrackedRequest(
            job=job, target_incarnation=instance.record.incarnation
        )
        simulation.oracle.requests.append(request)
        self._pending_by_caller_ref[caller_ref] = (arrival, job, sent_ms, request)
        event = JobSubmitted(
            caller_ref=caller_ref, job=job, is_resubmission=is_resubmission
        )
        simulation.clock.schedule(
            simulation.plan.client_delay_ms,
            simulation.deliver,
            instance,
            instance.generation,
            event,
        )
        simulation.clock.schedule(RETRY_INTERVAL_MS, self._resubmit_if_lost, caller_ref)

    def _resubmit_if_lost(self, caller_ref):
        pending = self._pending_by_caller_ref.get(caller_ref)
        if pending is None:
            return
        arrival, job, sent_ms, request = pending
        if not request.is_lost:
            self.simulation.clock.schedule(
                RETRY_INTERVAL_MS, self._resubmit_if_lost, caller_ref
            )
            return
        del self._pending_by_caller_ref[caller_ref]
        self._submit(arrival, job, sent_ms, is_resubmission=True)

    def _send_cancel(self, job):
        instance = self._pick_instance()
        if instance is None:
            return
        event = JobCancelRequested(
            caller_ref=self._make_caller_ref(), job_id=job.job_id
        )
        self.simulation.clock.schedule(
            self.simulation.plan.client_delay_ms,
            self.simulation.deliver,
            instance,
            instance.generation,
            event,
        )

    def _on_answer(self, instance, action):
        self._n_answers += 1
        pending = self._pending_by_caller_ref.pop(action.caller_ref, None)
        if pending is None:
            return
        arrival, job, sent_ms, request = pending
        self.simulation.oracle.record_answer(request, action.answer)
        if job.job_id in self._answered_job_ids:
            return
        self._answered_job_ids.add(job.job_id)
        elapsed_ms = (
            self.simulation.clock.now_ms
            - sent_ms
            + self.simulation.plan.client_delay_ms
        )
        self.recorder.record_answer(arrival, action.answer, elapsed_ms)

    def _collect_result(self):
        for arrival, job, _, _ in self._pending_by_caller_ref.values():
            if job.job_id not in self._answered_job_ids:
                self.recorder.record_answer(arrival, None, 0.0)
                self.recorder.record_violation("no_answer")
        counts = SystemCounts(n_appends=self.simulation.log.n_appends)
        for core in self.simulation.cores:
            counts.add_counters(attrs.asdict(core.context.counters))
        for (job_id, task_id), starts in self.simulation.oracle.starts_by_task.items():
            counts.add_starts({f"{job_id}/{task_id}": len(starts)})
        messages = counts.make_message_counts(self._last_caller_ref, self._n_answers)
        name = self.load_plan.name
        return self.recorder.make_result(name, messages, counts.starts_by_task)

    def _pick_instance(self):
        instances = [
            n for n in self.simulation.entries if n.is_up and not n.is_draining
        ]
        return self.simulation.random_state.choice(instances) if instances else None

    def _make_caller_ref(self):
        self._last_caller_ref += 1
        return self._last_caller_ref
