"""Messages between instances that arrive out of order, and must not be handled.

What a process sends over one connection arrives in order. Once it has sent over a newer
connection, what a partition held up on an older one may contradict what it has done
meanwhile: it may have submitted the job to another owner. The same holds for messages
of a process that another one has replaced at its address.
"""

from ._actions import LogCode
from ._peer_messages import DropJob, Heartbeat, JobEnded, TasksCompleted

# Messages that name one attempt of a submission, a submission that has ended, or tasks
# that are done. They are true whenever they are read.
MESSAGES_VALID_LATE = (JobEnded, DropJob, TasksCompleted)


class MessageOrder:
    """Tell which messages of other instances are superseded.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    """

    def __init__(self, context=None, membership=None):
        self.context = context
        self.membership = membership

    def is_superseded(self, event):
        """Return whether a message must not be handled; log it if so.

        Heartbeats aren't logged, as there are ten in a second.

        :param event: the :class:`PeerMessageReceived`.
        """
        peer = self.membership.by_address.get(event.address)
        if peer is None:
            return False
        is_former_process = event.incarnation != peer.incarnation
        if is_former_process:
            is_superseded = _is_of_former_process(peer, event)
        else:
            is_valid_late = isinstance(event.message, MESSAGES_VALID_LATE)
            is_superseded = event.connection < peer.connection and not is_valid_late
        if is_superseded and not isinstance(event.message, Heartbeat):
            self.context.log(
                LogCode.MESSAGE_OUTDATED,
                event.address,
                message=type(event.message).__name__,
                connection=event.connection,
                newest_connection=peer.connection,
                is_former_process=is_former_process,
            )
        return is_superseded


def _is_of_former_process(peer, event):
    """Return whether a message is of a process that another one has replaced.

    A former process can't have received what was sent to its address since then. One
    that confirms such a heartbeat is running, and what replaced it was the former one.
    """
    replaced_ms = peer.replaced_ms_by_incarnation.get(event.incarnation)
    if replaced_ms is None:
        return False
    echo_ms = event.message.echo_ms if isinstance(event.message, Heartbeat) else -1.0
    return echo_ms <= replaced_ms
