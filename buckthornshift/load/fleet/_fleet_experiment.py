"""Declared experiments on a site: its load, faults, and the policies to compare."""

import importlib.util
import pathlib
import sys

import attrs
import msgspec

from ...contracts import InvalidInputError, check_unknown_keys, convert_value
from ...dispatch import DispatchSettings
from ...documents import parse_json_with_comments
from ...proving.fleet import FleetFault, PlannedFault
from .._checks import check_choice, check_length_s
from ._fleet_load import FleetLoadPlan, FleetLoadSimulation
from ._records import FleetLoadResult
from ._sites import SITES_BY_NAME
from ._traffic import QueueBurst

MAX_LENGTH_S = 300.0
# Name under which the package of another version is imported beside this one.
OTHER_VERSION_PACKAGE = "buckthornshift_before"


@attrs.frozen(kw_only=True)
class DeclaredFault:
    """A fault as an experiment declares it.

    :param kind: value of its :class:`~buckthornshift.proving.fleet.FleetFault`.
    :param at_s: when it begins, in seconds from the start of the load.
    :param for_s: how long it lasts, in seconds.
    :param target: index of the first instance or server that it affects.
    :param count: number of consecutive indices that it affects.
    """

    kind: str = ""
    at_s: float = 0.0
    for_s: float = 1.0
    target: int = 0
    count: int = 1

    def make_planned_faults(self):
        """Return one :class:`~buckthornshift.proving.fleet.PlannedFault` a target."""
        return tuple(
            PlannedFault(
                kind=FleetFault(self.kind),
                start_ms=self.at_s * 1_000.0,
                length_ms=self.for_s * 1_000.0,
                target=self.target + index,
            )
            for index in range(self.count)
        )


@attrs.frozen(kw_only=True)
class FleetExperiment:
    """A declared experiment: one load and its faults, run with each policy.

    :param name: name of the experiment.
    :param site: name of the :class:`Site`.
    :param load: factor on the site's rate of requests.
    :param length_s: length of the load, in seconds.
    :param seed: seed of all random draws.
    :param faults: the :class:`DeclaredFault` of the run.
    :param bursts: the :class:`QueueBurst` of the run.
    :param event_ms: processor time that an instance takes for one event.
    :param policies: changed :class:`~buckthornshift.dispatch.DispatchSettings`, by
        name of the policy; every policy gets the same requests and faults.
    """

    name: str = "experiment"
    site: str = "treasury"
    load: float = 0.6
    length_s: float = 20.0
    seed: int = 1
    faults: tuple[DeclaredFault, ...] = ()
    bursts: tuple[QueueBurst, ...] = ()
    event_ms: float = 0.0
    policies: dict[str, dict[str, float | str]] = attrs.field(factory=dict)

    def make_plans(self):
        """Return the :class:`FleetLoadPlan` of each policy."""
        faults = tuple(
            planned for fault in self.faults for planned in fault.make_planned_faults()
        )
        policies = self.policies or {"default": {}}
        return [
            FleetLoadPlan(
                name=f"{self.name}/{policy}",
                site=SITES_BY_NAME[self.site],
                load=self.load,
                length_ms=self.length_s * 1_000.0,
                seed=self.seed,
                faults=faults,
                bursts=self.bursts,
                event_ms=self.event_ms,
                settings=DispatchSettings(**changes),
            )
            for policy, changes in policies.items()
        ]

    def run(self, on_progress=None):
        """Run every policy; return a list of :class:`FleetLoadResult`.

        :param on_progress: called with the name of each run before it starts.
        """
        results = []
        for plan in self.make_plans():
            if on_progress is not None:
                on_progress(plan.name)
            results.append(FleetLoadSimulation(plan=plan).run())
        return results


def parse_fleet_experiment(text, where):
    """Parse and check a declared experiment.

    :param text: JSON with comments.
    :param where: name of its file, for errors.
    :returns: the :class:`FleetExperiment`.
    :raises InvalidInputError: if a key is unknown or a value is not valid.
    """
    value = parse_json_with_comments(text, where)
    check_unknown_keys(value, FleetExperiment, where)
    if isinstance(value, dict):
        for index, fault in enumerate(value.get("faults", ())):
            check_unknown_keys(fault, DeclaredFault, f"{where}.faults[{index}]")
        for index, burst in enumerate(value.get("bursts", ())):
            check_unknown_keys(burst, QueueBurst, f"{where}.bursts[{index}]")
    experiment = convert_value(value, FleetExperiment, where)
    check_choice(experiment.site, SITES_BY_NAME, f"{where}.site")
    for index, fault in enumerate(experiment.faults):
        kinds = [kind.value for kind in FleetFault]
        check_choice(fault.kind, kinds, f"{where}.faults[{index}].kind")
    queue_names = [kind.name for kind in SITES_BY_NAME[experiment.site].kinds]
    for index, burst in enumerate(experiment.bursts):
        check_choice(burst.queue, queue_names, f"{where}.bursts[{index}].queue")
    _check_policies(experiment, where)
    check_length_s(experiment.length_s, MAX_LENGTH_S, f"{where}.length_s")
    return experiment


def run_other_version(folder, text, where, seed=None):
    """Run an experiment with the package of another version.

    The whole package is imported under another name, so that each version uses its
    own dispatch cores, simulated worlds and servers in one process. The other version
    may be older, so :func:`parse_fleet_experiment` and :meth:`FleetExperiment.run`
    keep their names.

    :param folder: folder that holds the other version's ``buckthornshift`` package.
    :param text: the experiment, as declared.
    :param where: name of its file, for errors.
    :param seed: seed to use instead of the declared one.
    :returns: list of this version's :class:`FleetLoadResult`.
    :raises InvalidInputError: if the other version has no ``load/fleet`` package.
    """
    package_folder = pathlib.Path(folder) / "buckthornshift"
    if not (package_folder / "load" / "fleet" / "__init__.py").is_file():
        raise InvalidInputError(
            where="--against",
            got=str(folder),
            expected="a folder with a buckthornshift package that has load/fleet",
        )
    other_version = _import_as(OTHER_VERSION_PACKAGE, package_folder)
    experiment = other_version.parse_fleet_experiment(text, where)
    if seed is not None:
        experiment = attrs.evolve(experiment, seed=seed)
    # The results are instances of the other version's classes, so they are converted
    # as those of a result file are.
    values = msgspec.to_builtins(experiment.run())
    return [
        attrs.evolve(result, name=f"{result.name} (before)")
        for result in convert_value(values, tuple[FleetLoadResult, ...], where)
    ]


def _import_as(name, package_folder):
    """Import a package under a name; return its ``load.fleet`` package."""
    spec = importlib.util.spec_from_file_location(
        name,
        package_folder / "__init__.py",
        submodule_search_locations=[str(package_folder)],
    )
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return importlib.import_module(f"{name}.load.fleet")


def _check_policies(experiment, where):
    setting_names = {field.name for field in attrs.fields(DispatchSettings)}
    for policy, changes in experiment.policies.items():
        for name in changes:
            check_choice(name, setting_names, f"{where}.policies.{policy}")
