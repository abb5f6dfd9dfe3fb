"""Simulation of a site's load on dispatching instances under a virtual clock."""

import random

import attrs

from ...dispatch import DispatchSettings
from ...proving.fleet import (
    FleetFaultInjector,
    FleetPlan,
    FleetRuleError,
    FleetWorld,
)
from ._records import CapacitySample, FleetLoadResult, RequestOutcome, RequestRecord
from ._site_callers import SiteCallers
from ._sites import Site
from ._stages import StageRecorder
from ._traffic import draw_queue_bursts, draw_traffic

# Time for the instances to start and elect owners before the load.
WARM_UP_MS = 2_000.0
# Time after the load in which the open requests end.
DRAIN_MS = 12_000.0
CAPACITY_SAMPLE_INTERVAL_MS = 200.0


@attrs.frozen(kw_only=True)
class FleetLoadPlan:
    """Parameters of one run of a site's load.

    :param name: name of the run.
    :param site: the :class:`Site`.
    :param load: factor on the request rate of the site.
    :param length_ms: length of the load.
    :param seed: seed of all random draws.
    :param faults: the :class:`~buckthornshift.proving.fleet.PlannedFault` of the
        run; times count from the start of the load.
    :param bursts: the :class:`QueueBurst` of the run.
    :param event_ms: processor time that an instance takes for one event.
    :param settings: the :class:`~buckthornshift.dispatch.DispatchSettings`.
    """

    name: str = "load"
    site: Site = Site()
    load: float = 0.6
    length_ms: float = 20_000.0
    seed: int = 1
    faults: tuple = ()
    bursts: tuple = ()
    event_ms: float = 0.0
    settings: DispatchSettings = DispatchSettings()

    def draw_arrivals(self):
        """Draw the requests, which do not depend on the policy or the version.

        :returns: list of :class:`SiteArrival`, in order of time.
        """
        random_state = random.Random(self.seed)
        arrivals = draw_traffic(
            self.site, self.load, self.length_ms, random_state, self.faults
        )
        added = draw_queue_bursts(
            self.site, self.load, self.bursts, len(arrivals), random_state
        )
        return sorted(arrivals + added, key=lambda arrival: arrival.at_ms)

    def make_fleet_plan(self):
        """Return the plan of the simulated world, with faults after the warm-up.

        :returns: a :class:`~buckthornshift.proving.fleet.FleetPlan`.
        """
        site = self.site
        faults = tuple(
            attrs.evolve(fault, start_ms=fault.start_ms + WARM_UP_MS)
            for fault in self.faults
        )
        return FleetPlan(
            seed=self.seed,
            n_zones=site.n_zones,
            n_instances=site.n_instances,
            n_servers=site.n_servers,
            busy_ms=WARM_UP_MS + self.length_ms,
            settle_ms=DRAIN_MS,
            faults=faults,
            inter_zone_delay_ms=site.inter_zone_delay_ms,
            client_delay_ms=site.client_delay_ms,
            event_ms=self.event_ms,
            shape=site.make_shape(),
        )


class FleetLoadSimulation:
    """Simulate a load and record the outcome of each request.

    :param plan: the :class:`FleetLoadPlan`.
    """

    def __init__(self, plan=None):
        self.plan = plan or FleetLoadPlan()
        self.world = None
        self._callers = None
        self._stage_recorder = None
        self._records = []
        self._capacity_samples = []
        self._run_ms_by_task = {}
        self._need_by_job = {}

    def run(self):
        """Simulate until the drain after the load is over, or a rule is violated.

        :returns: the :class:`FleetLoadResult`.
        """
        self._build_world()
        violation = ""
        try:
            self._simulate()
        except FleetRuleError as error:
            violation = f"at {self.world.clock.now_ms:.1f} ms: {error}"
        counts = self.world.oracle.counts
        return FleetLoadResult(
            name=self.plan.name,
            length_ms=self.plan.length_ms,
            records=tuple(sorted(self._records, key=lambda r: r.at_ms)),
            room=tuple(self._capacity_samples),
            n_starts=counts.n_starts,
            n_stopped=counts.n_stopped + counts.n_lapsed + counts.n_aborted,
            violation=violation,
        )

    def _build_world(self):
        plan = self.plan
        self.world = FleetWorld(plan=plan.make_fleet_plan(), settings=plan.settings)
        self._stage_recorder = StageRecorder(world=self.world)
        self._callers = SiteCallers(
            world=self.world,
            retry_delay_ms=plan.site.retry_delay_ms,
            max_refused_retries=plan.site.max_refused_retries,
            on_outcome=self._record_outcome,
        )
        self.world.plan_run = self._plan_run
        FleetFaultInjector(world=self.world, callers=self._callers).start()

    def _simulate(self):
        plan = self.plan
        clock = self.world.clock
        self.world.start()
        for arrival in plan.draw_arrivals():
            self._run_ms_by_task.update(arrival.run_ms_by_task)
            self._need_by_job[arrival.job.job_id] = arrival.job.steps[0].need
            clock.schedule(WARM_UP_MS + arrival.at_ms, self._send, arrival)
        clock.schedule(WARM_UP_MS, self._sample_capacity)
        clock.run_until(WARM_UP_MS + plan.length_ms + DRAIN_MS)

    def _send(self, arrival):
        self._stage_recorder.record_sent(arrival.job.job_id)
        self._callers.send(arrival)

    def _plan_run(self, task):
        """Return the drawn run time of a task, and that it does not fail."""
        return self._run_ms_by_task[task], False

    def _sample_capacity(self):
        clock = self.world.clock
        if clock.now_ms > WARM_UP_MS + self.plan.length_ms:
            return
        used_cpu = up_cpu = 0
        for server in self.world.servers_by_id.values():
            if server.model is None:
                continue
            up_cpu += server.model.capacity.cpu
            used_cpu += sum(
                self._need_by_job[task.partition(".")[0]].cpu
                for task in server.model.run_by_task
            )
        site_cpu = self.plan.site.count_slots(task_cpu=1)
        self._capacity_samples.append(
            CapacitySample(
                at_ms=clock.now_ms - WARM_UP_MS,
                used_share=round(used_cpu / max(1, up_cpu), 4),
                up_share=round(up_cpu / site_cpu, 4),
            )
        )
        clock.schedule(CAPACITY_SAMPLE_INTERVAL_MS, self._sample_capacity)

    def _record_outcome(self, arrival, outcome, reason, elapsed_ms, n_refusals):
        earned = 0.0
        stage_ms = {}
        if outcome in (RequestOutcome.IN_TIME, RequestOutcome.LATE):
            earned = (
                arrival.credit
                if outcome is RequestOutcome.IN_TIME
                else arrival.late_credit
            )
            earned = earned if elapsed_ms <= arrival.late_ms else 0.0
            now_ms = self.world.clock.now_ms
            stage_ms = self._stage_recorder.measure(arrival.job.job_id, now_ms)
        self._records.append(
            RequestRecord(
                job_id=arrival.job.job_id,
                kind=arrival.kind.name,
                zone=f"zone-{arrival.zone_index}",
                size=round(arrival.size, 4),
                at_ms=round(arrival.at_ms, 2),
                fate=outcome,
                reason=reason,
                elapsed_ms=round(elapsed_ms, 2),
                n_refusals=n_refusals,
                credit=arrival.credit,
                earned=earned,
                stage_ms=stage_ms,
            )
        )
