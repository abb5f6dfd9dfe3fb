"""Plots of the results of loads on a site."""

import pathlib

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

from ._records import (  # noqa: E402
    LatencyStage,
    RequestOutcome,
    group_records,
    make_size_classifier,
    summarize,
)

FIGURE_SIZE_INCHES = (9.0, 5.0)
WINDOW_MS = 1_000.0
PLOTTED_OUTCOMES = (RequestOutcome.IN_TIME, RequestOutcome.LATE, RequestOutcome.REFUSED)


def draw_fleet_results(results, folder, file_format="png"):
    """Draw results into a folder; return the paths of the plots.

    :param results: list of :class:`FleetLoadResult`.
    :param folder: path of the folder; created if missing.
    :param file_format: ``png`` or ``svg``.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for grouping in ("kind", "size", "zone"):
        figure, axes = plt.subplots(
            len(PLOTTED_OUTCOMES),
            1,
            figsize=(9.0, 9.0),
            layout="constrained",
            sharex=True,
        )
        _draw_outcomes_over_time(axes, results, grouping)
        paths.append(_save(figure, folder / f"fates-by-{grouping}.{file_format}"))
    for name, draw in (("room", _draw_capacity), ("stages", _draw_stages)):
        figure, axes = plt.subplots(figsize=FIGURE_SIZE_INCHES, layout="constrained")
        draw(axes, results)
        paths.append(_save(figure, folder / f"{name}.{file_format}"))
    return paths


def _save(figure, path):
    figure.savefig(path, dpi=110)
    plt.close(figure)
    return path


def _draw_outcomes_over_time(axes, results, grouping):
    styles = ("-", "--", ":", "-.")
    for result, style in zip(results, styles, strict=False):
        get_key = _make_key_function(result, grouping)
        for index, (group, records) in enumerate(
            group_records(result.records, get_key).items()
        ):
            windows = group_records(records, lambda r: int(r.at_ms / WINDOW_MS))
            times_s = [window * WINDOW_MS / 1_000.0 for window in windows]
            summaries = [
                summarize(window_records) for window_records in windows.values()
            ]
            for axis, outcome in zip(axes, PLOTTED_OUTCOMES, strict=True):
                axis.plot(
                    times_s,
                    [summary.by_fate[outcome.value] for summary in summaries],
                    style,
                    color=f"C{index}",
                    label=f"{group}, {result.name}",
                )
    for axis, outcome in zip(axes, PLOTTED_OUTCOMES, strict=True):
        axis.set_ylabel(f"share {outcome.value}")
        axis.set_ylim(-0.02, 1.02)
        axis.grid(alpha=0.3)
    axes[0].set_title(f"Outcomes over time, by {grouping}")
    axes[0].legend(fontsize="x-small", ncols=2)
    axes[-1].set_xlabel("time of request, s")


def _make_key_function(result, grouping):
    if grouping == "size":
        return make_size_classifier(result.records)
    return lambda record: getattr(record, grouping)


def _draw_capacity(axes, results):
    for result in results:
        times_s = [sample.at_ms / 1_000.0 for sample in result.room]
        axes.plot(times_s, [s.used_share for s in result.room], label=result.name)
    if results:
        axes.plot(
            [sample.at_ms / 1_000.0 for sample in results[0].room],
            [sample.up_share for sample in results[0].room],
            color="grey",
            label="available",
        )
    axes.set_ylim(0.0, 1.05)
    axes.set_xlabel("time, s")
    axes.set_ylabel("share of cores")
    axes.set_title("Cores in use")
    axes.grid(alpha=0.3)
    axes.legend()


def _draw_stages(axes, results):
    labels, stages_by_bar = [], []
    for result in results:
        for kind, records in group_records(result.records, lambda r: r.kind).items():
            labels.append(f"{kind}\n{result.name}")
            stages_by_bar.append([r.stage_ms for r in records if r.stage_ms])
    offsets = [0.0] * len(labels)
    for stage in LatencyStage:
        means = [
            sum(s[stage.value] for s in stages) / max(1, len(stages))
            for stages in stages_by_bar
        ]
        axes.barh(labels, means, left=offsets, label=stage.value)
        offsets = [a + b for a, b in zip(offsets, means, strict=True)]
    axes.set_xlabel("mean duration, ms")
    axes.set_title("Latency of complete jobs by stage")
    axes.legend()
