"""Model of a platform's backend server: fencing tokens and leases, without I/O.

The model does not check its capacity; keeping to it is up to the dispatcher.
"""

import attrs

from ..dispatch import EndedTask, EndKind, Resources, RunningTask, Verdict

MAX_LEASE_MS = 1_000.0
STOP_DELAY_MS = 50.0


@attrs.define(kw_only=True)
class TaskServerFaults:
    """Faults of a simulated server; they affect the runs that start from now on.

    :param slow_factor: factor on run times.
    :param fails: whether every run fails.
    :param hangs: whether runs never finish by themselves.
    """

    slow_factor: float = 1.0
    fails: bool = False
    hangs: bool = False


@attrs.define(kw_only=True)
class SimulatedRun:
    """A run of a task on the server.

    :param task: name of the task.
    :param run: number of the run.
    :param started_ms: start time.
    :param finish_ms: when it finishes by itself; infinite if it hangs.
    :param stop_ms: when a requested stop takes effect; ``None`` without one.
    :param kind: how it ends if it is not stopped, an
        :class:`~buckthornshift.dispatch.EndKind`.
    """

    task: str = ""
    run: int = 0
    started_ms: float = 0.0
    finish_ms: float = 0.0
    stop_ms: float | None = None
    kind: EndKind = EndKind.DONE

    @property
    def due_ms(self):
        """Time at which the run finishes or is stopped, whichever comes first."""
        if self.stop_ms is None:
            return self.finish_ms
        return min(self.finish_ms, self.stop_ms)


@attrs.frozen(kw_only=True)
class ServerResponse:
    """Response of the server to a command.

    :param verdict: whether the command was executed or why not, a
        :class:`~buckthornshift.dispatch.Verdict`.
    :param clock_ms: time on the server's clock.
    :param running: :class:`~buckthornshift.dispatch.RunningTask` objects, in the
        response to a lease renewal.
    :param ended: :class:`~buckthornshift.dispatch.EndedTask` objects that are not
        acknowledged yet, in the response to a lease renewal.
    :param started_ms: when the process started, in milliseconds since the epoch; 0 if
        it doesn't say.
    """

    verdict: Verdict = Verdict.DONE
    clock_ms: int | None = None
    running: tuple = ()
    ended: tuple = ()
    started_ms: int = 0


