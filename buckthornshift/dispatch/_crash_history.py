"""Servers that were lost under running tasks, which reveal tasks that crash them."""

import enum
import math

import attrs

from ._actions import LogCode, SendToPeer
from ._events import PeerConnected, PeerMessageReceived
from ._internal_messages import HousekeepingDue
from ._peer_messages import ServerLoss, ServerLossRetracted

# Servers that crashed under a task after which it is not started again. Servers that
# failed together with others don't count.
MAX_CRASHES = 2
# The same for all its lost servers, which may only be cut off.
MAX_LOSSES = 3
# The same, also counting those that were lost together with others.
MAX_COMMON_LOSSES = 4
# Servers that stop responding within this time may have failed together: an idle
# renewal waits that long at a server.
COMMON_FAILURE_WINDOW_MS = 250.0
# Number and share of all servers that must fail together for a common cause.
MIN_COMMON_FAILURES = 4
MIN_COMMON_FAILURE_SHARE = 0.25
RETENTION_MS = 60_000.0
# Longest time that the report of a loss is under way, which makes the loss look later.
MAX_REPORT_DELAY_MS = 1_000.0


class LossEvidence(enum.StrEnum):
    """What shows that a server was lost."""

    LEASES_EXPIRED = "leases_expired"
    SERVER_REPLACED = "server_replaced"
    SERVER_RESTARTED = "server_restarted"
    PROCESS_ENDED = "process_ended"
    REPORTED = "reported"


class ForgetCause(enum.StrEnum):
    """Why a server's loss no longer counts for a task."""

    SERVER_RESPONDED = "server_responded"
    RETRACTED = "retracted"
    LOST_AGAIN = "lost_again"
    TASK_COMPLETED = "task_completed"
    OTHER_TASK_CRASHED_IT = "other_task_crashed_it"
    TOO_OLD = "too_old"


@attrs.define(kw_only=True)
class _TaskLoss:
    """What was observed of a server's loss for one task that ran there.

    Of the tasks that were lost with a process, some may have been lost in a cut before
    it crashed under the others.

    :param silent_since_ms: when the server last responded to the observer.
    :param is_crash: whether its process seems to have ended by itself under the task.
    :param is_common: whether other servers were lost at the same time.
    :param learnt_ms: when this instance noted the loss, or that it is a crash.
    :param evidence: what showed the loss.
    :param source: address of the instance that observed or reported it.
    """

    silent_since_ms: float = 0.0
    is_crash: bool = False
    is_common: bool = False
    learnt_ms: float = 0.0
    evidence: LossEvidence = LossEvidence.LEASES_EXPIRED
    source: str = ""

    def is_void(self, response_ms):
        """Return whether a response to a request of that time shows that it lived."""
        if self.is_crash and response_ms <= self.learnt_ms:
            # The process may have ended after this response.
            return False
        return response_ms >= self.silent_since_ms


@attrs.define(kw_only=True)
class _Loss:
    """Loss of a process of a server.

    :param silent_since_ms: when it last responded, if no task is left.
    :param by_task: the :class:`_TaskLoss` of each task that may have caused it.
    """

    server_id: str = ""
    started_ms: int = 0
    silent_since_ms: float = 0.0
    by_task: dict = attrs.field(factory=dict)

    @property
    def key(self):
        """Id and incarnation of the server; each incarnation counts."""
        return (self.server_id, self.started_ms)

    def list_silent_ms(self):
        """Return when it last responded to each of its observers."""
        silent_ms = {lost.silent_since_ms for lost in self.by_task.values()}
        return sorted(silent_ms) or [self.silent_since_ms]


