"""What a load consists of, whatever clock it runs on."""

import attrs

from ..core import CoreSettings
from ..proving import RunPlan
from ._profiles import PROFILES_BY_NAME, Profile, draw_arrivals


@attrs.frozen(kw_only=True)
class LoadPlan:
    """One load on one system.

    :param name: name of the run.
    :param system: sizes and faults; fault times count from the start of the load.
    :param profile: what callers send.
    :param load: offered work as a fraction of the slots' capacity.
    :param length_ms: length of the load.
    :param core_settings: settings of the cores.
    """

    name: str = "load"
    system: RunPlan = RunPlan()
    profile: Profile = PROFILES_BY_NAME["treasury"]
    load: float = 0.6
    length_ms: float = 20_000.0
    core_settings: CoreSettings = CoreSettings()

    def draw(self, n_slots, random_state):
        """Draw the arrivals of the load.

        :param n_slots: slots of all backend servers.
        :param random_state: a :class:`random.Random`.
        :returns: list of :class:`Arrival` in order.
        """
        return draw_arrivals(
            self.profile, self.load, n_slots, self.length_ms, random_state
        )
