"""Requests get an answer, whatever was lost between the instances."""

from test_failed_without_cause import PEER, QUEUE, RECEIVER, Owner

from buckthornshift.dispatch import (
    EndKind,
    JobEnded,
    Outcome,
    PeerConnected,
    SendToPeer,
    StartRun,
    SubmitJob,
)


def end_run(owner, start, kind=EndKind.DONE):
    """Let a run end, and its server answer the renewal that waits for that."""
    owner.processes[start.server.server_id].end(start.task, kind)
    owner.answer_waiting_renewals()


def pop_outcomes(owner, address=RECEIVER):
    """Return the outcomes that were sent to an instance."""
    sent = [action for action in owner.pop(SendToPeer) if action.address == address]
    return [a.message for a in sent if isinstance(a.message, JobEnded)]


# Guards against a request that waits until its deadline, as the outcome was lost with
# the owner's connection, while that of the receiving instance has lasted.
def test_outcome_is_sent_again_over_a_new_connection_of_the_owner():
    owner = Owner()
    (start,) = owner.submit()
    end_run(owner, start)
    (lost,) = pop_outcomes(owner)
    owner.feed(PeerConnected(address=RECEIVER))
    assert pop_outcomes(owner) == [lost]


# Guards against repetitions without use: a heartbeat that was sent later has arrived.
def test_outcome_that_has_arrived_is_not_sent_again():
    owner = Owner()
    (start,) = owner.submit()
    end_run(owner, start)
    assert len(pop_outcomes(owner)) == 1
    owner.advance_time(200.0)
    owner.feed(PeerConnected(address=RECEIVER))
    assert pop_outcomes(owner) == []


class ReturningOwner(Owner):
    """An owner that returns a job once the runs on a server have ended.

    The other server of the job refuses its token, and the runs there are gone.
    """

    def __init__(self):
        super().__init__(n_servers=2)
        self.starts = self.submit(n_tasks=3)
        self.job = self.core.jobs.by_id[f"{1:016x}"]
        fenced_id, self.busy_id = sorted(self.records)
        self.done_task = self.starts[0].task
        end_run(self, self.starts.pop(0))
        self.cut_off_ids.add(self.busy_id)
        self.core.lease_manager.mark_fenced(self.server(fenced_id))
        self.processes[fenced_id].running.clear()

    def submit_from_peer(self):
        message = SubmitJob(key=7, job=self.job.spec, queue=QUEUE, left_ms=30_000.0)
        self.receive(message, PEER, 3)

    def end_all_runs(self):
        """End the runs of the returned job as stopped, later ones as done.

        :returns: the names of the tasks that were started, and the outcomes.
        """
        self.cut_off_ids.clear()
        for start in self.starts:
            self.processes[start.server.server_id].end(start.task, EndKind.STOPPED)
        names, outcomes = [], {RECEIVER: [], PEER: []}
        for _ in range(40):
            self.advance_time(50.0)
            for start in self.pop(StartRun):
                names.append(start.task)
                end_run(self, start)
            for action in self.pop(SendToPeer):
                if isinstance(action.message, JobEnded):
                    outcomes[action.address].append(action.message.outcome)
        return names, outcomes


# Guards against a request that waits until its deadline: its job was to be returned
# after its last run, and another instance has submitted it meanwhile.
def test_job_that_is_submitted_again_before_it_is_returned_answers_both_senders():
    owner = ReturningOwner()
    owner.submit_from_peer()
    _, outcomes = owner.end_all_runs()
    assert outcomes == {RECEIVER: [Outcome.COMPLETED], PEER: [Outcome.COMPLETED]}


# Guards against a task that runs twice: it was done before its job was to be returned.
def test_task_of_a_job_that_is_submitted_again_before_it_is_returned_runs_once():
    owner = ReturningOwner()
    owner.submit_from_peer()
    names, _ = owner.end_all_runs()
    assert names
    assert owner.done_task not in names


# Guards against a job that is refused as not run, though its runs are being stopped.
def test_job_that_is_submitted_again_before_it_is_returned_may_have_run():
    owner = ReturningOwner()
    owner.submit_from_peer()
    (job,) = owner.core.jobs.list_open()
    assert job.may_have_run
