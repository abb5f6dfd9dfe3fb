"""Jobs of the cells that this instance owns: submission, deduplication, outcome."""

import collections

import attrs

from ._actions import LogCode, SendToPeer
from ._admission import JobRefusal
from ._events import PeerConnected, PeerMessageReceived
from ._internal_messages import (
    AbandonmentDue,
    ClaimEnded,
    ContactBroken,
    HousekeepingDue,
    JobDeadline,
    PeerLost,
    RunReleased,
    ServersChanged,
    SubmissionEnded,
)
from ._jobs import Submission, build_job
from ._peer_messages import (
    DropJob,
    EndReason,
    Heartbeat,
    JobEnded,
    Outcome,
    SubmitJob,
)

# Time for an instance that lost contact to repeat its submissions, which takes a round
# trip after it has regained contact.
ABANDONMENT_DELAY_MS = 100.0


class OwnerJobs:
    """Accept submitted jobs, and report one outcome for each of them.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param admission: the :class:`AdmissionController`.
    :param duration_estimator: the :class:`DurationEstimator`.
    :param server_speeds: the :class:`ServerSpeeds`.
    """

    def __init__(
        self,
        context=None,
        fleet=None,
        membership=None,
        cells=None,
        admission=None,
        duration_estimator=None,
        server_speeds=None,
    ):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self.admission = admission
        self.duration_estimator = duration_estimator
        self.server_speeds = server_speeds
        self.runs = None
        self.completions = None
        self.by_id = {}
        self._outcome_by_submission = {}
        # Time of the end, submissions, id and tasks of each job that was completed.
        self._completed_jobs = collections.deque()
        self._redirect_by_id = {}
        self._deadline_timer_by_id = {}
        # What the last heartbeat of each instance named as ended.
        self._named_keys_by_process = {}

    def subscribe(self):
        """Return handlers by message class."""
        return {
            PeerMessageReceived: self.on_received,
            PeerLost: self.on_peer_lost,
            PeerConnected: self.on_peer_connected,
            ContactBroken: self.on_contact_broken,
            AbandonmentDue: self.on_abandonment,
            JobDeadline: self.on_deadline,
            ClaimEnded: self.on_claim_ended,
            RunReleased: self.on_run_released,
            HousekeepingDue: self.on_housekeeping,
        }

    def list_open(self, cell=None):
        """Return the jobs without an outcome, of one cell or of all cells."""
        return [
            job
            for job in self.by_id.values()
            if not job.is_ended and cell in (None, job.cell)
        ]

    def on_received(self, event):
        """Handle a submission, or the cancellation of one."""
        match event.message:
            case SubmitJob():
                submission = Submission(
                    address=event.address,
                    incarnation=event.incarnation,
                    key=event.message.key,
                    attempt=event.message.attempt,
                    deadline_ms=self.context.now_ms + event.message.left_ms,
                )
                self._submit(submission, event.message)
            case Heartbeat(ended_keys=keys):
                self._drop_named(event, set(keys))
            case DropJob(key=key):
                self._drop_ended(event, {key})

    def _drop_named(self, event, keys):
        """Drop the submissions that a heartbeat names, and the one before did not."""
        process = (event.address, event.incarnation)
        former_keys = self._named_keys_by_process.pop(process, set())
        if keys:
            self._named_keys_by_process[process] = keys
        if keys - former_keys:
            self._drop_ended(event, keys - former_keys)

    def _drop_ended(self, event, keys):
        """Drop submissions that have ended at the instance that sent them.

        :param event: the :class:`PeerMessageReceived` that names them.
        :param keys: numbers of the submissions.
        """
        is_theirs = _make_process_test((event.address, event.incarnation))

        def has_ended(submission):
            return submission.key in keys and is_theirs(submission)

        for job in self.by_id.values():
            if any(has_ended(submission) for submission in job.submissions):
                self.context.log(
                    LogCode.SUBMISSION_DROPPED,
                    job.job_id,
                    home=event.address,
                    n_left=sum(not has_ended(s) for s in job.submissions),
                )
        self._drop_submissions(has_ended)
        self._share_completed(has_ended)

    def on_peer_lost(self, message):
        """Drop the submissions of a lost instance, and end jobs that have none left."""
        process = (message.address, message.incarnation)
        self._named_keys_by_process.pop(process, None)
        is_theirs = _make_process_test(process)
        self._share_completed(is_theirs)
        n_dropped = self._drop_submissions(is_theirs)
        if n_dropped:
            self.context.log(LogCode.HOME_LOST, message.address, n_jobs=n_dropped)

    def on_peer_connected(self, event):
        """Repeat the outcomes that an instance may not have received.

        They may have been lost with the former connection, of which that instance
        knows nothing. What was sent before a heartbeat that it confirmed has arrived.
        """
        peer = self.membership.by_address.get(event.address)
        if peer is None:
            return
        process = (peer.address, peer.incarnation)
        confirmed_ms = peer.confirmed_sent_ms
        for submission, (sent_ms, _) in list(self._outcome_by_submission.items()):
            has_arrived = confirmed_ms is not None and sent_ms < confirmed_ms
            is_theirs = (submission.address, submission.incarnation) == process
            if is_theirs and not has_arrived:
                self._repeat_outcome(submission)

    def on_contact_broken(self, message):
        """Give an instance that lost contact some time to repeat its submissions.

        It submits those that it doesn't repeat to another owner.
        """
        is_theirs = _make_process_test((message.address, message.incarnation))
        self._share_completed(is_theirs)
        submissions = tuple(
            submission
            for job in self.list_open()
            for submission in job.submissions
            if is_theirs(submission)
        )
        if submissions:
            due = AbandonmentDue(submissions=submissions)
            self.context.start_timer(ABANDONMENT_DELAY_MS, due)

    def on_abandonment(self, message):
        """Drop submissions that were not repeated, and end jobs that have none left."""
        n_dropped = self._drop_submissions(message.submissions.__contains__)
        if n_dropped:
            address = message.submissions[0].address
            self.context.log(LogCode.HOME_LOST, address, n_jobs=n_dropped)

    def on_deadline(self, message):
        """Answer callers that soon stop waiting; end the job with the last of them."""
        job = self.by_id.get(message.job_id)
        if job is None or job.is_ended:
            return
        due_ms = self.context.now_ms + self.context.settings.answer_margin_ms + 1.0
        due = [s for s in job.submissions if s.deadline_ms <= due_ms]
        if len(due) == len(job.submissions):
            self.end_early(job, EndReason.DEADLINE)
            return
        # The job goes on for the other callers, so that it isn't "not run" for any.
        ended = JobEnded(
            outcome=Outcome.FAILED, reason=EndReason.DEADLINE, may_have_run=True
        )
        self._send_ended(due, ended)
        self._set_submissions(job, [s for s in job.submissions if s not in due])

    def on_claim_ended(self, message):
        """Return the jobs of a cell that have no runs; jobs with runs continue."""
        for job in self.list_open(message.cell):
            if not self.runs.count_open(job):
                self.return_job(job)

    def on_housekeeping(self, message):
        """Forget outcomes and redirects that no repeated submission still needs."""
        oldest_ms = self.context.now_ms - self.context.settings.ended_kept_ms
        for submission in list(self._outcome_by_submission):
            if self._outcome_by_submission[submission][0] > oldest_ms:
                break
            del self._outcome_by_submission[submission]
        while self._completed_jobs and self._completed_jobs[0][0] <= oldest_ms:
            self._completed_jobs.popleft()
        for job_id, (until_ms, _) in list(self._redirect_by_id.items()):
            if until_ms < self.context.now_ms:
                del self._redirect_by_id[job_id]

    def complete(self, job):
        """End a job as completed, once all its tasks are done."""
        self._end(job, JobEnded(outcome=Outcome.COMPLETED, may_have_run=True))

    def finish_known(self, job_id, names):
        """Finish tasks of a job whose completion was read elsewhere, if it is open.

        :param job_id: id of the job.
        :param names: names of the tasks.
        :returns: whether the job is open.
        """
        job = self.by_id.get(job_id)
        if job is None or job.is_ended:
            return False
        job.is_resent = job.is_resent or bool(names)
        if job.finish_known(names):
            self.complete(job)
        self.context.post(ServersChanged())
        return True

    def can_fail(self, job):
        """Return whether a job has no outcome yet, also if it is to be returned.

        :param job: the job.
        """
        is_unreported = self.by_id.get(job.job_id) is job
        return is_unreported and (job.is_returned or not job.is_ended)

    def find_current(self, task):
        """Return a task, or that of the job that has replaced its returned job.

        :param task: the task.
        """
        if not task.job.is_returned:
            return task
        job = self.by_id.get(task.job.job_id, task.job)
        return next((t for t in job.tasks if t.name == task.name), task)

    def fail(self, job, task):
        """End a job as failed, because runs of a task failed.

        This outcome is final, so it rests on ends that servers reported as failed, and
        never on conclusions about servers.

        :param job: the job.
        :param task: the task whose failed runs have used up the attempts.
        """
        self.context.counters.n_failed_by_runs += 1
        self.context.log(
            LogCode.JOB_FAILED_CAUSE,
            job.job_id,
            task=task.name,
            n_failures=task.n_failures,
            max_attempts=job.queue.max_attempts,
        )
        ended = JobEnded(
            outcome=Outcome.FAILED,
            reason=EndReason.ATTEMPTS_USED_UP,
            may_have_run=True,
        )
        job.is_ended = job.is_returned = False
        self._end(job, ended)

    def give_up(self, job):
        """End a job of which a task is not started again, and can't complete.

        The servers that crashed under it can't tell what it has done.

        :param job: the job.
        """
        self.context.counters.n_given_up += 1
        self._end(
            job,
            JobEnded(
                outcome=Outcome.FAILED,
                reason=EndReason.INFEASIBLE,
                may_have_run=True,
            ),
        )

    def end_early(self, job, reason, retry_after_ms=0.0):
        """End a job before it completes.

        Its outcome is "not run" only if no task can have begun, else "failed".

        :param job: the job.
        :param reason: the :class:`EndReason`.
        :param retry_after_ms: time after which a retry may succeed; 0 if unknown.
        """
        outcome = Outcome.FAILED if job.may_have_run else Outcome.NOT_RUN
        ended = JobEnded(
            outcome=outcome,
            reason=reason,
            may_have_run=job.may_have_run,
            retry_after_ms=retry_after_ms,
        )
        self._end(job, ended)

    def return_job(self, job):
        """Return a job to its senders, which submit it to another owner.

        Runs that this instance started are stopped first; the job is returned when
        the last of them is gone.
        """
        if self.by_id.get(job.job_id) is not job:
            # It was reported, or its senders wait for a later job with the same id.
            return
        if job.is_ended and not job.is_returned:
            return
        job.is_ended = job.is_returned = True
        if self.runs.count_open(job):
            self.runs.stop_job(job)
            return
        ended = JobEnded(
            outcome=Outcome.RETURNED,
            reason=EndReason.NOT_OWNER,
            may_have_run=job.may_have_run,
            finished_tasks=job.list_finished(),
        )
        self._report_end(job, ended)

    def hand_over(self, job, runs_left):
        """Return a job to its senders with what its next owner must know.

        Its runs go on, and the next owner adopts them.

        :param job: the job.
        :param runs_left: a :class:`RunLeft` of each run that may not have ended.
        """
        job.is_ended = job.is_returned = True
        ended = JobEnded(
            outcome=Outcome.RETURNED,
            reason=EndReason.HANDED_OVER,
            may_have_run=job.may_have_run,
            finished_tasks=job.list_finished(),
            runs_left=runs_left,
        )
        self._report_end(job, ended)

    def pass_on(self, job, cell):
        """Send a job that has not begun to another cell.

        :param job: the job.
        :param cell: number of the other cell.
        """
        job.is_ended = True
        del self.by_id[job.job_id]
        self.context.timers.cancel(self._deadline_timer_by_id.pop(job.job_id, None))
        submissions, job.submissions = job.submissions, []
        for submission in submissions:
            self._redirect(job, submission, cell)

    def on_run_released(self, message):
        """Return a job to its senders if the run that ended was its last here."""
        job = self.by_id.get(message.job_id)
        if job is None:
            return
        is_disowned = not self.cells.is_owner_of(job.cell) and not job.is_ended
        if (job.is_returned or is_disowned) and not self.runs.count_open(job):
            self.return_job(job)

    def preview_job(self, message):
        """Return the :class:`Job` that a submission would become; accept nothing.

        :param message: the :class:`SubmitJob`.
        """
        return self._build_job(message)

    def _share_completed(self, may_lack_outcome):
        """Share the completed jobs whose outcome a caller may not have received.

        :param may_lack_outcome: returns whether that holds for a submission.
        """
        for _, submissions, job_id, names in self._completed_jobs:
            if any(map(may_lack_outcome, submissions)):
                self.completions.record(job_id, names)

    def _submit(self, submission, message):
        if submission in self._outcome_by_submission:
            self._repeat_outcome(submission)
            return
        self.completions.learn(message.job.job_id, message.finished_tasks)
        if not self.membership.is_live(submission.address, submission.incarnation):
            # The submission waited here unread, or contact with its sender is being
            # lost. By the time the job started, the sender could have submitted it to
            # another owner.
            job_id = message.job.job_id
            self._return_submission(submission, EndReason.OUT_OF_CONTACT, job_id)
            return
        existing = self.by_id.get(message.job.job_id)
        if existing is not None and not existing.is_ended:
            is_new = submission not in existing.submissions
            others = [s for s in existing.submissions if not submission.has_same_key(s)]
            self._set_submissions(existing, [*others, submission])
            if message.queue.max_attempts > existing.queue.max_attempts:
                # The senders' configurations differ; each must find the outcome right.
                max_attempts = message.queue.max_attempts
                existing.queue = attrs.evolve(existing.queue, max_attempts=max_attempts)
            if message.is_resent and is_new:
                # A former owner of this submission may have started the job.
                existing.is_resent = True
                self.runs.adoption.adopt_runs_of(existing, message)
            self.finish_known(existing.job_id, message.finished_tasks)
            return
        is_same_division = message.n_cells == self.cells.n_cells
        if not is_same_division or not self.cells.is_owner_of(message.cell):
            job_id = message.job.job_id
            self._return_submission(submission, EndReason.NOT_OWNER, job_id)
            return
        job = self._build_job(message)
        job.set_submissions([submission])
        if existing is not None:
            # It is to be returned once its last run has ended.
            job.is_resent = True
            self.completions.record(existing.job_id, existing.list_finished())
            n_failures_by_name = {task.name: task.n_failures for task in existing.tasks}
            for task in job.tasks:
                task.n_failures = n_failures_by_name.get(task.name, 0)
        crash_history = self.runs.crash_history
        known_names = self.completions.list_known(job.job_id)
        if known_names:
            job.is_resent = True
        for name in sorted(known_names):
            crash_history.clear_task(name)
        if self._is_given_up(job, message.runs_left):
            self.give_up(job)
            return
        if any(crash_history.is_suspect(task.name) for task in job.tasks):
            job.is_resent = True
        if not message.is_passed_on and job.job_id in self._redirect_by_id:
            # An earlier submission of the job may be running in that cell.
            self._redirect(job, submission, self._redirect_by_id[job.job_id][1])
            return
        refusal = self.admission.check(job, self.list_open(job.cell))
        if refusal is None and not message.is_passed_on:
            other_cell = self._find_cell_with_servers(job)
            if other_cell is not None:
                self._redirect(job, submission, other_cell)
                return
        if refusal is None:
            self._accept(job, message)
            return
        other_cell = (
            None if message.is_passed_on else self._find_other_cell(job, refusal)
        )
        if other_cell is not None:
            self._redirect(job, submission, other_cell)
        elif refusal.may_be_late:
            self._accept(job, message)
        else:
            self._refuse(job, refusal)

    def _is_given_up(self, job, runs_left):
        """Return whether a task of a submitted job crashed its servers, and has no run.

        :param job: the job.
        :param runs_left: a :class:`RunLeft` of each run that a former owner left.
        """
        left_names = {left.task for left in runs_left}
        return any(
            self.runs.crash_history.has_crashed_all(task.name)
            and task.name not in left_names
            and not self.runs.is_open(task.name)
            for task in job.tasks
        )

    def _find_cell_with_servers(self, job):
        """Return another cell if no server for a job is left in its own, or ``None``.

        Those that were lost count as large enough for it until their entries expire.
        """
        if self.cells.n_cells == 1 or job.is_resent:
            return None
        need_cpu = max(1, max(step.need.cpu for step in job.spec.steps))
        service = job.queue.service
        if self.fleet.count_cell_slots(service, need_cpu, job.cell):
            return None
        return self._find_other_cell(job, JobRefusal())

    def _find_other_cell(self, job, refusal):
        """Return another cell that may accept a refused job, or ``None``."""
        steps = job.spec.steps
        service = job.queue.service
        is_infeasible = refusal.reason is EndReason.INFEASIBLE
        return self.cells.find_cell_with_capacity(
            job.cell,
            need_cpu=None if is_infeasible else max(s.need.cpu for s in steps),
            can_run=lambda cell: all(
                self.fleet.can_ever_run(service, step, cell) for step in steps
            ),
        )

    def _redirect(self, job, submission, cell):
        until_ms, _ = self._redirect_by_id.get(job.job_id, (0.0, cell))
        until_ms = max(until_ms, job.deadline_ms)
        self._redirect_by_id[job.job_id] = (until_ms, cell)
        self.context.log(
            LogCode.JOB_PASSED_ON, job.job_id, from_cell=job.cell, to_cell=cell
        )
        self._return_submission(submission, EndReason.CELL_FULL, job.job_id, cell)

    def _return_submission(self, submission, reason, job_id, cell=0):
        ended = JobEnded(
            key=submission.key,
            attempt=submission.attempt,
            outcome=Outcome.RETURNED,
            reason=reason,
            cell=cell,
            finished_tasks=tuple(sorted(self.completions.list_known(job_id))),
        )
        self._store_outcome(submission, ended)
        self._send(submission, ended)

    def _build_job(self, message):
        queue = message.queue
        need_cpu = max(1, max(step.need.cpu for step in message.job.steps))
        return build_job(
            message,
            self.context.now_ms,
            ratio=self.server_speeds.get_path_ratio(queue, need_cpu, message.cell),
            n_slots=self.fleet.count_slots(queue.service, need_cpu),
        )

    def _accept(self, job, message):
        context = self.context
        (submission,) = job.submissions
        returned = self.by_id.get(job.job_id)
        if returned is not None:
            # Its senders wait for this job instead.
            others = returned.submissions
            others = [s for s in others if not submission.has_same_key(s)]
            job.set_submissions([*others, submission])
            returned.submissions = []
        self.by_id[job.job_id] = job
        self._start_deadline_timer(job)
        context.log(
            LogCode.JOB_QUEUED,
            job.job_id,
            latest_start_in_ms=round(job.latest_start_ms - context.now_ms, 1),
            n_jobs=len(self.by_id),
            is_resent=job.is_resent,
            home=submission.address,
            attempt=submission.attempt,
        )
        if job.is_resent:
            self.runs.adoption.adopt_runs_of(job, message)
        context.post(ServersChanged())

    def _refuse(self, job, refusal):
        self.context.log(
            LogCode.JOB_REFUSED,
            job.job_id,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_ms=round(refusal.retry_after_ms),
        )
        ended = JobEnded(
            outcome=Outcome.FAILED if job.may_have_run else Outcome.NOT_RUN,
            reason=refusal.reason,
            may_have_run=job.may_have_run,
            retry_after_ms=refusal.retry_after_ms,
        )
        self._report_end(job, ended)

    def _end(self, job, ended):
        if job.is_ended:
            return
        job.is_ended = True
        is_late = self.context.now_ms > job.objective_deadline_ms
        if is_late or ended.outcome is not Outcome.COMPLETED:
            self.admission.job_order.record_loss(job)
        self.context.log(
            LogCode.JOB_ENDED,
            job.job_id,
            outcome=ended.outcome,
            reason=ended.reason,
            late_ms=round(self.context.now_ms - job.objective_deadline_ms, 1),
        )
        self.runs.stop_job(job)
        self._report_end(job, ended)

    def _report_end(self, job, ended):
        context = self.context
        if self.by_id.get(job.job_id) is job:
            del self.by_id[job.job_id]
            context.timers.cancel(self._deadline_timer_by_id.pop(job.job_id, None))
        names = job.list_finished()
        if ended.outcome is Outcome.COMPLETED:
            completed = (context.now_ms, job.submissions, job.job_id, names)
            self._completed_jobs.append(completed)
        else:
            self.completions.record(job.job_id, names)
        self._send_ended(job.submissions, ended)
        job.submissions = []

    def _set_submissions(self, job, submissions):
        job.set_submissions(submissions)
        if submissions and not job.is_ended:
            self._start_deadline_timer(job)

    def _start_deadline_timer(self, job):
        """Start the timer for the first of a job's callers that stops waiting."""
        context = self.context
        context.timers.cancel(self._deadline_timer_by_id.pop(job.job_id, None))
        deadline_ms = min(submission.deadline_ms for submission in job.submissions)
        margin_ms = context.settings.answer_margin_ms
        self._deadline_timer_by_id[job.job_id] = context.start_timer(
            max(0.0, deadline_ms - context.now_ms - margin_ms),
            JobDeadline(job_id=job.job_id),
        )

    def _send_ended(self, submissions, ended):
        for submission in submissions:
            submission_ended = attrs.evolve(
                ended, key=submission.key, attempt=submission.attempt
            )
            self._store_outcome(submission, submission_ended)
            self._send(submission, submission_ended)

    def _store_outcome(self, submission, ended):
        """Store the outcome of a submission, which its repetitions get as well.

        Otherwise the repetition of a returned submission would start the job.
        """
        self._outcome_by_submission[submission] = (self.context.now_ms, ended)

    def _repeat_outcome(self, submission):
        """Send an outcome again, and keep it from then on: it may be lost once more."""
        _, ended = self._outcome_by_submission.pop(submission)
        self._store_outcome(submission, ended)
        self._send(submission, ended)

    def _send(self, submission, ended):
        context = self.context
        if submission.address == context.identity.address:
            context.post(
                SubmissionEnded(
                    address=submission.address,
                    incarnation=submission.incarnation,
                    ended=ended,
                )
            )
            return
        context.emit(SendToPeer(address=submission.address, message=ended))

    def _drop_submissions(self, is_dropped):
        n_dropped = 0
        for job in list(self.by_id.values()):
            kept = [
                submission
                for submission in job.submissions
                if not is_dropped(submission)
            ]
            if len(kept) == len(job.submissions):
                continue
            n_dropped += 1
            self._set_submissions(job, kept)
            if not kept and not job.is_ended:
                self.end_early(job, EndReason.DEADLINE)
        return n_dropped


def _make_process_test(process):
    """Return a function that tells whether a process sent a submission.

    :param process: address and incarnation of an instance.
    """
    return lambda submission: (submission.address, submission.incarnation) == process
