"""Declared experiments on a site: load, faults, and policies to compare."""

import importlib.util
import pathlib
import sys

import attrs
import msgspec

from ...contracts import InvalidInputError, check_unknown_keys, convert_value
from ...dispatch import DispatchSettings
from ...documents import parse_json_with_comments
from ...proving.fleet import FleetFault, PlannedFault
from .._declared import check_choice, check_length_s
from ._fleet_load import FleetLoadPlan, FleetLoadSimulation
from ._records import FleetLoadResult
from ._sites import SITES_BY_NAME

MAX_LENGTH_S = 300.0
# Name under which the package of another version is imported.
OTHER_VERSION_PACKAGE = "buckthornshift_before"


@attrs.frozen(kw_only=True)
class DeclaredFault:
    """A fault of an experiment.

    :param kind: name of the fault.
    :param at_s: when it begins, from the start of the load.
    :param for_s: how long it lasts.
    :param target: what it strikes first.
    :param count: how many it strikes.
    """

    kind: str = ""
    at_s: float = 0.0
    for_s: float = 1.0
    target: int = 0
    count: int = 1

    def plan(self):
        """Return the :class:`PlannedFault` of each that it strikes."""
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
    """One declared experiment.

    :param name: name of the experiment.
    :param site: name of the site.
    :param load: factor on the site's rate of requests.
    :param length_s: length of the load, in seconds.
    :param seed: seed of everything random.
    :param faults: the :class:`DeclaredFault` of the run.
    :param event_ms: processor time that an instance takes for one event.
    :param policies: settings to change, by name of the policy; each is run on the
        same requests and faults.
    """

    name: str = "experiment"
    site: str = "treasury"
    load: float = 0.6
    length_s: float = 20.0
    seed: int = 1
    faults: tuple[DeclaredFault, ...] = ()
    event_ms: float = 0.0
    policies: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def make_plans(self):
        """Return the :class:`FleetLoadPlan` of each policy."""
        faults = tuple(planned for fault in self.faults for planned in fault.plan())
        policies = self.policies or {"default": {}}
        return [
            FleetLoadPlan(
                name=f"{self.name}/{policy}",
                site=SITES_BY_NAME[self.site],
                load=self.load,
                length_ms=self.length_s * 1_000.0,
                seed=self.seed,
                faults=faults,
                event_ms=self.event_ms,
                settings=DispatchSettings(**changes),
            )
            for policy, changes in policies.items()
        ]

    def run(self, on_progress=None):
        """Run every policy; return a list of :class:`FleetLoadResult`.

        :param on_progress: called with the name of a run before it begins.
        """
        results = []
        for plan in self.make_plans():
            if on_progress is not None:
                on_progress(plan.name)
            results.append(FleetLoadSimulation(plan=plan).run())
        return results


def parse_fleet_experiment(text, where):
    """Return a checked experiment.

    :param text: JSON with comments.
    :param where: name of the file, for errors.
    :raises InvalidInputError: naming the key, what was got and expected.
    """
    value = parse_json_with_comments(text, where)
    check_unknown_keys(value, FleetExperiment, where)
    if isinstance(value, dict):
        for index, fault in enumerate(value.get("faults", ())):
            check_unknown_keys(fault, DeclaredFault, f"{where}.faults[{index}]")
    experiment = convert_value(value, FleetExperiment, where)
    check_choice(experiment.site, SITES_BY_NAME, f"{where}.site")
    for index, fault in enumerate(experiment.faults):
        kinds = [kind.value for kind in FleetFault]
        check_choice(fault.kind, kinds, f"{where}.faults[{index}].kind")
    _check_policies(experiment, where)
    check_length_s(experiment.length_s, MAX_LENGTH_S, f"{where}.length_s")
    return experiment


def run_other_version(folder, text, where, seed=None):
    """Run an experiment with the package of another version.

    The whole of it is imported under another name, so that both run on their own
    cores, worlds and servers in one process.

    :param folder: folder that holds the ``buckthornshift`` package.
    :param text: the experiment, as declared.
    :param where: name of its file, for errors.
    :param seed: seed to use instead of the declared one.
    :returns: results that this version's reports read.
    :raises InvalidInputError: if the folder holds no version with this tool.
    """
    package = pathlib.Path(folder) / "buckthornshift"
    if not (package / "load" / "fleet" / "__init__.py").is_file():
        raise InvalidInputError(
            where="--against",
            got=str(folder),
            expected="a folder with a buckthornshift package that has load/fleet",
        )
    other = _import_as(OTHER_VERSION_PACKAGE, package)
    experiment = other.parse_fleet_experiment(text, where)
    if seed is not None:
        experiment = attrs.evolve(experiment, seed=seed)
    # Its results are of its own classes: take them over as a file's.
    values = msgspec.to_builtins(experiment.run())
    return [
        attrs.evolve(result, name=f"{result.name} (before)")
        for result in convert_value(values, tuple[FleetLoadResult, ...], where)
    ]


def _import_as(name, package):
    spec = importlib.util.spec_from_file_location(
        name, package / "__init__.py", submodule_search_locations=[str(package)]
    )
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return importlib.import_module(f"{name}.load.fleet")


def _check_policies(experiment, where):
    known = {field.name for field in attrs.fields(DispatchSettings)}
    for policy, changes in experiment.policies.items():
        for name in changes:
            check_choice(name, known, f"{where}.policies.{policy}")
