"""Simulated load of the sites: traffic, outcomes, comparisons, and upper bound."""

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
from buckthornshift.load.fleet._traffic import QueueBurst, draw_traffic
from buckthornshift.load.fleet._upper_bound import (
    compute_packing_weight,
    compute_upper_bound,
)
from buckthornshift.proving.fleet import FleetFault, PlannedFault

PATROL = SITES_BY_NAME["patrol"]


@pytest.fixture(scope="module")
def calm_run():
    """Return the plan and result of a short run of the patrol site without faults."""
    plan = FleetLoadPlan(site=PATROL, load=0.5, length_ms=4_000.0)
    return plan, FleetLoadSimulation(plan=plan).run()


@pytest.mark.parametrize("name", list(SITES_BY_NAME))
def test_traffic_has_the_declared_rate(name):
    site = SITES_BY_NAME[name]
    arrivals = draw_traffic(site, 1.0, 20_000.0, random.Random(1))
    assert len(arrivals) == pytest.approx(20.0 * site.rate_per_s, rel=0.1)
    assert all(0 <= arrival.zone_index < site.n_zones for arrival in arrivals)


def test_burst_does_not_change_earlier_requests():
    burst = PlannedFault(kind=FleetFault.BURST, start_ms=2_000.0, length_ms=1_000.0)
    without_burst = draw_traffic(PATROL, 1.0, 4_000.0, random.Random(1))
    with_burst = draw_traffic(PATROL, 1.0, 4_000.0, random.Random(1), (burst,))
    n_before = sum(arrival.at_ms < 2_000.0 for arrival in without_burst)
    assert without_burst[:n_before] == with_burst[:n_before]
    assert len(with_burst) > len(without_burst)


def test_burst_of_a_queue_adds_only_its_requests():
    plan = FleetLoadPlan(site=PATROL, length_ms=4_000.0)
    burst = QueueBurst(queue="span", factor=3.0, at_s=1.0, for_s=2.0)
    usual = plan.draw_arrivals()
    arrivals = attrs.evolve(plan, bursts=(burst,)).draw_arrivals()
    added = [arrival for arrival in arrivals if arrival not in usual]
    assert len(arrivals) == len(usual) + len(added)
    assert len({arrival.job.job_id for arrival in arrivals}) == len(arrivals)
    assert {arrival.kind.name for arrival in added} == {"span"}
    assert all(1_000.0 <= arrival.at_ms < 3_000.0 for arrival in added)


def test_refused_request_is_sent_again_after_the_named_time():
    """Guards against a load in which a retry can't succeed."""
    site = attrs.evolve(PATROL, max_refused_retries=2)
    plan = FleetLoadPlan(site=site, load=2.5, length_ms=3_000.0)
    records = FleetLoadSimulation(plan=plan).run().records
    retried = [record for record in records if record.n_refusals]
    assert any(record.fate is RequestOutcome.IN_TIME for record in retried)
    assert max(record.n_refusals for record in retried) == 2


def test_load_without_faults_is_served_in_time(calm_run):
    _, result = calm_run
    summary = summarize(result.records)
    assert result.violation == ""
    assert summary.by_fate["refused"] == 0.0
    assert summary.by_fate["in_time"] >= 0.99


def test_stages_add_up_to_the_latency(calm_run):
    _, result = calm_run
    for record in result.records:
        if record.fate is RequestOutcome.IN_TIME:
            assert set(record.stage_ms) == {stage.value for stage in LatencyStage}
            total_ms = sum(record.stage_ms.values())
            assert total_ms == pytest.approx(record.elapsed_ms, abs=0.1)


def test_runs_are_deterministic(calm_run):
    plan, result = calm_run
    assert FleetLoadSimulation(plan=plan).run() == result


def test_run_with_faults_earns_no_more_than_the_upper_bound():
    faults = tuple(
        PlannedFault(
            kind=FleetFault.SERVER_HANGS, start_ms=500.0, length_ms=2_500.0, target=i
        )
        for i in range(16)
    )
    plan = FleetLoadPlan(site=PATROL, load=1.2, length_ms=4_000.0, faults=faults)
    bound = compute_upper_bound(plan)
    assert summarize(FleetLoadSimulation(plan=plan).run().records).earned <= bound < 1.0


def test_upper_bound_without_faults_is_one(calm_run):
    plan, _ = calm_run
    assert compute_upper_bound(plan) == pytest.approx(1.0)


@pytest.mark.parametrize("n_tasks_per_server", [2, 3])
def test_packing_weights_of_tasks_that_fit_together_sum_to_at_most_one(
    n_tasks_per_server,
):
    random_state = random.Random(1)
    for _ in range(2_000):
        free_cpu, total_weight = 24_000, 0.0
        while (need_cpu := random_state.randint(1, 24_000)) <= free_cpu:
            free_cpu -= need_cpu
            total_weight += compute_packing_weight(need_cpu, 24_000, n_tasks_per_server)
        assert total_weight <= 1.0 + 1e-9
    assert compute_packing_weight(8_000, 24_000, 3) == pytest.approx(1 / 3)
    assert compute_packing_weight(9_000, 24_000, 2) == 0.5


def test_all_policies_get_the_same_requests():
    experiment = FleetExperiment(
        length_s=2.0, policies={"default": {}, "patient": {"lost_after_ms": 900.0}}
    )
    first, second = experiment.make_plans()
    assert first.draw_arrivals() == second.draw_arrivals()
    assert second.settings == DispatchSettings(lost_after_ms=900.0)


def test_results_round_trip_through_a_file_and_render(calm_run, tmp_path):
    _, result = calm_run
    path = tmp_path / "results.json"
    write_result_file(path, [result])
    (loaded,) = read_fleet_results(path)
    assert loaded == result
    text = render_fleet_results([loaded])
    assert "kind hazard" in text
    assert "size largest tenth" in text
    renamed = attrs.evolve(loaded, name="other")
    assert "+0.000" in render_fleet_comparison(loaded, renamed)


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ('{"site": "moon"}', "site"),
        ('{"lenght_s": 3}', "lenght_s"),
        ('{"length_s": 0}', "length_s"),
        ('{"faults": [{"kind": "flood"}]}', "faults[0].kind"),
        ('{"bursts": [{"queue": "tide"}]}', "bursts[0].queue"),
        ('{"policies": {"fast": {"speed": 1}}}', "policies.fast"),
    ],
)
def test_invalid_experiment_error_names_the_key(text, where):
    with pytest.raises(InvalidInputError) as error_info:
        parse_fleet_experiment(text, "file")
    assert where in str(error_info.value)


def test_plots_are_drawn(calm_run, tmp_path):
    from buckthornshift.load.fleet._fleet_plot import draw_fleet_results

    _, result = calm_run
    paths = draw_fleet_results([result], tmp_path)
    assert len(paths) == 5
    assert all(path.stat().st_size > 1_000 for path in paths)
