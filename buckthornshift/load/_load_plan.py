"""Parameters of a load, the same in real time and in virtual time."""

import attrs

from ..core import CoreSettings
from ..proving import Fault, RunPlan
from ._local_system import SystemShape
from ._profiles import PROFILES_BY_NAME, Profile, draw_arrivals


@attrs.frozen(kw_only=True)
class LoadPlan:
    """Parameters of one load on one system.

    :param name: name of the run.
    :param shape: size of the system.
    :param seed: seed of all random choices.
    :param faults: faults to inject; their times count from the start of the load.
    :param profile: mix of jobs that callers submit.
    :param load: offered work as a fraction of the capacity of all slots.
    :param length_ms: length of the load, in milliseconds.
    :param core_settings: :class:`~buckthornshift.core.CoreSettings` of the instances.
    """

    name: str = "load"
    shape: SystemShape = SystemShape()
    seed: int = 1
    faults: tuple[Fault, ...] = ()
    profile: Profile = PROFILES_BY_NAME["treasury"]
    load: float = 0.6
    length_ms: float = 20_000.0
    core_settings: CoreSettings = CoreSettings()

    def make_run_plan(self, warm_up_ms):
        """Return the plan of a run under a virtual clock.

        :param warm_up_ms: time before the load starts, in milliseconds; it is added
            to the start times of the faults.
        """
        shape = self.shape
        return RunPlan(
            seed=self.seed,
            n_zones=shape.n_zones,
            n_entries=shape.n_entries,
            n_servers=shape.n_servers,
            slots=shape.slots,
            cross_zone_delay_ms=shape.zone_delay_ms,
            client_delay_ms=shape.client_delay_ms,
            sync_ms=shape.sync_ms,
            has_jitter=False,
            faults=tuple(
                attrs.evolve(fault, start_ms=fault.start_ms + warm_up_ms)
                for fault in self.faults
            ),
        )

    def draw_arrivals(self, n_slots, random_state):
        """Draw the arrivals of the load at random.

        :param n_slots: total number of slots of all backend servers.
        :param random_state: a :class:`random.Random`.
        :returns: list of :class:`Arrival`, ordered by time.
        """
        return draw_arrivals(
            self.profile, self.load, n_slots, self.length_ms, random_state
        )
