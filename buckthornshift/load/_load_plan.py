"""What a load consists of, whatever clock it runs on."""

import attrs

from ..core import CoreSettings
from ..proving import Fault, RunPlan
from ._local_system import SystemShape
from ._profiles import PROFILES_BY_NAME, Profile, draw_arrivals


@attrs.frozen(kw_only=True)
class LoadPlan:
    """One load on one system.

    :param name: name of the run.
    :param shape: size of the system.
    :param seed: seed of everything random.
    :param faults: faults; times count from the start of the load.
    :param profile: what callers send.
    :param load: offered work as a fraction of the slots' capacity.
    :param length_ms: length of the load.
    :param core_settings: settings of the cores.
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

        :param warm_up_ms: time before the load starts, added to the faults' times.
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
        """Draw the arrivals of the load.

        :param n_slots: slots of all backend servers.
        :param random_state: a :class:`random.Random`.
        :returns: list of :class:`Arrival` in order.
        """
        return draw_arrivals(
            self.profile, self.load, n_slots, self.length_ms, random_state
        )
