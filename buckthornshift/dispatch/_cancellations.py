"""Cancellations of submissions, repeated until the owner has confirmed them.

A message is lost with its connection, and the owner that misses a cancellation keeps
the job. So besides the message, each heartbeat to the owner names the submissions that
have ended here, until the owner has confirmed a heartbeat that did. An owner that stays
in contact therefore learns of it, and one that loses contact drops all submissions.
"""

from ._actions import SendToPeer
from ._events import PeerMessageReceived
from ._internal_messages import PeerLost
from ._peer_messages import DropJob


class Cancellations:
    """Tell owners which submissions have ended at this instance.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    """

    def __init__(self, context=None, membership=None):
        self.context = context
        self.membership = membership
        # When the first heartbeat that names a submission was sent, or ``None``; by
        # address and incarnation of the owner, and by number of the submission.
        self._named_ms_by_process = {}
        membership.list_ended_keys = self.list_ended_keys

    def subscribe(self):
        """Return handlers by message class."""
        return {PeerLost: self.on_peer_lost}

    def cancel(self, owner, key):
        """Tell an owner that a submission has ended here.

        :param owner: address, term and incarnation of the owner.
        :param key: number of the submission.
        """
        context = self.context
        address, _, incarnation = owner
        message = DropJob(key=key)
        if address == context.identity.address:
            event = PeerMessageReceived(
                address=address,
                incarnation=context.identity.incarnation,
                message=message,
            )
            context.post(event)
            return
        context.emit(SendToPeer(address=address, message=message))
        if self.membership.is_live(address, incarnation):
            named_ms_by_key = self._named_ms_by_process.setdefault(
                (address, incarnation), {}
            )
            named_ms_by_key[key] = None

    def on_peer_lost(self, message):
        """Forget the cancellations for a lost owner.

        It has lost contact as well, or learns from the next heartbeat that this
        instance has, and drops the submissions that are not repeated.
        """
        process = (message.address, message.incarnation)
        self._named_ms_by_process.pop(process, None)

    def list_ended_keys(self, peer):
        """Return the submissions that a heartbeat sent now must name.

        :param peer: the :class:`Peer` that it is sent to.
        """
        process = (peer.address, peer.incarnation)
        named_ms_by_key = self._named_ms_by_process.get(process)
        if named_ms_by_key is None:
            return ()
        confirmed_ms = peer.confirmed_sent_ms
        for key, named_ms in list(named_ms_by_key.items()):
            if named_ms is None:
                named_ms_by_key[key] = self.context.now_ms
            elif confirmed_ms is not None and named_ms <= confirmed_ms:
                del named_ms_by_key[key]
        if not named_ms_by_key:
            del self._named_ms_by_process[process]
        return tuple(named_ms_by_key)
