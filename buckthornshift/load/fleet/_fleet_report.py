"""Readable tables of loads on a site, and comparisons of two."""

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
    """Return a table of results, with their groups and where time went.

    :param results: list of :class:`FleetLoadResult`.
    """
    return "\n\n".join(_render_result(result) for result in results)


def render_fleet_comparison(before, after):
    """Return two results side by side, group by group.

    :param before: a :class:`FleetLoadResult`.
    :param after: another.
    """
    lines = [f"{'':<34}{before.name:>30}{after.name:>30}{'change':>9}"]
    first_by_name = dict(_list_groups(before))
    for name, second in _list_groups(after):
        first = first_by_name.get(name)
        if first is None:
            continue
        lines.append(_render_change(f"{name}: earned", first.earned, second.earned))
        for fate in (
            RequestOutcome.IN_TIME,
            RequestOutcome.REFUSED,
            RequestOutcome.NO_ANSWER,
        ):
            label = f"{name}: {fate.value}"
            pair = (first.by_fate[fate.value], second.by_fate[fate.value])
            lines.append(_render_change(label, *pair))
    return "\n".join(lines)


def find_worst_windows(records, length_ms, n_windows=N_WORST_WINDOWS):
    """Return the windows of a load that earned least, with their shares.

    :param records: the records of a run.
    :param length_ms: length of the load.
    :param n_windows: how many.
    """
    windows = group_records(records, lambda r: int(r.at_ms / WINDOW_MS))
    shares = [
        (index * WINDOW_MS, summarize(of_window))
        for index, of_window in windows.items()
        if (index + 1) * WINDOW_MS <= length_ms
    ]
    return sorted(shares, key=lambda pair: pair[1].earned)[:n_windows]


def _render_result(result):
    head = f"{result.name}: {len(result.records)} requests"
    if result.bound is not None:
        head += f"; no dispatcher could earn more than {result.bound:.3f}"
    lines = [head]
    if result.violation:
        lines.append(f"VIOLATION {result.violation}")
    fates = [fate for fate in RequestOutcome if fate is not RequestOutcome.LEFT]
    cells = "".join(f"{fate.value:>11}" for fate in fates)
    lines.append(f"{'group':<34}{'owed':>7}{'earned':>8}{cells}")
    for name, shares in _list_groups(result):
        cells = "".join(f"{shares.by_fate[fate.value]:>11.3f}" for fate in fates)
        lines.append(f"{name:<34}{shares.n_requests:>7}{shares.earned:>8.3f}{cells}")
    lines.extend(_render_stages(result))
    used = [point.used_share for point in result.room]
    if used:
        lines.append(
            f"room in use: mean {sum(used) / len(used):.3f}, most {max(used):.3f}; "
            f"starts {result.n_starts}, stopped or lapsed {result.n_stopped}"
        )
    return "\n".join(lines)


def _render_stages(result):
    complete = [record for record in result.records if record.stage_ms]
    if not complete:
        return
    yield f"{'where time went, ms':<34}" + "".join(
        f"{f'p{100 * part:g}':>9}" for part in PERCENTILES
    )
    for stage in LatencyStage:
        times = sorted(record.stage_ms[stage.value] for record in complete)
        cells = (times[int(part * (len(times) - 1))] for part in PERCENTILES)
        yield f"  {stage.value:<32}" + "".join(f"{cell:>9.1f}" for cell in cells)


def _list_groups(result):
    """Yield names and shares: all, by kind, by size, by zone, the worst windows."""
    records = result.records
    yield "all", summarize(records)
    for kind, of_kind in group_records(records, lambda r: r.kind).items():
        yield f"kind {kind}", summarize(of_kind)
    if records:
        choose = make_size_classifier(records)
        for size, of_size in group_records(records, choose).items():
            yield f"size {size}", summarize(of_size)
    for zone, of_zone in group_records(records, lambda r: r.zone).items():
        yield zone, summarize(of_zone)
    for at_ms, shares in find_worst_windows(records, result.length_ms):
        yield f"worst window, from {at_ms / 1_000.0:.0f} s", shares


def _render_change(label, first, second):
    change = second - first
    return f"{label:<34}{first:>30.3f}{second:>30.3f}{change:>+9.3f}"
