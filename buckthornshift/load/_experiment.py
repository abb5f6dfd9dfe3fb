"""Experiments declared in small files: profile, size, load, faults, seed."""

import attrs

from ..contracts import check_unknown_keys, convert_value
from ..core import CoreSettings, LeastLoaded, RandomServer, RoundRobin
from ..documents import parse_json_with_comments
from ..proving import Fault
from ._checks import check_choice, check_length_s
from ._load_plan import LoadPlan
from ._local_system import SystemShape
from ._profiles import PROFILES_BY_NAME
from ._real_time_run import RealTimeRun
from ._virtual_time_run import VirtualTimeRun

POLICIES_BY_NAME = {
    "default": LeastLoaded(),
    "random": RandomServer(),
    "round_robin": RoundRobin(),
}
MAX_LENGTH_S = 600.0


@attrs.frozen(kw_only=True)
class Experiment:
    """One declared experiment.

    :param name: name of the experiment.
    :param profile: ``treasury`` or ``patrol``.
    :param clock: ``virtual`` or ``real`` (loopback sockets).
    :param shape: size of the system.
    :param load: offered work as a fraction of the slots' capacity.
    :param length_s: length of the load, in seconds.
    :param seed: seed of everything random.
    :param faults: faults; times count from the start of the load.
    :param policies: placement policies to run beside each other.
    :param duplicate_fraction: part of the jobs sent to two instances at once.
    :param cancel_fraction: part of the jobs that are cancelled soon.
    :param burst_factor: rate during a burst relative to the mean.
    :param burst_share: part of the time that is burst.
    """

    name: str = "experiment"
    profile: str = "treasury"
    clock: str = "virtual"
    shape: SystemShape = SystemShape()
    load: float = 0.6
    length_s: float = 20.0
    seed: int = 1
    faults: tuple[Fault, ...] = ()
    policies: tuple[str, ...] = ("default",)
    duplicate_fraction: float = 0.0
    cancel_fraction: float = 0.0
    burst_factor: float = 1.0
    burst_share: float = 0.0


def parse_experiment(text, where):
    """Return a checked experiment.

    :param text: JSON with comments.
    :param where: name of the file, for errors.
    :raises InvalidInputError: naming the key, what was got and expected.
    """
    value = parse_json_with_comments(text, where)
    check_unknown_keys(value, Experiment, where)
    if isinstance(value, dict):
        check_unknown_keys(value.get("shape"), SystemShape, f"{where}.shape")
        for index, fault in enumerate(value.get("faults", ())):
            check_unknown_keys(fault, Fault, f"{where}.faults[{index}]")
    experiment = convert_value(value, Experiment, where)
    check_choice(experiment.profile, PROFILES_BY_NAME, f"{where}.profile")
    check_choice(experiment.clock, ("virtual", "real"), f"{where}.clock")
    for policy in experiment.policies:
        check_choice(policy, POLICIES_BY_NAME, f"{where}.policies")
    check_length_s(experiment.length_s, MAX_LENGTH_S, f"{where}.length_s")
    return experiment


def make_runs(experiment):
    """Return the runs of an experiment, one for each policy.

    :param experiment: the :class:`Experiment`.
    """
    profile = attrs.evolve(
        PROFILES_BY_NAME[experiment.profile],
        duplicate_fraction=experiment.duplicate_fraction,
        cancel_fraction=experiment.cancel_fraction,
        burst_factor=experiment.burst_factor,
        burst_share=experiment.burst_share,
    )
    return [_make_run(experiment, profile, name) for name in experiment.policies]


def _make_run(experiment, profile, policy_name):
    core_settings = CoreSettings(policy=POLICIES_BY_NAME[policy_name])
    run_class = VirtualTimeRun if experiment.clock == "virtual" else RealTimeRun
    load_plan = LoadPlan(
        name=f"{experiment.name}/{policy_name}",
        shape=experiment.shape,
        seed=experiment.seed,
        faults=experiment.faults,
        profile=profile,
        load=experiment.load,
        length_ms=experiment.length_s * 1000.0,
        core_settings=core_settings,
    )
    return run_class(load_plan=load_plan)
