"""A backend server of the platform as a model: fences, leases, no guard of capacity."""

import attrs

from ..dispatch import EndedTask, EndKind, Resources, RunningTask, Verdict

MAX_LEASE_MS = 1_000.0
STOP_DELAY_MS = 50.0


@attrs.define(kw_only=True)
class TaskServerFaults:
    """What is wrong with a server.

    :param slow_factor: factor on run times.
    :param fails: whether everything that starts fails.
    :param hangs: whether what starts stands still.
    """

    slow_factor: float = 1.0
    fails: bool = False
    hangs: bool = False


@attrs.define(kw_only=True)
class SimulatedRun:
    """A run on the server.

    :param task: name of the task.
    :param run: its number.
    :param started_ms: when it began.
    :param finish_ms: when its work is done; infinite if it hangs.
    :param stop_ms: when a stop takes effect, or ``None``.
    :param kind: how it ends by itself.
    """

    task: str = ""
    run: int = 0
    started_ms: float = 0.0
    finish_ms: float = 0.0
    stop_ms: float | None = None
    kind: EndKind = EndKind.DONE

    @property
    def due_ms(self):
        """When it ends, by itself or by a stop."""
        if self.stop_ms is None:
            return self.finish_ms
        return min(self.finish_ms, self.stop_ms)


@attrs.frozen(kw_only=True)
class Answer:
    """What the server says to an order.

    :param verdict: the verdict.
    :param clock_ms: its clock.
    :param running: what runs, after a renewal.
    :param ended: what ended, after a renewal.
    """

    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None
    running: tuple = ()
    ended: tuple = ()


