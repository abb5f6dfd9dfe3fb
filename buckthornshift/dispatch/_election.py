"""Election of the instance that owns a cell of the backend servers.

The election needs no consensus, because a server accepts commands only with the
highest fencing token that it has seen. Two instances that both claim a cell make each
other raise their tokens, but break no guarantee.
"""

from ._actions import LogCode
from ._internal_messages import ClaimEnded, ClaimStarted, OwnerChanged

# Terms count since 2025-01-01 UTC; 36 bits of them last for 34 years.
TERM_EPOCH_MS = 1_735_689_600_000
TERMS_PER_S = 64
TOKEN_RANDOM_BITS = 17
# Added to the term when a server refused it although no higher claim is known: less
# than the time until the next claim, so that terms don't run ahead of the clock.
REFUSED_TERM_INCREMENT = TERMS_PER_S // 8
# Factor on it for each claim in a row that a server refuses at once, which remembers a
# term of an instance whose clock was ahead; and the largest increment, an hour.
REFUSED_TERM_FACTOR = 16
MAX_TERM_INCREMENT = 3_600 * TERMS_PER_S


def make_token(term, random_state):
    """Return a fencing token that is practically unique to this claim.

    Two claims of the same term get equal random bits once in 131,000 times. Tokens stay
    exact as JSON numbers (53 bits).

    :param term: term of the claim.
    :param random_state: a :class:`random.Random`.
    """
    return (term << TOKEN_RANDOM_BITS) | random_state.getrandbits(TOKEN_RANDOM_BITS)


def get_term(token):
    """Return the term of the claim that a fencing token belongs to."""
    return token >> TOKEN_RANDOM_BITS


