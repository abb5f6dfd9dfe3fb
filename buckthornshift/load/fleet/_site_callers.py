"""Simulated callers: they send requests, retry after a lost connection, and leave."""

from ...dispatch import CallerDisconnected, EndReason, JobArrived, Outcome
from ._records import RequestOutcome

NO_INSTANCE_RETRY_MS = 100.0
# Reasons after which a failed job is not sent again.
FINAL_REASONS = (EndReason.ATTEMPTS_USED_UP, EndReason.DEADLINE)


class SiteCallers:
    """Send the requests of a load to the instances of a world.

    A caller prefers a ready instance in its own zone, then any ready instance, then
    any that is up. If the connection is lost, or its job ends without a final result,
    it sends the request again, until it times out. A refused request is sent again
    after the time that the refusal names, as a new request with a time-out of its own.

    :param world: the :class:`~buckthornshift.proving.fleet.FleetWorld`.
    :param retry_delay_ms: delay before a request is sent again.
    :param max_refused_retries: how often a refused request is sent again.
    :param on_outcome: called with arrival, :class:`RequestOutcome`, reason, elapsed
        time in milliseconds and number of refusals before the last sending.
    """

    def __init__(
        self,
        world=None,
        retry_delay_ms=1_300.0,
        max_refused_retries=0,
        on_outcome=None,
    ):
        self.world = world
        self.retry_delay_ms = retry_delay_ms
        self.max_refused_retries = max_refused_retries
        self.on_outcome = on_outcome
        self.disconnect_probability = 0.0
        # The fault injector sets this during a burst, but it has no effect here: the
        # drawn traffic contains the bursts already.
        self.rate_factor = 1.0
        self._connection_by_ref = {}
        self._sent_ms_by_job = {}
        self._n_refusals_by_job = {}
        self._last_ref = 0
        world.on_answer = self._on_answer
        world.on_lost_request = self._on_connection_lost

    def send(self, arrival):
        """Send a request for the first time, and schedule its time-out."""
        self._sent_ms_by_job[arrival.job.job_id] = self.world.clock.now_ms
        self._send(arrival)
        if arrival.leave_draw < self.disconnect_probability:
            self.world.clock.schedule(arrival.leave_after_ms, self._leave, arrival)
        n_refusals = self._n_refusals_by_job.setdefault(arrival.job.job_id, 0)
        self.world.clock.schedule(
            arrival.timeout_ms, self._time_out, arrival, n_refusals
        )

    def _send(self, arrival):
        world = self.world
        if arrival.job.job_id not in self._sent_ms_by_job:
            return
        instance = self._choose_instance(arrival)
        if instance is None:
            world.clock.schedule(NO_INSTANCE_RETRY_MS, self._send, arrival)
            return
        client_delay_ms = world.plan.client_delay_ms
        world.clock.schedule(
            client_delay_ms, self._deliver, instance, instance.key, arrival
        )

    def _deliver(self, instance, key, arrival):
        world = self.world
        sent_ms = self._sent_ms_by_job.get(arrival.job.job_id)
        if sent_ms is None:
            return
        if instance.core is None or instance.key != key:
            self._send(arrival)
            return
        self._last_ref += 1
        self._connection_by_ref[self._last_ref] = (instance, key, arrival)
        instance.callers[self._last_ref] = arrival
        queue = self._find_queue(arrival)
        world.oracle.record_request(arrival.job, queue, False)
        event = JobArrived(
            caller_ref=self._last_ref,
            job=arrival.job,
            queue=queue,
            timeout_ms=arrival.timeout_ms - (world.clock.now_ms - sent_ms),
        )
        world.deliver(instance, key, event)

    def _on_answer(self, instance, action):
        arrival = instance.callers.pop(action.caller_ref, None)
        self._connection_by_ref.pop(action.caller_ref, None)
        if arrival is None:
            return
        self.world.oracle.record_answer(arrival.job, action)
        client_delay_ms = self.world.plan.client_delay_ms
        self.world.clock.schedule(
            client_delay_ms, self._on_answer_received, arrival, action
        )

    def _on_answer_received(self, arrival, action):
        sent_ms = self._sent_ms_by_job.get(arrival.job.job_id)
        if sent_ms is None:
            return
        elapsed_ms = self.world.clock.now_ms - sent_ms
        match action.outcome:
            case Outcome.COMPLETED:
                is_late = elapsed_ms > arrival.objective_ms
                self._finish(
                    arrival,
                    RequestOutcome.LATE if is_late else RequestOutcome.IN_TIME,
                )
            case Outcome.NOT_RUN:
                self._on_refused(arrival, action)
            case _ if action.reason in FINAL_REASONS:
                self._finish(arrival, RequestOutcome.FAILED, action.reason.value)
            case _:
                self._schedule_retry(arrival)

    def _on_refused(self, arrival, action):
        job_id = arrival.job.job_id
        if self._n_refusals_by_job[job_id] >= self.max_refused_retries:
            self._finish(arrival, RequestOutcome.REFUSED, action.reason.value)
            return
        self._n_refusals_by_job[job_id] += 1
        del self._sent_ms_by_job[job_id]
        self.world.clock.schedule(action.retry_after_ms, self.send, arrival)

    def _on_connection_lost(self, arrival):
        self.world.oracle.record_lost_request(arrival.job)
        self._schedule_retry(arrival)

    def _schedule_retry(self, arrival):
        self.world.clock.schedule(self.retry_delay_ms, self._send, arrival)

    def _leave(self, arrival):
        if arrival.job.job_id in self._sent_ms_by_job:
            self._finish(arrival, RequestOutcome.LEFT)
            self._disconnect(arrival)

    def _time_out(self, arrival, n_refusals):
        job_id = arrival.job.job_id
        is_current = n_refusals == self._n_refusals_by_job.get(job_id)
        if is_current and job_id in self._sent_ms_by_job:
            self._finish(arrival, RequestOutcome.NO_ANSWER)
            self._disconnect(arrival)

    def _disconnect(self, arrival):
        """Close the open connections of a request and tell their instances."""
        for ref, (instance, key, other) in list(self._connection_by_ref.items()):
            if (
                other is not arrival
                or instance.key != key
                or ref not in instance.callers
            ):
                continue
            del instance.callers[ref], self._connection_by_ref[ref]
            self.world.oracle.record_lost_request(arrival.job)
            self.world.deliver(instance, key, CallerDisconnected(caller_ref=ref))

    def _finish(self, arrival, outcome, reason=""):
        sent_ms = self._sent_ms_by_job.pop(arrival.job.job_id)
        n_refusals = self._n_refusals_by_job.pop(arrival.job.job_id)
        elapsed_ms = self.world.clock.now_ms - sent_ms
        self.on_outcome(arrival, outcome, reason, elapsed_ms, n_refusals)

    def _find_queue(self, arrival):
        queues = self.world.store.configuration.queues
        return next(queue for queue in queues if queue.name == arrival.kind.name)

    def _choose_instance(self, arrival):
        instances = self.world.instances
        up = [instance for instance in instances if instance.core is not None]
        ready = [instance for instance in up if instance.core.is_ready()]
        zone = f"zone-{arrival.zone_index}"
        in_zone = [instance for instance in ready if instance.zone == zone]
        candidates = in_zone or ready or up
        if not candidates:
            return None
        # The choice follows from the job id, so that every compared run makes the
        # same one from the same candidates.
        return candidates[int(arrival.job.job_id, 16) % len(candidates)]
