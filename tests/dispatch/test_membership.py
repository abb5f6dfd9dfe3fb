"""When instances dial each other, and when one counts as lost."""

import random

from buckthornshift.dispatch import (
    DispatchCore,
    DispatchIdentity,
    Heartbeat,
    InstancesFound,
    LogCode,
    PeerMessageReceived,
    ReconnectPeer,
    TimeAdvanced,
)
from buckthornshift.proving.fleet import FleetPlan, FleetWorld

SETTLED_MS = 3_000.0
WATCHED_MS = 5_000.0
LONGEST_PAUSE_MS = 1_600.0


class CalmFleet:
    """Instances without load or trouble; what they dial and lose is counted."""

    def __init__(self, n_instances, event_ms=0.0):
        self.dials = []
        self.lost = []
        plan = FleetPlan(
            seed=1, n_instances=n_instances, n_servers=3, event_ms=event_ms
        )
        self.world = FleetWorld(plan=plan)
        self.dial = self.world.network.dial
        self.world.network.dial = self.note_dial
        self.world.on_log = self.note_log
        self.world.start()
        self.world.clock.run_until(SETTLED_MS)
        self.dials.clear()
        self.lost.clear()
        self.world.clock.run_until(SETTLED_MS + WATCHED_MS)

    def note_dial(self, instance, address):
        self.dials.append((instance.name, address))
        self.dial(instance, address)

    def note_log(self, instance, action):
        if getattr(action, "code", None) is LogCode.PEER_LOST:
            self.lost.append((instance.name, action.subject))


def test_instances_in_contact_dial_nobody_and_lose_nobody():
    """Idle pairs dialled each other anew once a second, 1,482 times at 40 instances."""
    fleet = CalmFleet(n_instances=8)
    assert fleet.dials == []
    assert fleet.lost == []


def test_instances_short_of_processor_time_do_not_dial_without_end():
    """Each pair dialled each other 16 times in 5 s, which kept all of them busy."""
    n_instances = 20
    fleet = CalmFleet(n_instances=n_instances, event_ms=6.0)
    n_most = WATCHED_MS / LONGEST_PAUSE_MS + 1
    assert len(fleet.dials) <= n_most * n_instances * (n_instances - 1)


def list_dials(ms, beats_at_ms=()):
    """Return when an instance dials a peer that it never reaches."""
    core = DispatchCore(
        identity=DispatchIdentity(address="a:1", incarnation=1),
        random_state=random.Random(1),
    )
    core.start(0.0, 1.8e12)
    actions = core.handle(InstancesFound(addresses=("b:1",)), 0.0, 1.8e12)
    dials = [0 for action in actions if isinstance(action, ReconnectPeer)]
    for now_ms in range(0, ms, 10):
        if now_ms in beats_at_ms:
            heartbeat = Heartbeat(sent_ms=float(now_ms))
            event = PeerMessageReceived(address="b:1", incarnation=2, message=heartbeat)
            core.handle(event, now_ms, 1.8e12)
        actions = core.handle(TimeAdvanced(), now_ms, 1.8e12)
        dials += [now_ms for action in actions if isinstance(action, ReconnectPeer)]
    return dials


def test_an_instance_that_never_answers_is_dialled_ever_less():
    """Many instances that start on few cores kept each other from answering."""
    dials = list_dials(5_000)
    gaps = [later - sooner for sooner, later in zip(dials, dials[1:], strict=False)]
    assert gaps == sorted(gaps)
    assert gaps[0] <= 300
    assert 1_600 <= gaps[-1] <= 1_800


def test_one_that_is_heard_is_dialled_soon_again():
    dials = list_dials(4_000, beats_at_ms=(3_000,))
    assert any(3_000 <= dial <= 3_300 for dial in dials)
