"""Loads of the users' sites: traffic, fates, comparisons, bound."""

import random

import attrs
import pytest

from buckthornshift.contracts import InvalidInputError
from buckthornshift.dispatch import DispatchSettings
from buckthornshift.load import write_result_file
from buckthornshift.load.fleet import (
    SITES_BY_NAME,
    FleetExperiment,
    FleetLoadPlan,
    FleetLoadSimulation,
    LatencyStage,
    RequestOutcome,
    parse_fleet_experiment,
    read_fleet_results,
    render_fleet_comparison,
    render_fleet_results,
    summarize,
)
from buckthornshift.load.fleet._traffic import draw_traffic
from buckthornshift.load.fleet._upper_bound import (
    compute_packing_weight,
    compute_upper_bound,
)
from buckthornshift.proving.fleet import FleetFault, PlannedFault

PATROL = SITES_BY_NAME["patrol"]


@pytest.fixture(scope="module")
def quiet():
    """A short calm run of the patrol desk, and its plan."""
    plan = FleetLoadPlan(site=PATROL, load=0.5, length_ms=4_000.0)
    return plan, FleetLoadSimulation(plan=plan).run()


@pytest.mark.parametrize("name", list(SITES_BY_NAME))
def test_traffic_offers_the_declared_rate(name):
    site = SITES_BY_NAME[name]
    arrivals = draw_traffic(site, 1.0, 20_000.0, random.Random(1))
    assert len(arrivals) == pytest.approx(20.0 * site.rate_per_s, rel=0.1)
    assert all(0 <= arrival.zone_index < site.n_zones for arrival in arrivals)


def test_a_burst_moves_no_draw_of_the_requests_before_it():
    burst = PlannedFault(kind=FleetFault.BURST, start_ms=2_000.0, length_ms=1_000.0)
    calm = draw_traffic(PATROL, 1.0, 4_000.0, random.Random(1))
    busy = draw_traffic(PATROL, 1.0, 4_000.0, random.Random(1), (burst,))
    n_before = sum(arrival.at_ms < 2_000.0 for arrival in calm)
    assert calm[:n_before] == busy[:n_before]
    assert len(busy) > len(calm)


def test_a_calm_day_is_served_in_time(quiet):
    _, result = quiet
    shares = summarize(result.records)
    assert result.violation == ""
    assert shares.by_fate["refused"] == 0.0
    assert shares.by_fate["in_time"] >= 0.99


def test_stages_add_up_to_the_whole_time(quiet):
    _, result = quiet
    for record in result.records:
        if record.fate is RequestOutcome.IN_TIME:
            assert set(record.stage_ms) == {stage.value for stage in LatencyStage}
            total_ms = sum(record.stage_ms.values())
            assert total_ms == pytest.approx(record.elapsed_ms, abs=0.1)


def test_a_run_repeats_exactly(quiet):
    plan, result = quiet
    assert FleetLoadSimulation(plan=plan).run() == result


def test_no_run_earns_more_than_the_bound():
    faults = tuple(
        PlannedFault(
            kind=FleetFault.SERVER_HANGS, start_ms=500.0, length_ms=2_500.0, target=i
        )
        for i in range(16)
    )
    plan = FleetLoadPlan(site=PATROL, load=1.2, length_ms=4_000.0, faults=faults)
    bound = compute_upper_bound(plan)
    assert summarize(FleetLoadSimulation(plan=plan).run().records).earned <= bound < 1.0


def test_the_bound_of_a_calm_day_is_everything(quiet):
    plan, _ = quiet
    assert compute_upper_bound(plan) == pytest.approx(1.0)


@pytest.mark.parametrize("n_fit", [2, 3])
def test_tasks_that_fit_together_weigh_one_at_most(n_fit):
    random_state = random.Random(1)
    for _ in range(2_000):
        left, weight = 24_000, 0.0
        while (need := random_state.randint(1, 24_000)) <= left:
            left -= need
            weight += compute_packing_weight(need, 24_000, n_fit)
        assert weight <= 1.0 + 1e-9
    assert compute_packing_weight(8_000, 24_000, 3) == pytest.approx(1 / 3)
    assert compute_packing_weight(9_000, 24_000, 2) == 0.5


def test_policies_meet_the_same_requests():
    experiment = FleetExperiment(
        length_s=2.0, policies={"default": {}, "patient": {"lost_after_ms": 900.0}}
    )
    first, second = experiment.make_plans()
    assert first.draw_arrivals() == second.draw_arrivals()
    assert second.settings == DispatchSettings(lost_after_ms=900.0)


def test_results_survive_a_file_and_can_be_read(quiet, tmp_path):
    _, result = quiet
    path = tmp_path / "results.json"
    write_result_file(path, [result])
    (again,) = read_fleet_results(path)
    assert again == result
    text = render_fleet_results([again])
    assert "kind hazard" in text
    assert "size largest tenth" in text
    other = attrs.evolve(again, name="other")
    assert "+0.000" in render_fleet_comparison(again, other)


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ('{"site": "moon"}', "site"),
        ('{"lenght_s": 3}', "lenght_s"),
        ('{"length_s": 0}', "length_s"),
        ('{"faults": [{"kind": "flood"}]}', "faults[0].kind"),
        ('{"policies": {"fast": {"speed": 1}}}', "policies.fast"),
    ],
)
def test_a_wrong_experiment_is_refused_with_its_place(text, where):
    with pytest.raises(InvalidInputError) as caught:
        parse_fleet_experiment(text, "file")
    assert where in str(caught.value)


def test_pictures_are_drawn(quiet, tmp_path):
    from buckthornshift.load.fleet._fleet_plot import draw_fleet_results

    _, result = quiet
    paths = draw_fleet_results([result], tmp_path)
    assert len(paths) == 5
    assert all(path.stat().st_size > 1_000 for path in paths)
