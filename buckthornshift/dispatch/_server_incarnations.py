"""Restarts of servers under their former ids, and runs that are lost with a server."""

from ._actions import DisconnectServer, LogCode, StopRun
from ._crash_history import LossEvidence
from ._events import Verdict
from ._internal_messages import ServersChanged, ServersRestarted
from ._jobs import RunPhase
from ._list_reader import MAX_LIST_AGE_MS

# Verdicts of responses that come from the server itself. A response that another
# incarnation is at the address comes from another server.
OWN_VERDICTS = (Verdict.DONE, Verdict.FENCED)
# Time for which a start command that timed out may still be carried out.
LATE_START_MS = 10_000.0


class ServerIncarnations:
    """Notice that a server has restarted, and decide what happens to its runs.

    A restarted server runs nothing, has seen no fencing token and numbers its ended
    runs from 1. The list or a response may show the restart first. What the new
    incarnation lists decides which runs are lost: a start command that was sent to the
    former one may have reached the new one.

    :param context: the shared :class:`DispatchContext`.
    :param crash_history: the :class:`CrashHistory`.
    :param jobs: the :class:`OwnerJobs`.
    :param runs: the :class:`RunTracker`.
    """

    def __init__(self, context=None, crash_history=None, jobs=None, runs=None):
        self.context = context
        self.crash_history = crash_history
        self.jobs = jobs
        self.runs = runs
        self.lease_manager = None
        self.list_reader = None

    def subscribe(self):
        """Return handlers by message class."""
        return {ServersRestarted: self.on_servers_restarted}

    def on_servers_restarted(self, message):
        """Ask restarted servers for their runs, over new connections."""
        for server in message.servers:
            # Its connections are broken, and its address may have changed.
            self.context.emit(DisconnectServer(server_id=server.id))
            self._record_restart(server, "list")
            self.lease_manager.ask_again(server)

    def is_stale(self, server, event):
        """Return whether a response is from a former incarnation of its server.

        :param server: the :class:`Server`.
        :param event: its :class:`RenewalAnswered`.
        """
        if event.verdict not in OWN_VERDICTS or not server.is_former(event.started_ms):
            return False
        self.context.log(
            LogCode.STALE_RESPONSE,
            server.id,
            started_ms=event.started_ms,
            known_started_ms=server.started_ms,
        )
        return True

    def read_incarnation(self, server, event):
        """Note the incarnation of a server that responds, which may be a new one.

        :param server: the :class:`Server`.
        :param event: its :class:`RenewalAnswered`, which is not stale.
        """
        if event.verdict not in OWN_VERDICTS:
            return
        if server.is_newer(event.started_ms):
            server.begin_incarnation(event.started_ms, self.context.now_ms)
            self._record_restart(server, "response")
        server.started_ms = max(server.started_ms, event.started_ms)

    def resolve_runs(self, server, event):
        """Close the runs that a restarted server no longer has.

        A run is gone if it was known to run before the response was requested, and the
        response lists it neither as running nor as ended. It was lost in the restart,
        or its end was acknowledged under the former numbering. A start without an
        answer is not resolved here: the new incarnation may still carry it out.

        :param server: the :class:`Server`.
        :param event: its :class:`RenewalAnswered`.
        """
        if server.restart_noticed_ms is None:
            return
        listed = {(running.task, running.run) for running in event.running}
        listed |= {(ended.task, ended.run) for ended in event.ended}
        missing = [
            run
            for run in server.run_by_name.values()
            if (run.name, run.number) not in listed and run.sent_ms < event.sent_ms
        ]
        gone = [
            run
            for run in missing
            if run.confirmed_ms is not None and run.confirmed_ms < event.sent_ms
        ]
        # A task that crashes its server before it answers is suspected as well, unless
        # its start may still be under way.
        timeout_ms = self.context.settings.call_timeout_ms
        unanswered = [
            run
            for run in missing
            if run.confirmed_ms is None and run.sent_ms < event.sent_ms - timeout_ms
        ]
        suspects = [*gone, *unanswered] if server.awaits_listing else gone
        self._close_lost(server, gone, LossEvidence.SERVER_RESTARTED)
        self._record_losses(
            server,
            [run for run in suspects if run.sent_ms <= server.restart_noticed_ms],
            is_former=True,
        )
        if server.awaits_listing:
            self._bar_again(server)
        server.awaits_listing = False

    def lose_former(self, server):
        """Close the runs that a former incarnation of a server listed.

        Called when a rival has taken the server before it listed its runs here.
        """
        runs = [
            run
            for run in server.run_by_name.values()
            if server.is_former(run.listed_started_ms)
        ]
        self._close_lost(server, runs, LossEvidence.SERVER_RESTARTED)
        self._record_losses(server, runs, is_former=True)

    def record_barred(self, server, run):
        """Remember a run that was stopped before its server confirmed its start.

        :param server: the :class:`Server`.
        :param run: the run, which is closed now.
        """
        if run.confirmed_ms is not None or not server.started_ms:
            return
        now_ms = self.context.now_ms
        for name, (_, until_ms) in list(server.barred_by_name.items()):
            if until_ms < now_ms:
                del server.barred_by_name[name]
        server.barred_by_name[run.name] = (run.number, now_ms + LATE_START_MS)

    def lose_all(self, server, cause):
        """Count the runs of a server that crashed, or can't be reached, as ended.

        :param server: the server, whose leases have expired if it may still run.
        :param cause: the :class:`LossEvidence` that its runs have ended, for the log.
        """
        runs = list(server.run_by_name.values())
        self._close_lost(server, runs, cause)
        self._record_losses(server, runs, is_former=server.awaits_listing)

    def _record_restart(self, server, source):
        context = self.context
        context.log(
            LogCode.SERVER_RESTARTED,
            server.id,
            source=source,
            started_ms=server.started_ms,
            former_started_ms=server.former_started_ms,
            n_runs=len(server.run_by_name),
        )
        if server.is_held:
            self._bar_late_starts(server)
        self.runs.server_speeds.forget_server(server)
        self.runs.adoption.clear_former(server)
        context.post(ServersChanged())

    def _close_lost(self, server, runs, cause):
        context = self.context
        lost_names = [run.name for run in runs]
        for run in runs:
            context.counters.n_runs_lost += 1
            context.log(
                LogCode.RUN_LOST,
                run.name,
                server=server.id,
                run=run.number,
                cause=cause,
                silent_ms=round(context.now_ms - server.last_response_ms),
                expired_ms=round(context.now_ms - server.lease_expiry_ms),
                lost_with=[name for name in lost_names if name != run.name],
            )
            self.runs.close_run(server, run)
            self.runs.requeue_task(run)

    def _record_losses(self, server, runs, is_former):
        """Record which tasks lost their server, and which are not started again.

        :param server: the server.
        :param runs: its lost runs.
        :param is_former: whether they were lost with its former incarnation.
        """
        is_draining = server.record.is_draining
        if is_former:
            is_draining = server.was_draining
        if not runs or is_draining:
            return
        # A server that leaves as planned reports that, and removes its entry.
        may_have_left = (
            server.unlisted_since_ms is not None
            or self.list_reader.compute_age_ms() > MAX_LIST_AGE_MS
        )
        self.crash_history.record(
            server, [run.name for run in runs], is_former, may_have_left
        )
        for run in runs:
            if self.crash_history.has_crashed_all(run.name):
                self._give_up_job(run.name)

    def _bar_late_starts(self, server):
        """Let the new incarnation refuse starts that the former one was told to."""
        for name, (number, until_ms) in server.barred_by_name.items():
            if until_ms >= self.context.now_ms:
                self.context.emit(
                    StopRun(
                        server=server.record,
                        token=server.token,
                        task=name,
                        run=number,
                    )
                )

    def _bar_again(self, server):
        """Repeat the stops that the former incarnation acknowledged.

        The start may still arrive, and the new incarnation would carry it out.
        """
        for run in server.run_by_name.values():
            if run.phase is RunPhase.STOPPING and run.stop_acked_ms is not None:
                run.stop_acked_ms = None
                self.runs.stop(server, run)

    def _give_up_job(self, task):
        job = self.jobs.by_id.get(task.partition(".")[0])
        if job is not None and not job.is_ended:
            self.jobs.give_up(job)
