"""Whether a claim of a cell covers every server on which tasks may run."""

from ._election import get_term
from ._server import Ownership


class ClaimCoverage:
    """Tell which term the claim of a cell has on all of its servers.

    A claim is complete once each server of the cell has accepted its token. The owner
    then knows every run there, so that jobs of former owners may be resubmitted to it.

    :param context: the shared :class:`DispatchContext`.
    :param fleet: the :class:`Fleet`.
    :param cells: the :class:`Cells`.
    :param list_follower: the :class:`ListFollower`.
    """

    def __init__(self, context=None, fleet=None, cells=None, list_follower=None):
        self.context = context
        self.fleet = fleet
        self.cells = cells
        self.list_follower = list_follower

    def update_if_incomplete(self, cell):
        """Update the claim of a cell unless it is known to be complete.

        A complete claim is checked again with housekeeping only, because each check
        visits every server of the cell.

        :param cell: number of the cell.
        """
        if not self.cells.get(cell).complete_term:
            self.update(cell)

    def update(self, cell):
        """Update the complete term of a cell that this instance owns.

        :param cell: number of the cell.
        """
        election = self.cells.get(cell)
        if election.is_owner:
            election.set_complete_term(self._compute_complete_term(cell, election))

    def _compute_complete_term(self, cell, election):
        age_ms = self.context.now_ms - election.claimed_ms
        all_lapsed_ms = self.context.settings.resubmit_after_ms
        if self.list_follower.may_be_stale and age_ms < all_lapsed_ms:
            # Tasks may run on a server that is missing from the list.
            return 0
        servers = [s for s in self.fleet.list_servers(cell) if self._may_run_tasks(s)]
        if not all(
            s.ownership is Ownership.OWNED and not s.awaits_listing for s in servers
        ):
            return 0
        return min((get_term(s.token) for s in servers), default=0)

    def _may_run_tasks(self, server):
        is_in_use = self.fleet.is_in_use(server) or server.is_held
        return is_in_use and not server.is_replaced
