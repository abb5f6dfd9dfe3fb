"""Pictures of loads on a site."""

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

SIZE_INCHES = (9.0, 5.0)
WINDOW_MS = 1_000.0
SHOWN_FATES = (RequestOutcome.IN_TIME, RequestOutcome.LATE, RequestOutcome.REFUSED)


def draw_fleet_results(results, folder, file_format="png"):
    """Draw results into a folder; return the paths of the pictures.

    :param results: list of :class:`FleetLoadResult`.
    :param folder: path of the folder; made if missing.
    :param file_format: ``png`` or ``svg``.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for grouping in ("kind", "size", "zone"):
        figure, axes = plt.subplots(
            len(SHOWN_FATES), 1, figsize=(9.0, 9.0), layout="constrained", sharex=True
        )
        _draw_over_time(axes, results, grouping)
        paths.append(_save(figure, folder / f"fates-by-{grouping}.{file_format}"))
    for name, draw in (("room", _draw_room), ("stages", _draw_stages)):
        figure, axes = plt.subplots(figsize=SIZE_INCHES, layout="constrained")
        draw(axes, results)
        paths.append(_save(figure, folder / f"{name}.{file_format}"))
    return paths


def _save(figure, path):
    figure.savefig(path, dpi=110)
    plt.close(figure)
    return path


def _draw_over_time(axes, results, grouping):
    styles = ("-", "--", ":", "-.")
    for result, style in zip(results, styles, strict=False):
        choose = _choose_grouping(result, grouping)
        for index, (group, records) in enumerate(
            group_records(result.records, choose).items()
        ):
            windows = group_records(records, lambda r: int(r.at_ms / WINDOW_MS))
            times_s = [window * WINDOW_MS / 1_000.0 for window in windows]
            shares = [summarize(of_window) for of_window in windows.values()]
            for axis, fate in zip(axes, SHOWN_FATES, strict=True):
                axis.plot(
                    times_s,
                    [share.by_fate[fate.value] for share in shares],
                    style,
                    color=f"C{index}",
                    label=f"{group}, {result.name}",
                )
    for axis, fate in zip(axes, SHOWN_FATES, strict=True):
        axis.set_ylabel(f"share {fate.value}")
        axis.set_ylim(-0.02, 1.02)
        axis.grid(alpha=0.3)
    axes[0].set_title(f"Answers over time, by {grouping}")
    axes[0].legend(fontsize="x-small", ncols=2)
    axes[-1].set_xlabel("sent, s")


def _choose_grouping(result, grouping):
    if grouping == "size":
        return make_size_classifier(result.records)
    return lambda record: getattr(record, grouping)


def _draw_room(axes, results):
    for result in results:
        times_s = [point.at_ms / 1_000.0 for point in result.room]
        axes.plot(times_s, [p.used_share for p in result.room], label=result.name)
    if results:
        axes.plot(
            [point.at_ms / 1_000.0 for point in results[0].room],
            [point.up_share for point in results[0].room],
            color="grey",
            label="room that is up",
        )
    axes.set_ylim(0.0, 1.05)
    axes.set_xlabel("s")
    axes.set_ylabel("part of the room")
    axes.set_title("Room in use")
    axes.grid(alpha=0.3)
    axes.legend()


def _draw_stages(axes, results):
    names, left = [], []
    for result in results:
        for kind, of_kind in group_records(result.records, lambda r: r.kind).items():
            names.append(f"{kind}\n{result.name}")
            left.append([r.stage_ms for r in of_kind if r.stage_ms])
    offsets = [0.0] * len(names)
    for stage in LatencyStage:
        means = [
            sum(s[stage.value] for s in stages) / max(1, len(stages)) for stages in left
        ]
        axes.barh(names, means, left=offsets, label=stage.value)
        offsets = [a + b for a, b in zip(offsets, means, strict=True)]
    axes.set_xlabel("mean, ms")
    axes.set_title("Where the time of complete jobs went")
    axes.legend()
