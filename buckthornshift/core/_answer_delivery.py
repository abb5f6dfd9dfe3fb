"""Delivery of answers: a job gets one, which goes to every waiter and is kept."""

import msgspec

from ..contracts import JobAnswered, JobStatus
from ._actions import AnswerCaller, EventCode, SendPeer
from ._jobs import CallerWaiter, JobPhase, PeerWaiter
from ._log_processor import make_claim
from ._messages import AnswerReady, JobClosed, JobFinished


class AnswerDelivery:
    """Send answers to waiters, and record and keep the answers of jobs.

    :param context: the shared :class:`Context`.
    """

    def __init__(self, context=None):
        self.context = context

    def subscribe(self):
        """Return handlers by message class."""
        return {
            JobFinished: self.on_job_finished,
            AnswerReady: self.on_answer_ready,
        }

    def on_job_finished(self, message):
        """Set a job's answer and deliver it; a later answer to the job is ignored."""
        context = self.context
        job = message.job
        if job.answer is not None:
            return
        answer = message.answer
        context.monitor.check_job_answer(job, answer)
        was_queued = job.phase is JobPhase.RUNNING
        context.post(JobClosed(job=job, was_queued=was_queued))
        job.answer = answer
        job.phase = JobPhase.ANSWERED
        context.timers.cancel(job.deadline_timer)
        context.log(EventCode.JOB_ANSWERED, job.job_id, answer.status)
        encoded = msgspec.msgpack.encode(answer)
        self._record_outcome(job, encoded)
        context.jobs.keep_answer(job, len(encoded), context.now_ms)
        for waiter in job.waiters:
            self._send(waiter, answer)
        job.waiters = []

    def on_answer_ready(self, message):
        """Send an answer to one waiter that is attached to no job here."""
        self._send(message.waiter, message.answer)

    def _record_outcome(self, job, encoded):
        context = self.context
        context.writer.remove_claim(job.job_id)
        if job.is_outage_run:
            context.writer.add_claim(make_claim(context, job))
        is_recordable = len(encoded) <= context.settings.max_outcome_bytes
        body = encoded if is_recordable else b""
        context.writer.add_outcome(job.job_id, job.term, body)

    def _send(self, waiter, answer):
        context = self.context
        self._count_answer(answer)
        match waiter:
            case CallerWaiter(caller_ref=caller_ref):
                context.monitor.check_answer_sent(caller_ref, answer.job_id, answer)
                context.emit(AnswerCaller(caller_ref=caller_ref, answer=answer))
            case PeerWaiter(peer_id=peer_id, request_id=request_id):
                peer = context.peers.by_id.get(peer_id)
                if peer is not None:
                    message = JobAnswered(request_id=request_id, answer=answer)
                    context.emit(SendPeer(peer=peer.record, message=message))

    def _count_answer(self, answer):
        counters = self.context.counters
        match answer.status:
            case JobStatus.COMPLETE:
                counters.n_complete += 1
            case JobStatus.FAILED:
                counters.n_failed += 1
            case JobStatus.NOT_RUN:
                counters.n_refused += 1
