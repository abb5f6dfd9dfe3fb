"""Which instance owns the backend servers.

No agreement is needed: a server takes orders only under the highest fencing token
that it has seen. Instances that disagree cost each other tokens, never a rule.
"""

from ._actions import LogCode
from ._events import StopRequested
from ._internal import (
    BeatDue,
    ClaimBegun,
    ClaimEnded,
    OwnerChanged,
    PauseNoticed,
    PeerLost,
)

# Terms begin at this time of day, so that they stay small enough for a token.
TERM_EPOCH_S = 1_735_689_600
TOKEN_RANDOM_BITS = 23
# Added to a term that a server refused although no higher claim is heard.
TERM_STEP = 16


def make_token(term, random_state):
    """Return a fencing token that no other instance makes.

    Two claims of the same term differ in their random bits, but for one pair in
    eight million. Tokens stay exact as JSON numbers (53 bits).

    :param term: term of the claim.
    :param random_state: a :class:`random.Random`.
    """
    return (term << TOKEN_RANDOM_BITS) | random_state.getrandbits(TOKEN_RANDOM_BITS)


class Election:
    """Follow the owner, claim the servers when there is none, yield to a higher one.

    :param context: the shared :class:`DispatchContext`.
    :param membership: the :class:`Membership`.
    """

    def __init__(self, context=None, membership=None):
        self.context = context
        self.membership = membership
        self.term = 0
        self.owner = None
        self.has_servers = lambda: False
        self.is_claim_complete = False
        self.list_held = lambda: ()
        self.count_owned = lambda: 0
        self._highest_term = 0
        self._ownerless_since_ms = None
        self._settled_ms = None
        membership.describe_claim = self.describe
        membership.is_owner = lambda: self.is_owner

    def subscribe(self):
        """Return handlers by message class."""
        return {
            BeatDue: self.on_tick,
            PeerLost: self.on_tick,
            PauseNoticed: self.on_pause,
            StopRequested: self.on_stop,
        }

    @property
    def is_owner(self):
        """Whether this instance owns the servers, as far as it knows."""
        return self.term > 0

    def describe(self):
        """Return the fields of a beat that tell of this instance's claim."""
        return {
            "claim_term": self.term,
            "n_owned": self.count_owned() if self.is_owner else 0,
            "is_claim_complete": self.is_claim_complete,
            "is_eligible": self._is_eligible(),
            "held_ids": () if self.is_owner else tuple(self.list_held()),
        }

    def on_tick(self, message):
        """Look at the claims that are heard."""
        self.review()

    def review(self):
        """Follow the highest claim; claim if there is none and it is our turn."""
        claims = self._list_claims()
        if self.is_owner and claims and claims[0][0] > self._own_claim():
            self._yield(claims[0][1])
        if self.is_owner:
            if claims and self._highest_term > self.term:
                # The smaller claim has the higher term: outbid it where it was.
                self._begin_claim()
            self._follow(
                self.context.identity.address, self.term, self.is_claim_complete
            )
            return
        if claims:
            self._ownerless_since_ms = None
            peer = claims[0][1]
            self._follow(
                peer.address, peer.beat.claim_term, peer.beat.is_claim_complete
            )
            return
        self._follow(None, 0, False)
        self._claim_if_due()

    def on_pause(self, message):
        """Give the claim up, and listen before claiming again.

        What came in the pause is handled next: orders under the old claim, or a
        higher one, would run beside those of whoever took over.
        """
        context = self.context
        context.log(
            LogCode.PAUSE_NOTICED,
            context.identity.address,
            late_ms=round(message.late_ms),
            term=self.term,
        )
        self._settled_ms = context.now_ms + context.settings.settle_ms
        if self.is_owner:
            self._end_claim()
            self._follow(None, 0, False)

    def on_stop(self, event):
        """Give the servers up before a stop."""
        if self.is_owner:
            self._end_claim()
        self.review()
        self.membership.beat_now()

    def raise_term(self):
        """Claim again with a higher term, after a server refused this one."""
        self._highest_term = max(self._highest_term, self.term) + TERM_STEP
        self.term = 0
        self._begin_claim()

    def note_server_lost(self):
        """Take note that a server refused the claim that it had accepted."""
        self.is_claim_complete = False

    def note_claim_complete(self):
        """Tell the others that every listed server has accepted the claim."""
        if not self.is_claim_complete:
            self.is_claim_complete = True
            self.membership.beat_now()
            self.review()

    def _is_eligible(self):
        context = self.context
        return (
            not context.is_stopping
            and context.configuration.version > 0
            and self.has_servers()
        )

    def _own_claim(self):
        return (self.count_owned(), self.term, self.context.identity.incarnation)

    def _own_rank(self):
        identity = self.context.identity
        return (identity.power, identity.born_ms, identity.incarnation)

    def _list_claims(self):
        claims = []
        for peer in self.membership.list_live():
            self._highest_term = max(self._highest_term, peer.beat.claim_term)
            beat = peer.beat
            if beat.claim_term:
                claim = (beat.n_owned, beat.claim_term, peer.incarnation)
                claims.append((claim, peer))
        return sorted(claims, key=lambda claim: claim[0], reverse=True)

    def _follow(self, address, term, is_complete):
        if self.owner == (address, term, is_complete):
            return
        former = self.owner
        self.owner = (address, term, is_complete)
        if former is None or former[:2] != (address, term):
            self.context.log(
                LogCode.OWNER_CHANGED, address or "none", term=term, former=former
            )
        self.context.post(OwnerChanged())

    def _claim_if_due(self):
        context = self.context
        settings = context.settings
        if self._ownerless_since_ms is None:
            self._ownerless_since_ms = context.now_ms
        if self._settled_ms is None:
            self._settled_ms = context.started_ms + settings.settle_ms
        is_settled = context.now_ms >= self._settled_ms
        waited_ms = context.now_ms - self._ownerless_since_ms
        if not is_settled or waited_ms < settings.election_wait_ms:
            return
        if self._is_eligible() and self._is_candidate():
            self._begin_claim()

    def _is_candidate(self):
        own = self._own_rank()
        return not any(
            self._may_claim(peer) and peer.rank > own
            for peer in self.membership.list_live()
        )

    def _may_claim(self, peer):
        """Return whether another instance could claim the servers now."""
        beat = peer.beat
        # One that has just begun still waits; after a loss of all, nobody would
        # claim before the last of them has settled.
        age_ms = self.context.wall_ms - beat.born_ms
        is_settled = age_ms >= self.context.settings.settle_ms
        return beat.is_eligible and not beat.is_leaving and is_settled

    def _begin_claim(self):
        context = self.context
        by_clock = int(context.wall_ms / 1000.0) - TERM_EPOCH_S
        self.term = max(self._highest_term + 1, by_clock, 1)
        self._highest_term = self.term
        self.is_claim_complete = False
        self._ownerless_since_ms = None
        context.counters.n_claims += 1
        context.log(
            LogCode.OWNER_CLAIMED,
            context.identity.address,
            term=self.term,
            n_live=len(self.membership.list_live()),
        )
        context.post(ClaimBegun(term=self.term))
        self._follow(context.identity.address, self.term, False)
        self.membership.beat_now()

    def _yield(self, peer):
        self.context.log(
            LogCode.OWNER_YIELDED,
            peer.address,
            term=self.term,
            higher_term=peer.beat.claim_term,
        )
        self._end_claim()

    def _end_claim(self):
        self.term = 0
        self.is_claim_complete = False
        self.context.post(ClaimEnded())
