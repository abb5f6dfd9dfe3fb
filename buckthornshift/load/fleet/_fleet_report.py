"""Text tables of the results of loads on a site, and comparisons of two results."""

from ._records import (
    LatencyStage,
    RequestOutcome,
    group_records,
    make_size_classifier,
    summarize,
)

WINDOW_MS = 2_000.0
N_WORST_WINDOWS = 2
PERCENTILES = (0.5, 0.9, 0.99)


def render_fleet_results(results):
    """Return a table for each result: outcomes by group, and latency by stage.

    :param results: list of :class:`FleetLoadResult`.
    """
    return "\n\n".join(_render_result(result) for result in results)


def render_fleet_comparison(before, after):
    """Return a table of two results side by side, group by group.

    :param before: the :class:`FleetLoadResult` in the first column.
    :param after: the :class:`FleetLoadResult` in the second column.
    """
    lines = [f"{'':<34}{before.name:>30}{after.name:>30}{'change':>9}"]
    before_by_name = dict(_list_groups(before))
    for name, after_summary in _list_groups(after):
        before_summary = before_by_name.get(name)
        if before_summary is None:
            continue
        lines.append(
            _render_change(
                f"{name}: earned", before_summary.earned, after_summary.earned
            )
        )
        for outcome in (
            RequestOutcome.IN_TIME,
            RequestOutcome.REFUSED,
            RequestOutcome.NO_ANSWER,
        ):
            label = f"{name}: {outcome.value}"
            shares = (
                before_summary.by_fate[outcome.value],
                after_summary.by_fate[outcome.value],
            )
            lines.append(_render_change(label, *shares))
    return "\n".join(lines)


def find_worst_windows(records, length_ms, n_windows=N_WORST_WINDOWS):
    """Return the time windows of a load that earned the smallest share of credit.

    :param records: list of :class:`RequestRecord`.
    :param length_ms: length of the load; a window that exceeds it is left out.
    :param n_windows: how many windows to return.
    :returns: pairs of the start of the window in milliseconds and its
        :class:`OutcomeSummary`, the worst first.
    """
    windows = group_records(records, lambda r: int(r.at_ms / WINDOW_MS))
    summaries = [
        (index * WINDOW_MS, summarize(window_records))
        for index, window_records in windows.items()
        if (index + 1) * WINDOW_MS <= length_ms
    ]
    return sorted(summaries, key=lambda pair: pair[1].earned)[:n_windows]


def _render_result(result):
    title = f"{result.name}: {len(result.records)} requests"
    if result.bound is not None:
        title += f"; no dispatcher could earn more than {result.bound:.3f}"
    lines = [title]
    if result.violation:
        lines.append(f"VIOLATION {result.violation}")
    outcomes = [
        outcome for outcome in RequestOutcome if outcome is not RequestOutcome.LEFT
    ]
    cells = "".join(f"{outcome.value:>11}" for outcome in outcomes)
    lines.append(f"{'group':<34}{'counted':>7}{'earned':>8}{cells}")
    for name, summary in _list_groups(result):
        cells = "".join(
            f"{summary.by_fate[outcome.value]:>11.3f}" for outcome in outcomes
        )
        lines.append(f"{name:<34}{summary.n_requests:>7}{summary.earned:>8.3f}{cells}")
    n_retried = sum(record.n_refusals > 0 for record in result.records)
    if n_retried:
        n_served = sum(
            record.n_refusals > 0 and record.fate is RequestOutcome.IN_TIME
            for record in result.records
        )
        lines.append(f"refused at first: {n_retried}, in time at a retry: {n_served}")
    lines.extend(_render_stages(result))
    used_shares = [sample.used_share for sample in result.room]
    if used_shares:
        lines.append(
            f"cores in use: mean {sum(used_shares) / len(used_shares):.3f}, "
            f"max {max(used_shares):.3f}; task starts {result.n_starts}, "
            f"stopped or expired {result.n_stopped}"
        )
    return "\n".join(lines)


def _render_stages(result):
    complete = [record for record in result.records if record.stage_ms]
    if not complete:
        return
    yield f"{'latency by stage, ms':<34}" + "".join(
        f"{f'p{100 * fraction:g}':>9}" for fraction in PERCENTILES
    )
    for stage in LatencyStage:
        times_ms = sorted(record.stage_ms[stage.value] for record in complete)
        cells = (
            times_ms[int(fraction * (len(times_ms) - 1))] for fraction in PERCENTILES
        )
        yield f"  {stage.value:<32}" + "".join(f"{cell:>9.1f}" for cell in cells)


def _list_groups(result):
    """Yield name and summary of each group of requests.

    The groups are all requests, those of each kind, size class and zone, and those
    sent in the worst time windows.
    """
    records = result.records
    yield "all", summarize(records)
    for kind, group in group_records(records, lambda r: r.kind).items():
        yield f"kind {kind}", summarize(group)
    if records:
        classify = make_size_classifier(records)
        for size, group in group_records(records, classify).items():
            yield f"size {size}", summarize(group)
        for key, group in group_records(
            records, lambda r: f"{r.kind}, {classify(r)}"
        ).items():
            yield key, summarize(group)
    for zone, group in group_records(records, lambda r: r.zone).items():
        yield zone, summarize(group)
    for at_ms, summary in find_worst_windows(records, result.length_ms):
        yield f"worst window, from {at_ms / 1_000.0:.0f} s", summary


def _render_change(label, before_value, after_value):
    change = after_value - before_value
    return f"{label:<34}{before_value:>30.3f}{after_value:>30.3f}{change:>+9.3f}"