class CrashHistory:
    """Tell which tasks are suspected of crashing servers, and which are given up.

    A suspicion only delays or ends the starts of a task, which is harmless if it is
    wrong. It is no proof of a failure: whatever an owner sees of a server that crashes
    may follow from a partition, a planned exit or a closed connection as well, and the
    task may be running, or done. So the outcome of a task that is given up is unknown.

    A loss is shared with the other instances, so that it counts for the next owner and
    for a resubmission of the job as well; so is its end, once the server responds.
    Servers that fail together have a common cause, such as their rack, and count less.

    A loss belongs to a process of a server, and what it looks like to a task that ran
    there. One that is reported without the start of the process may be the same as one
    with it, so it counts only for a server without such losses.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    """

    def __init__(self, context=None, fleet=None, membership=None, cells=None):
        self.context = context
        self.fleet = fleet
        self.membership = membership
        self.cells = cells
        self._loss_by_key = {}
        self._keys_by_task = {}
        self._given_up_tasks = set()
        self._response_ms_by_key = {}

    def subscribe(self):
        """Return handlers by message class."""
        return {
            PeerMessageReceived: self.on_received,
            PeerConnected: self.on_peer_connected,
            HousekeepingDue: self.on_housekeeping,
        }

    def on_received(self, event):
        """Add a loss that another instance observed."""
        match event.message:
            case ServerLoss() as message:
                self._learn(message, event.address)
            case ServerLossRetracted() as message:
                response_ms = self.context.now_ms - message.age_ms
                key = (message.server_id, message.started_ms)
                self._retract(key, response_ms, ForgetCause.RETRACTED)
                # Another instance may have missed it, and report the loss again.
                former_ms = self._response_ms_by_key.get(key, -math.inf)
                self._response_ms_by_key[key] = max(former_ms, response_ms)

    def on_peer_connected(self, event):
        """Send the losses to an instance that may have missed them, or their end."""
        for key, response_ms in self._response_ms_by_key.items():
            self._send_response(event.address, key, response_ms)
        if not self.cells.is_owner:
            return
        for loss in self._loss_by_key.values():
            self._send(event.address, loss)

    def on_housekeeping(self, message):
        """Forget old losses."""
        oldest_ms = self.context.now_ms - RETENTION_MS
        for key, response_ms in list(self._response_ms_by_key.items()):
            if response_ms < oldest_ms:
                del self._response_ms_by_key[key]
        for loss in list(self._loss_by_key.values()):
            self._forget_older(loss, oldest_ms, ForgetCause.TOO_OLD)

    def record(self, server, tasks, is_former=False, may_have_left=False):
        """Record that a server was lost, and share that with the other instances.

        :param server: the :class:`Server`.
        :param tasks: names of the tasks that ran on it.
        :param is_former: whether its former incarnation was lost.
        :param may_have_left: whether its process may have ended as planned.
        """
        key = (server.id, server.started_ms)
        silent_since_ms = server.last_response_ms
        evidence = LossEvidence.LEASES_EXPIRED
        has_ended = server.has_ended
        if is_former:
            key = (server.id, server.former_started_ms)
            silent_since_ms = server.former_silent_since_ms
            evidence = LossEvidence.SERVER_RESTARTED
            has_ended = server.former_has_closed
        elif server.is_replaced:
            evidence = LossEvidence.SERVER_REPLACED
        elif has_ended:
            evidence = LossEvidence.PROCESS_ENDED
        loss = self._add(
            key,
            tasks,
            silent_since_ms,
            evidence,
            source=self.context.identity.address,
            is_crash=has_ended and not may_have_left,
        )
        if len(loss.by_task) == 1:
            self._clear_other_suspects(*loss.by_task)
        self._share(loss)

    def retract_loss(self, server, sent_ms):
        """Retract the loss of a server's incarnation, as it responds.

        :param server: the :class:`Server`.
        :param sent_ms: when the request was sent that it responded to.
        """
        key = (server.id, server.started_ms)
        if not self._retract(key, sent_ms, ForgetCause.SERVER_RESPONDED):
            return
        self._response_ms_by_key[key] = sent_ms
        if self.cells.is_owner:
            for address in self._list_addressees():
                self._send_response(address, key, sent_ms)

    def clear_task(self, task):
        """Clear a task of all suspicion, because it has completed."""
        for key in tuple(self._keys_by_task.get(task, ())):
            loss = self._loss_by_key[key]
            self._log_forgotten(loss, [task], ForgetCause.TASK_COMPLETED)
            self._remove(task, key)

    def is_suspect(self, task):
        """Return whether a task may have crashed a server."""
        if task not in self._keys_by_task:
            return False
        return self._count_losses(task) > 0 or self.is_given_up(task)

    def is_given_up(self, task):
        """Return whether a task must not be started again.

        Later failures of other servers don't change that: they would make the same
        losses look like a common one.
        """
        if len(self._keys_by_task.get(task, ())) < MAX_CRASHES:
            return False
        if task in self._given_up_tasks:
            return True
        if (
            len(self._list_losses_by_process(task)) >= MAX_COMMON_LOSSES
            or self._count_losses(task) >= MAX_LOSSES
            or self._count_losses(task, is_crash=True) >= MAX_CRASHES
        ):
            self._given_up_tasks.add(task)
            self.context.log(
                LogCode.TASK_GIVEN_UP, task, losses=self.describe_losses(task)
            )
        return task in self._given_up_tasks

    def has_crashed_all(self, task):
        """Return whether a task is given up, and no server it lost may still run it."""
        return self.is_given_up(task) and all(
            self._find(task, key).is_crash for key in self._keys_by_task[task]
        )

    def list_lost_servers(self, task):
        """Return the ids of the servers that were lost under a task."""
        return sorted(server_id for server_id, _ in self._keys_by_task.get(task, ()))

    def describe_losses(self, task):
        """Return the losses that count for a task, as fields of a log line."""
        losses = [
            (self._find(task, key), key) for key in self._keys_by_task.get(task, ())
        ]
        return [
            {
                "server": server_id,
                "started_ms": started_ms,
                "age_ms": round(self.context.now_ms - lost.silent_since_ms),
                "evidence": lost.evidence,
                "source": lost.source,
                "is_crash": lost.is_crash,
            }
            for lost, (server_id, started_ms) in sorted(
                losses, key=lambda x: (x[0].silent_since_ms, x[1])
            )
        ]

    def _find(self, task, key):
        return self._loss_by_key[key].by_task[task]

    def _has_responded_since(self, key, time_ms):
        """Return whether only the instance that reports a loss can't reach a server."""
        if self._response_ms_by_key.get(key, -math.inf) > time_ms:
            return True
        server = self.fleet.by_id.get(key[0])
        return server is not None and server.newest_contact_sent_ms > time_ms

    def _learn(self, message, address):
        """Add a loss that another instance reports."""
        key = (message.server_id, message.started_ms)
        silent_since_ms = self.context.now_ms - message.age_ms
        server = self.fleet.by_id.get(message.server_id)
        # Whether the server responds now says nothing of a former incarnation.
        is_former = server is not None and server.is_former(message.started_ms)
        if not is_former and self._has_responded_since(key, silent_since_ms):
            return
        loss = self._loss_by_key.get(key)
        latest_ms = -math.inf if loss is None else loss.list_silent_ms()[-1]
        if latest_ms - silent_since_ms > MAX_REPORT_DELAY_MS:
            # The process has responded to another observer since.
            return
        self._add(
            key,
            message.tasks,
            silent_since_ms,
            LossEvidence.REPORTED,
            source=address,
            is_crash=message.is_crash,
        )

    def _retract(self, key, response_ms, cause):
        """Forget the loss of a server that has responded since; return whether it did.

        :param key: key of the loss.
        :param response_ms: when the request was sent that the server responded to.
        :param cause: the :class:`ForgetCause`.
        """
        is_retracted = False
        for loss in self._list_same_losses(key):
            tasks = [t for t, lost in loss.by_task.items() if lost.is_void(response_ms)]
            has_none = not loss.by_task and response_ms >= loss.silent_since_ms
            if tasks or has_none:
                self._forget(loss.key, cause, tasks)
                is_retracted |= loss.key == key
        return is_retracted

    def _list_same_losses(self, key):
        """Return the loss of a process, and one without a start that it had as well.

        Its process had started by then, so a response after both is of the same one.
        """
        server_id, _ = key
        loss = self._loss_by_key.get(key)
        if loss is None:
            return []
        unknown = self._loss_by_key.get((server_id, 0))
        if unknown in (None, loss):
            return [loss]
        earliest_ms = loss.list_silent_ms()[0] - MAX_REPORT_DELAY_MS
        is_same = unknown.list_silent_ms()[0] >= earliest_ms
        return [loss, unknown] if is_same else [loss]

    def _forget(self, key, cause=ForgetCause.SERVER_RESPONDED, tasks=None):
        """Forget the loss of a process for some tasks, or for all of them."""
        loss = self._loss_by_key[key]
        tasks = list(loss.by_task if tasks is None else tasks)
        if tasks or not loss.by_task:
            self._log_forgotten(loss, tasks, cause)
        for task in tasks:
            self._remove(task, key)
        if not loss.by_task:
            del self._loss_by_key[key]

    def _forget_older(self, loss, oldest_ms, cause):
        """Forget a loss for the tasks whose server was heard last before a time."""
        tasks = [
            task
            for task, lost in loss.by_task.items()
            if lost.silent_since_ms < oldest_ms
        ]
        if tasks or loss.list_silent_ms()[-1] < oldest_ms:
            self._forget(loss.key, cause, tasks)

    def _add(self, key, tasks, silent_since_ms, evidence, source, is_crash=False):
        server_id, started_ms = key
        former = self._loss_by_key.get(key)
        if former:
            # The process has responded between the two losses.
            oldest_ms = silent_since_ms - MAX_REPORT_DELAY_MS
            self._forget_older(former, oldest_ms, ForgetCause.LOST_AGAIN)
        new_loss = _Loss(
            server_id=server_id, started_ms=started_ms, silent_since_ms=silent_since_ms
        )
        loss = self._loss_by_key.setdefault(key, new_loss)
        changed = []
        for task in tasks:
            former = loss.by_task.get(task)
            lost = former or _TaskLoss(
                silent_since_ms=silent_since_ms,
                learnt_ms=self.context.now_ms,
                evidence=evidence,
                source=source,
            )
            loss.by_task[task] = lost
            self._keys_by_task.setdefault(task, set()).add(key)
            is_new_crash = is_crash and not lost.is_crash
            if is_new_crash:
                lost.is_crash = True
                lost.learnt_ms = self.context.now_ms
            # A report says less than what this instance knows already.
            is_observed = evidence is not LossEvidence.REPORTED
            is_new_evidence = is_observed and lost.evidence is not evidence
            if is_observed:
                lost.evidence, lost.source = evidence, source
            if former is None or is_new_crash or is_new_evidence:
                changed.append(task)
            self._update_common_failure(lost)
        if changed:
            lost = loss.by_task[changed[0]]
            self._log(
                LogCode.LOSS_RECORDED,
                loss,
                tasks,
                evidence=lost.evidence,
                source=lost.source,
                is_crash=lost.is_crash,
            )
        return loss

    def _remove(self, task, key):
        self._loss_by_key[key].by_task.pop(task, None)
        self._given_up_tasks.discard(task)
        keys = self._keys_by_task.get(task, set())
        keys.discard(key)
        if not keys:
            self._keys_by_task.pop(task, None)

    def _clear_other_suspects(self, task):
        """Clear the tasks that were lost beside one that has crashed a server alone."""
        n_crashes = self._count_losses(task, is_crash=True)
        if not self.is_given_up(task) or n_crashes < MAX_CRASHES:
            return
        for key in self._keys_by_task[task]:
            loss = self._loss_by_key[key]
            others = set(loss.by_task) - {task}
            if others:
                self._forget(key, ForgetCause.OTHER_TASK_CRASHED_IT, others)

    def _count_losses(self, task, is_crash=False):
        """Return how many servers were lost under a task without a common cause.

        :param task: name of the task.
        :param is_crash: whether to count only servers whose process ended.
        """
        return sum(
            any(
                (lost.is_crash or not is_crash) and not self._is_common_failure(lost)
                for lost in losses
            )
            for losses in self._list_losses_by_process(task)
        )

    def _list_losses_by_process(self, task):
        """Return a list of :class:`_TaskLoss` for each process that was surely lost.

        A loss without the start of its process is added to the newest of its server.
        """
        losses_by_id = {}
        for key in sorted(self._keys_by_task.get(task, ()), reverse=True):
            server_id, started_ms = key
            groups = losses_by_id.setdefault(server_id, [])
            if groups and not started_ms:
                groups[0].append(self._find(task, key))
            else:
                groups.append([self._find(task, key)])
        return [losses for groups in losses_by_id.values() for losses in groups]

    def _is_common_failure(self, lost):
        """Return whether other servers were lost at the same time.

        It stays so when they respond again.
        """
        if not lost.is_common:
            self._update_common_failure(lost)
        return lost.is_common

    def _update_common_failure(self, lost):
        silent_ms_by_key = {
            (server.id, server.started_ms): [server.last_response_ms]
            for server in self.fleet.by_id.values()
            if not server.is_reachable
        }
        for other in self._loss_by_key.values():
            silent_ms_by_key[other.key] = other.list_silent_ms()
        ids_together = {
            server_id
            for (server_id, _), silent_ms in silent_ms_by_key.items()
            for time_ms in silent_ms
            if abs(time_ms - lost.silent_since_ms) <= COMMON_FAILURE_WINDOW_MS
        }
        min_share = MIN_COMMON_FAILURE_SHARE * len(self.fleet.by_id)
        lost.is_common |= len(ids_together) >= max(MIN_COMMON_FAILURES, min_share)

    def _send(self, address, loss):
        """Send a loss, in a message for each group of tasks that were lost alike."""
        tasks_by_observation = {}
        for task, lost in loss.by_task.items():
            observation = (lost.silent_since_ms, lost.is_crash)
            tasks_by_observation.setdefault(observation, []).append(task)
        if not loss.by_task:
            # It still tells which servers were lost at the same time.
            tasks_by_observation[loss.silent_since_ms, False] = []
        for observation, tasks in sorted(tasks_by_observation.items()):
            silent_since_ms, is_crash = observation
            message = ServerLoss(
                server_id=loss.server_id,
                tasks=tuple(sorted(tasks)),
                age_ms=self.context.now_ms - silent_since_ms,
                started_ms=loss.started_ms,
                is_crash=is_crash,
            )
            self.context.emit(SendToPeer(address=address, message=message))

    def _send_response(self, address, key, response_ms):
        server_id, started_ms = key
        message = ServerLossRetracted(
            server_id=server_id,
            started_ms=started_ms,
            age_ms=self.context.now_ms - response_ms,
        )
        self.context.emit(SendToPeer(address=address, message=message))

    def _log(self, code, loss, tasks, **fields):
        silent_since_ms = loss.list_silent_ms()[0]
        self.context.log(
            code,
            loss.server_id,
            started_ms=loss.started_ms,
            tasks=sorted(tasks),
            silent_ms=round(self.context.now_ms - silent_since_ms),
            **fields,
        )

    def _log_forgotten(self, loss, tasks, cause):
        self._log(LogCode.LOSS_FORGOTTEN, loss, tasks, cause=cause)

    def _share(self, loss):
        for address in self._list_addressees():
            self._send(address, loss)

    def _list_addressees(self):
        return [
            peer.address
            for peer in self.membership.list_live()
            if self.membership.is_hub(peer.address)
        ]