class TaskServerModel:
    """One life of a backend server that starts whatever it is told to.

    :param server_id: id of this life.
    :param capacity: its :class:`~buckthornshift.dispatch.Resources`.
    :param speed: factor on the speed of its tasks.
    :param clock_rate: speed of its clock; it may be 2 % slow.
    :param clock_start_ms: what its clock shows at time 0.
    :param plan_run: called with a task's name; returns its duration in ms and
        whether it fails.
    :param observer: told of each begin and end.
    """

    def __init__(
        self,
        server_id="",
        capacity=None,
        speed=1.0,
        clock_rate=1.0,
        clock_start_ms=0.0,
        plan_run=None,
        observer=None,
    ):
        self.server_id = server_id
        self.capacity = capacity or Resources()
        self.speed = speed
        self.clock_rate = clock_rate
        self.clock_start_ms = clock_start_ms
        self.plan_run = plan_run
        self.observer = observer
        self.faults = TaskServerFaults()
        self.token = 0
        self.run_by_task = {}
        self.ended = []
        self._n_ended = 0
        self._barred_run_by_task = {}
        self._lease_end_clock_ms = 0.0

    def read_clock(self, now_ms):
        """Return the server's clock."""
        return self.clock_start_ms + now_ms * self.clock_rate

    def start(self, order, now_ms):
        """Take a start order; return an :class:`Answer`.

        :param order: a :class:`~buckthornshift.dispatch.StartRun`.
        :param now_ms: the current time.
        """
        self.advance(now_ms)
        if not self._accept_token(order.token):
            return self._answer(Verdict.FENCED, now_ms)
        if order.lease_end_ms < self.read_clock(now_ms):
            return self._answer(Verdict.LATE, now_ms)
        self._extend_lease(order.lease_end_ms, now_ms)
        known = self.run_by_task.get(order.task)
        if known is not None and known.run == order.run:
            return self._answer(Verdict.DONE, now_ms)
        if order.run <= self._barred_run_by_task.get(order.task, 0):
            return self._answer(Verdict.OLD_RUN, now_ms)
        self._begin(order, now_ms)
        return self._answer(Verdict.DONE, now_ms)

    def stop(self, order, now_ms):
        """Take a stop order; return an :class:`Answer`.

        :param order: a :class:`~buckthornshift.dispatch.StopRun`.
        :param now_ms: the current time.
        """
        self.advance(now_ms)
        if not self._accept_token(order.token):
            return self._answer(Verdict.FENCED, now_ms)
        self._bar(order.task, order.run)
        run = self.run_by_task.get(order.task)
        if run is not None and run.run <= order.run and run.stop_ms is None:
            run.stop_ms = now_ms + STOP_DELAY_MS
        return self._answer(Verdict.DONE, now_ms)

    def renew_lease(self, order, now_ms):
        """Take a renewal; return an :class:`Answer` with what runs and what ended.

        :param order: a :class:`~buckthornshift.dispatch.RenewLease`.
        :param now_ms: the current time.
        """
        self.advance(now_ms)
        if not self._accept_token(order.token):
            return self._answer(Verdict.FENCED, now_ms)
        self.ended = [end for end in self.ended if end.number > order.last_acked]
        if order.lease_end_ms is not None:
            self._extend_lease(order.lease_end_ms, now_ms)
        return self.report_runs(now_ms)

    def report_runs(self, now_ms):
        """Return an :class:`Answer` with what runs and what ended."""
        self.advance(now_ms)
        running = tuple(
            RunningTask(task=r.task, run=r.run, percent=_measure_percent(r, now_ms))
            for r in self.run_by_task.values()
        )
        return self._answer(
            Verdict.DONE, now_ms, running=running, ended=tuple(self.ended[:500])
        )

    def advance(self, now_ms):
        """End what is due by a time, and everything when the lease lapses."""
        for run in sorted(self.run_by_task.values(), key=lambda r: r.due_ms):
            if run.due_ms <= now_ms:
                is_stopped = run.stop_ms is not None and run.stop_ms < run.finish_ms
                self._end(run, EndKind.STOPPED if is_stopped else run.kind)
        if self.read_clock(now_ms) > self._lease_end_clock_ms:
            for run in list(self.run_by_task.values()):
                self._end(run, EndKind.LAPSED)

    def find_next_due(self):
        """Return when something ends by itself, or ``None``."""
        if not self.run_by_task:
            return None
        lapse_ms = (self._lease_end_clock_ms - self.clock_start_ms) / self.clock_rate
        first_ms = min(run.due_ms for run in self.run_by_task.values())
        return min(first_ms, lapse_ms + 0.01)

    def abort_all_runs(self):
        """End what runs because the server goes down; nobody hears of it."""
        for run in list(self.run_by_task.values()):
            self.run_by_task.pop(run.task)
            self.observer.on_run_ended(self, run, EndKind.LAPSED)

    def _begin(self, order, now_ms):
        duration_ms, is_failing = self.plan_run(order.task)
        duration_ms *= self.faults.slow_factor / self.speed
        run = SimulatedRun(
            task=order.task,
            run=order.run,
            started_ms=now_ms,
            finish_ms=float("inf") if self.faults.hangs else now_ms + duration_ms,
            kind=EndKind.FAILED if is_failing or self.faults.fails else EndKind.DONE,
        )
        self.observer.on_run_started(self, run, order)
        self.run_by_task[order.task] = run

    def _end(self, run, kind):
        self.run_by_task.pop(run.task, None)
        self._bar(run.task, run.run)
        self._n_ended += 1
        self.ended.append(
            EndedTask(number=self._n_ended, task=run.task, run=run.run, kind=kind)
        )
        self.observer.on_run_ended(self, run, kind)

    def _bar(self, task, run):
        barred = self._barred_run_by_task.get(task, 0)
        self._barred_run_by_task[task] = max(barred, run)

    def _accept_token(self, token):
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend_lease(self, end_ms, now_ms):
        capped_ms = min(end_ms, self.read_clock(now_ms) + MAX_LEASE_MS)
        self._lease_end_clock_ms = max(self._lease_end_clock_ms, capped_ms)

    def _answer(self, verdict, now_ms, running=(), ended=()):
        return Answer(
            verdict=verdict,
            clock_ms=int(self.read_clock(now_ms)),
            running=running,
            ended=ended,
        )


def _measure_percent(run, now_ms):
    if run.finish_ms == float("inf"):
        return 0.0
    length_ms = max(1.0, run.finish_ms - run.started_ms)
    return float(int(100.0 * (now_ms - run.started_ms) / length_ms))
