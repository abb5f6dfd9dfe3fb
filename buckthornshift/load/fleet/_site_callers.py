"""Callers of a load: they send, send again after a break, and leave."""

from ...dispatch import CallerLeft, EndReason, JobArrived, Outcome
from ._records import RequestOutcome

NO_INSTANCE_RETRY_MS = 100.0
# Outcomes after which nothing more comes of a job.
FINAL_REASONS = (EndReason.ATTEMPTS_USED_UP, EndReason.DEADLINE)


class SiteCallers:
    """Send the requests of a load to the instances of a world.

    A caller goes to a ready instance of its own zone if there is one. It sends a
    request that broke off again, as long as it still waits for the answer.

    :param world: the :class:`~buckthornshift.proving.fleet.FleetWorld`.
    :param retry_delay_ms: pause before a broken request is sent again.
    :param on_outcome: called with arrival, :class:`RequestOutcome`, reason and
        elapsed time.
    """

    def __init__(self, world=None, retry_delay_ms=1_300.0, on_outcome=None):
        self.world = world
        self.retry_delay_ms = retry_delay_ms
        self.on_outcome = on_outcome
        self.leaving_share = 0.0
        # Bursts are part of the drawn traffic; the faults set this in vain.
        self.rate_factor = 1.0
        self._arrival_by_ref = {}
        self._open_by_job = {}
        self._next_ref = 0
        world.on_answer = self._take_answer
        world.on_lost_request = self._lose_connection

    def send(self, arrival):
        """Send a request for the first time."""
        self._open_by_job[arrival.job.job_id] = self.world.clock.now_ms
        self._send(arrival)
        if arrival.leave_draw < self.leaving_share:
            self.world.clock.schedule(arrival.leave_after_ms, self._leave, arrival)
        self.world.clock.schedule(arrival.timeout_ms, self._give_up, arrival)

    def _send(self, arrival):
        world = self.world
        if arrival.job.job_id not in self._open_by_job:
            return
        node = self._pick_node(arrival)
        if node is None:
            world.clock.schedule(NO_INSTANCE_RETRY_MS, self._send, arrival)
            return
        client_ms = world.plan.client_ms
        world.clock.schedule(client_ms, self._arrive, node, node.key, arrival)

    def _arrive(self, node, key, arrival):
        world = self.world
        sent_ms = self._open_by_job.get(arrival.job.job_id)
        if sent_ms is None:
            return
        if node.core is None or node.key != key:
            self._send(arrival)
            return
        self._next_ref += 1
        self._arrival_by_ref[self._next_ref] = (node, key, arrival)
        node.callers[self._next_ref] = arrival
        queue = self._find_queue(arrival)
        world.oracle.note_request(arrival.job, queue, False)
        event = JobArrived(
            caller_ref=self._next_ref,
            job=arrival.job,
            queue=queue,
            timeout_ms=arrival.timeout_ms - (world.clock.now_ms - sent_ms),
        )
        world.deliver(node, key, event)

    def _take_answer(self, node, action):
        arrival = node.callers.pop(action.caller_ref, None)
        self._arrival_by_ref.pop(action.caller_ref, None)
        if arrival is None:
            return
        self.world.oracle.note_answer(arrival.job, action)
        client_ms = self.world.plan.client_ms
        self.world.clock.schedule(client_ms, self._read_answer, arrival, action)

    def _read_answer(self, arrival, action):
        sent_ms = self._open_by_job.get(arrival.job.job_id)
        if sent_ms is None:
            return
        elapsed_ms = self.world.clock.now_ms - sent_ms
        match action.outcome:
            case Outcome.COMPLETED:
                is_late = elapsed_ms > arrival.objective_ms
                self._close(
                    arrival, RequestOutcome.LATE if is_late else RequestOutcome.IN_TIME
                )
            case Outcome.NOT_RUN:
                self._close(arrival, RequestOutcome.REFUSED, action.reason.value)
            case _ if action.reason in FINAL_REASONS:
                self._close(arrival, RequestOutcome.FAILED, action.reason.value)
            case _:
                self._resend(arrival)

    def _lose_connection(self, arrival):
        self.world.oracle.note_lost_request(arrival.job)
        self._resend(arrival)

    def _resend(self, arrival):
        self.world.clock.schedule(self.retry_delay_ms, self._send, arrival)

    def _leave(self, arrival):
        if arrival.job.job_id in self._open_by_job:
            self._close(arrival, RequestOutcome.LEFT)
            self._hang_up(arrival)

    def _give_up(self, arrival):
        if arrival.job.job_id in self._open_by_job:
            self._close(arrival, RequestOutcome.NO_ANSWER)
            self._hang_up(arrival)

    def _hang_up(self, arrival):
        for ref, (node, key, other) in list(self._arrival_by_ref.items()):
            if other is not arrival or node.key != key or ref not in node.callers:
                continue
            del node.callers[ref], self._arrival_by_ref[ref]
            self.world.oracle.note_lost_request(arrival.job)
            self.world.deliver(node, key, CallerLeft(caller_ref=ref))

    def _close(self, arrival, fate, reason=""):
        sent_ms = self._open_by_job.pop(arrival.job.job_id)
        self.on_outcome(arrival, fate, reason, self.world.clock.now_ms - sent_ms)

    def _find_queue(self, arrival):
        queues = self.world.configuration.queues
        return next(queue for queue in queues if queue.name == arrival.kind.name)

    def _pick_node(self, arrival):
        nodes = self.world.nodes
        up = [node for node in nodes if node.core is not None]
        ready = [node for node in up if node.core.is_ready()]
        zone = f"zone-{arrival.zone_index}"
        near = [node for node in ready if node.zone == zone]
        choices = near or ready or up
        if not choices:
            return None
        # By the number of the job: the same instance in every run compared.
        return choices[int(arrival.job.job_id, 16) % len(choices)]