def compute_upper_median(values):
    """Return the middle one of some values; of two middle ones the larger."""
    return sorted(values)[len(values) // 2]


class Election:
    """Track the owner of a cell; claim it if it has none, yield to a higher claim.

    Claims are ordered by number of owned servers, then term, then incarnation.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    :param cells: the :class:`Cells`.
    :param cell: number of the cell.
    """

    def __init__(self, context=None, membership=None, cells=None, cell=0):
        self.context = context
        self.membership = membership
        self.cells = cells
        self.cell = cell
        self.term = 0
        self.owner = None
        self.complete_term = 0
        self.claimed_ms = 0.0
        self.is_raised = False
        self.has_yielded = False
        self._highest_term = 0
        self._n_refused_raises = 0
        self._last_refused_term = 0
        self._ownerless_since_ms = None

    @property
    def is_owner(self):
        """Whether this instance owns the cell, as far as it knows."""
        return self.term > 0

    @property
    def is_ownerless(self):
        """Whether no instance is known to own the cell."""
        return not self.is_owner and (self.owner is None or self.owner[0] is None)

    def compute_ownerless_ms(self):
        """Return for how long the cell has had no known owner; 0 if it has one."""
        if self._ownerless_since_ms is None:
            return 0.0
        return self.context.now_ms - self._ownerless_since_ms

    def update_ownership(self):
        """Accept the highest claim; if there is none, claim the cell when due."""
        claims = self._list_claims()
        if self.is_owner and claims and claims[0][0] > self._own_claim_key():
            self._yield_to_higher(claims[0][1], claims[0][2])
        if self.is_owner:
            if claims and self._highest_term > self.term:
                # A claim with fewer servers has a higher term. Its servers refuse
                # the lower one, so claim again with a term above it.
                self._begin_claim()
            self._set_owner(
                self.context.identity.address, self.term, self.complete_term
            )
            return
        if claims:
            self._ownerless_since_ms = None
            _, peer, claim = claims[0]
            self._set_owner(peer.address, claim.term, claim.complete_term)
            return
        self.has_yielded = False
        self._set_owner(None, 0, 0)
        self._claim_if_due()

    def release_claim(self):
        """End the claim; others may claim the servers as they are released."""
        self._end_claim()
        self._set_owner(None, 0, 0)

    def raise_term(self):
        """Claim again with a higher term, after a server refused the current one."""
        increment = min(
            REFUSED_TERM_INCREMENT * REFUSED_TERM_FACTOR**self._n_refused_raises,
            MAX_TERM_INCREMENT,
        )
        self._highest_term = max(self._highest_term, self.term) + increment
        self.term = 0
        self._begin_claim()
        self.is_raised = True

    def record_refused_claim(self):
        """Record that a server refused this claim at once, also if it was raised."""
        if self.is_raised and self._last_refused_term != self.term:
            self._last_refused_term = self.term
            self._n_refused_raises += 1

    def set_complete_term(self, term):
        """Record which tokens are in force; announce that a claim is complete.

        A rival with a term below it has lost every server of the cell, so its runs are
        known to this instance.

        :param term: lowest term of the tokens that the servers of the cell have
            accepted; 0 unless each of them has accepted one.
        """
        becomes_complete = term > 0 and self.complete_term == 0
        self.complete_term = term
        if becomes_complete:
            self._n_refused_raises = 0
            self.membership.broadcast_heartbeat()
            self.update_ownership()

    def _own_claim_key(self):
        n_owned = self.cells.fleet.count_owned(self.cell)
        return (n_owned, self.term, self.context.identity.incarnation)

    def _list_claims(self):
        claims = self.cells.list_claims(self.cell)
        for _, _, claim in claims:
            self._highest_term = max(self._highest_term, claim.term)
        return sorted(claims, key=lambda claim: claim[0], reverse=True)

    def _set_owner(self, address, term, complete_term):
        if self.owner == (address, term, complete_term):
            return
        previous = self.owner
        self.owner = (address, term, complete_term)
        if previous is None or previous[:2] != (address, term):
            self.context.log(
                LogCode.OWNER_CHANGED,
                address or "none",
                cell=self.cell,
                term=term,
                former=previous,
            )
        self.context.post(OwnerChanged())

    def _claim_if_due(self):
        context = self.context
        if self._ownerless_since_ms is None:
            self._ownerless_since_ms = context.now_ms
        is_settled = self.cells.is_settled()
        waited_ms = self.compute_ownerless_ms()
        if not is_settled or waited_ms < context.settings.election_wait_ms:
            return
        if self.cells.has_unheard_owner(self.cell):
            return
        if self.cells.is_eligible() and self.cells.is_next_claimant(self.cell):
            self._begin_claim()

    def _begin_claim(self):
        context = self.context
        self.term = max(self._highest_term + 1, self._compute_clock_term(), 1)
        self._highest_term = self.term
        self.claimed_ms = context.now_ms
        self.is_raised = self.has_yielded = False
        self.complete_term = 0
        self._ownerless_since_ms = None
        context.counters.n_claims += 1
        context.log(
            LogCode.OWNER_CLAIMED,
            context.identity.address,
            cell=self.cell,
            term=self.term,
            n_live=len(self.membership.list_live()),
        )
        context.post(ClaimStarted(cell=self.cell))
        self._set_owner(context.identity.address, self.term, 0)
        self.membership.broadcast_heartbeat()

    def _compute_clock_term(self):
        """Return the term of the current time of day.

        It is the time of day at the start of the process and the time since then, so
        that later jumps of the clock have no effect. One that was wrong at the start is
        outvoted by those of other instances that have just started.
        """
        context = self.context
        now_ms = context.now_ms
        wall_ms = [context.started_wall_ms + now_ms - context.started_ms]
        for peer in self.membership.list_live():
            uptime_ms = peer.get_uptime_ms(now_ms)
            if peer.heartbeat.born_ms and uptime_ms < float("inf"):
                wall_ms.append(peer.heartbeat.born_ms + uptime_ms)
        time_ms = compute_upper_median(wall_ms) - TERM_EPOCH_MS
        return int(time_ms * TERMS_PER_S / 1_000.0)

    def _yield_to_higher(self, peer, claim):
        self.context.log(
            LogCode.OWNER_YIELDED,
            peer.address,
            cell=self.cell,
            term=self.term,
            higher_term=claim.term,
        )
        self._end_claim()
        self.has_yielded = True

    def _end_claim(self):
        self.term = 0
        self.complete_term = 0
        self.context.post(ClaimEnded(cell=self.cell))