class TaskServerModel:
    """One process of a backend server; it starts every run that it is told to start.

    :param server_id: id of the server; a restarted server may keep it.
    :param capacity: its :class:`~buckthornshift.dispatch.Resources`.
    :param speed: factor by which tasks run faster than their planned run time.
    :param clock_rate: rate of its clock relative to real time; the clock may be up to
        2 % slow, so at least 0.98.
    :param clock_start_ms: time on its clock at time 0.
    :param plan_run: called with a task's name; returns its duration in ms and
        whether it fails.
    :param observer: has ``on_run_started``, called for every run, and then
        ``on_run_ended``, or ``on_run_aborted`` if the process ends before the run.
    :param started_ms: when it started, in milliseconds since the epoch; 0 to leave it
        out of responses.
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
        started_ms=0,
    ):
        self.server_id = server_id
        self.capacity = capacity or Resources()
        self.speed = speed
        self.clock_rate = clock_rate
        self.clock_start_ms = clock_start_ms
        self.plan_run = plan_run
        self.observer = observer
        self.started_ms = started_ms
        self.faults = TaskServerFaults()
        self.token = 0
        self.run_by_task = {}
        self.ended = []
        self._n_ended = 0
        self._max_rejected_run_by_task = {}
        self._lease_end_clock_ms = 0.0

    def read_clock(self, now_ms):
        """Return the time on the server's clock, in milliseconds."""
        return self.clock_start_ms + now_ms * self.clock_rate

    def start(self, command, now_ms):
        """Execute a start command; return a :class:`ServerResponse`.

        :param command: a :class:`~buckthornshift.dispatch.StartRun`.
        :param now_ms: the current time.
        """
        self.advance(now_ms)
        if not self._accept_token(command.token):
            return self._make_response(Verdict.FENCED, now_ms)
        if command.lease_end_ms < self.read_clock(now_ms):
            return self._make_response(Verdict.LATE, now_ms)
        self._extend_lease(command.lease_end_ms, now_ms)
        existing = self.run_by_task.get(command.task)
        if existing is not None and existing.run == command.run:
            return self._make_response(Verdict.DONE, now_ms)
        if command.run <= self._max_rejected_run_by_task.get(command.task, 0):
            return self._make_response(Verdict.OLD_RUN, now_ms)
        self._begin(command, now_ms)
        return self._make_response(Verdict.DONE, now_ms)

    def stop(self, command, now_ms):
        """Execute a stop command; return a :class:`ServerResponse`.

        :param command: a :class:`~buckthornshift.dispatch.StopRun`.
        :param now_ms: the current time.
        """
        self.advance(now_ms)
        if not self._accept_token(command.token):
            return self._make_response(Verdict.FENCED, now_ms)
        self._reject_runs_up_to(command.task, command.run)
        run = self.run_by_task.get(command.task)
        if run is not None and run.run <= command.run and run.stop_ms is None:
            run.stop_ms = now_ms + STOP_DELAY_MS
        return self._make_response(Verdict.DONE, now_ms)

    def renew_lease(self, command, now_ms):
        """Renew the lease of all runs; return what :meth:`report_runs` returns.

        :param command: a :class:`~buckthornshift.dispatch.RenewLease`.
        :param now_ms: the current time.
        """
        self.advance(now_ms)
        if not self._accept_token(command.token):
            return self._make_response(Verdict.FENCED, now_ms)
        self.ended = [end for end in self.ended if end.number > command.last_acked]
        if command.lease_end_ms is not None:
            self._extend_lease(command.lease_end_ms, now_ms)
        return self.report_runs(now_ms)

    def report_runs(self, now_ms):
        """Return a :class:`ServerResponse` with running and unacknowledged tasks."""
        self.advance(now_ms)
        running = tuple(
            RunningTask(task=r.task, run=r.run, percent=_compute_percent(r, now_ms))
            for r in self.run_by_task.values()
        )
        return self._make_response(
            Verdict.DONE, now_ms, running=running, ended=tuple(self.ended[:500])
        )

    def advance(self, now_ms):
        """End the runs that are due, and all runs if the lease has expired."""
        for run in sorted(self.run_by_task.values(), key=lambda r: r.due_ms):
            if run.due_ms <= now_ms:
                is_stopped = run.stop_ms is not None and run.stop_ms < run.finish_ms
                self._end(run, EndKind.STOPPED if is_stopped else run.kind)
        if self.read_clock(now_ms) > self._lease_end_clock_ms:
            for run in list(self.run_by_task.values()):
                self._end(run, EndKind.LAPSED)

    def find_next_due(self):
        """Return when a run ends or the lease expires next; ``None`` if idle."""
        if not self.run_by_task:
            return None
        lapse_ms = (self._lease_end_clock_ms - self.clock_start_ms) / self.clock_rate
        next_end_ms = min(run.due_ms for run in self.run_by_task.values())
        return min(next_end_ms, lapse_ms + 0.01)

    def abort_all_runs(self):
        """Abort all runs as the process ends, without reporting their ends."""
        for run in list(self.run_by_task.values()):
            self.run_by_task.pop(run.task)
            self.observer.on_run_aborted(self, run)

    def _begin(self, command, now_ms):
        duration_ms, is_failing = self.plan_run(command.task)
        duration_ms *= self.faults.slow_factor / self.speed
        run = SimulatedRun(
            task=command.task,
            run=command.run,
            started_ms=now_ms,
            finish_ms=float("inf") if self.faults.hangs else now_ms + duration_ms,
            kind=EndKind.FAILED if is_failing or self.faults.fails else EndKind.DONE,
        )
        self.observer.on_run_started(self, run, command)
        self.run_by_task[command.task] = run

    def _end(self, run, kind):
        self.run_by_task.pop(run.task, None)
        self._reject_runs_up_to(run.task, run.run)
        self._n_ended += 1
        self.ended.append(
            EndedTask(number=self._n_ended, task=run.task, run=run.run, kind=kind)
        )
        self.observer.on_run_ended(self, run, kind)

    def _reject_runs_up_to(self, task, run):
        max_rejected = self._max_rejected_run_by_task.get(task, 0)
        self._max_rejected_run_by_task[task] = max(max_rejected, run)

    def _accept_token(self, token):
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend_lease(self, end_ms, now_ms):
        capped_ms = min(end_ms, self.read_clock(now_ms) + MAX_LEASE_MS)
        self._lease_end_clock_ms = max(self._lease_end_clock_ms, capped_ms)

    def _make_response(self, verdict, now_ms, running=(), ended=()):
        return ServerResponse(
            verdict=verdict,
            clock_ms=int(self.read_clock(now_ms)),
            running=running,
            ended=ended,
            started_ms=self.started_ms,
        )


def _compute_percent(run, now_ms):
    if run.finish_ms == float("inf"):
        return 0.0
    length_ms = max(1.0, run.finish_ms - run.started_ms)
    return float(int(100.0 * (now_ms - run.started_ms) / length_ms))
