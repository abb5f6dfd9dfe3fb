"""A core that owns servers, driven by hand as its process would."""

import random

from buckthornshift.dispatch import (
    Configuration,
    ConfigurationRead,
    DispatchCore,
    DispatchIdentity,
    RenewalAnswered,
    RenewLease,
    ServersRead,
    TimeAdvanced,
)

WALL_MS = 1.8e12
STEP_MS = 50.0
# Longer than an instance waits before it claims the servers.
CLAIM_MS = 700.0


class OwnerHarness:
    """A core that has claimed its servers; renewals that do not wait are answered.

    :param queues: declared queues.
    :param servers: listed servers.
    :param address: address of the instance.
    :param settings: the :class:`~buckthornshift.dispatch.DispatchSettings`.
    """

    def __init__(self, queues=(), servers=(), address="o:1", settings=None):
        self.now_ms = 0.0
        self.actions = []
        self.core = DispatchCore(
            identity=DispatchIdentity(address=address, incarnation=1),
            settings=settings,
            random_state=random.Random(1),
        )
        self.take(self.core.start(0.0, WALL_MS))
        configuration = Configuration(version=1, queues=tuple(queues))
        self.feed(ConfigurationRead(configuration=configuration))
        self.feed(ServersRead(servers=tuple(servers)))
        self.advance_time(CLAIM_MS)

    def take(self, actions):
        """Keep actions; answer renewals that do not wait."""
        for action in actions:
            self.actions.append(action)
            if isinstance(action, RenewLease) and not action.wait_ms:
                self.answer_renewal(action)

    def answer_renewal(self, action, running=(), ended=()):
        """Answer a renewal with what runs and what ended."""
        self.feed(
            RenewalAnswered(
                server_id=action.server.server_id,
                token=action.token,
                sent_ms=action.sent_ms,
                clock_ms=int(self.now_ms),
                running=running,
                ended=ended,
            )
        )

    def feed(self, event):
        """Hand over an event; then, if the core asks for it, that all was read."""
        self._handle(event)
        if self.core.find_next_due() <= self.now_ms:
            self._handle(TimeAdvanced())

    def advance_time(self, ms):
        """Let time pass in steps."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + STEP_MS)
            self.feed(TimeAdvanced())

    def pop(self, cls):
        """Return the actions of a class and forget them."""
        found = [a for a in self.actions if isinstance(a, cls)]
        self.actions = [a for a in self.actions if not isinstance(a, cls)]
        return found

    def _handle(self, event):
        self.take(self.core.handle(event, self.now_ms, WALL_MS + self.now_ms))
