"""Which servers of an owned cell are claimed, and when."""

from ._election import make_token
from ._server import Ownership


class ServerClaims:
    """Claim servers, unless another instance may hold them.

    A claim takes a server from any owner with a lower term. After a partition, servers
    can be reached before the instances on their side. So while instances are out of
    contact, a server that could not be reached is first asked without a token, and one
    that answers is claimed once they had time to be heard. The larger side thus keeps
    its servers.

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
        self.renew_lease = lambda server: None

    def claim(self, server):
        """Claim a server, or ask it without a token, if this instance may.

        An unlisted server is claimed as well, because tasks may still run on it.
        """
        election = self.cells.get(server.cell)
        if not election.is_owner:
            return
        if server.ownership is Ownership.YIELDING:
            # The runs of this instance's earlier claim continue under its token.
            server.ownership = Ownership.OWNED
            return
        if server.ownership is not Ownership.NONE or server.is_replaced:
            return
        if not self.fleet.is_in_use(server):
            return
        if self._is_held_elsewhere(server) or server.renewal_sent_ms is not None:
            return
        if self.membership.has_lost_instances():
            if not server.is_reachable:
                # Its token is 0 here, which no server accepts that has an owner.
                self.renew_lease(server)
                return
            if self.context.now_ms < server.claim_after_ms:
                return
        server.ownership = Ownership.CLAIMING
        server.token = make_token(election.term, self.context.random_state)
        self.renew_lease(server)

    def claim_unowned(self):
        """Claim every server of the owned cells that this instance may claim."""
        for cell in self.cells.list_owned():
            for server in self.fleet.list_servers(cell):
                if server.ownership is Ownership.NONE:
                    self.claim(server)

    def reclaim_fenced(self, server):
        """Claim a fenced server again, unless a live instance has a higher claim."""
        server.ownership = Ownership.NONE
        election = self.cells.get(server.cell)
        if not election.is_owner or self._has_higher_claim(election):
            return
        if server.refused_term >= election.term:
            election.raise_term()
        else:
            self.claim(server)

    def postpone_regained(self, server):
        """Let a server that can be reached again be claimed after a while."""
        server.claim_after_ms = self.context.now_ms + self.context.settings.regain_ms

    def postpone_fenced(self, server):
        """Set when a server that refuses the token is claimed again.

        A server that refuses a new claim remembers the term of a former owner, which
        may be above the time of day, or that of an instance that claims at the same
        time, which is heard soon. If it refuses again, or had accepted the claim, there
        is a rival out of contact.

        :param server: the server, which still has its ownership.
        :returns: the delay until then, in milliseconds.
        """
        election = self.cells.get(server.cell)
        settings = self.context.settings
        is_new_claim = server.ownership is Ownership.CLAIMING and not election.is_raised
        if server.ownership is Ownership.CLAIMING:
            election.record_refused_claim()
        if is_new_claim:
            delay_ms = settings.election_wait_ms + settings.beat_ms / 2
        elif self.membership.has_lost_instances():
            delay_ms = settings.regain_ms
        else:
            delay_ms = settings.lost_after_ms
        server.claim_after_ms = self.context.now_ms + delay_ms
        return delay_ms

    def _is_held_elsewhere(self, server):
        return any(
            server.id in peer.heartbeat.held_ids
            or self.cells.covers(peer.heartbeat, server)
            for peer in self.membership.list_live()
        )

    def _has_higher_claim(self, election):
        claims = self.cells.list_claims(election.cell)
        return any(claim.term > election.term for _, _, claim in claims)
